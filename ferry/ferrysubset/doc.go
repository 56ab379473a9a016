// Package ferrysubset computes the subset of a service's engines that an entry uses, by rendezvous hashing.
//
// The computation needs only the live entries and the engines and no messages between entries.
package ferrysubset
