// Package ferrypath selects the series of engines that runs a generation.
//
// It also tracks the load and the health of each engine.
package ferrypath
