// Package ferrychoice simulates how entries choose engines, with the engine pools of ferryd on a virtual
// clock. It compares subsets of the engines with a single entry that has a complete view of the load.
package ferrychoice
