// Package ferryload is an open-loop load generator that sends the calls of a workload to running entries.
package ferryload
