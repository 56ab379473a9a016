// Package ferrysubset computes which of a service's engines one entry works, from the names of the live entries and the engines alone.
package ferrysubset
