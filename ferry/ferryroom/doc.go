// Package ferryroom computes from engine reports how much KV cache memory a failure domain has left.
package ferryroom
