// Package ferryexperiment runs the admission and routing code of ferryd with a workload in a discrete-event
// simulation.
package ferryexperiment
