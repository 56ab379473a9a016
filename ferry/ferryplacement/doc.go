// Package ferryplacement decides which layers of a model each engine holds and sends the
// engines the orders for it.
//
// Orders are few, and each names the number of orders that the engine has begun, so that a late or
// repeated one has no effect.
package ferryplacement
