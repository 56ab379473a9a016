// Package ferrysubset computes the subset of a service's engines that an entry uses, by rendezvous hashing.
//
// The subset depends only on the names of the live entries and the engines, so that all entries agree on it.
package ferrysubset
