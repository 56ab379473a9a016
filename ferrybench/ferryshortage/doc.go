// Package ferryshortage compares entries with and without admission by rank on engines whose KV cache memory is short,
// on a virtual clock.
package ferryshortage
