// Package ferryexperiment drives the pure cores of admission and routing with a workload on a virtual clock.
package ferryexperiment
