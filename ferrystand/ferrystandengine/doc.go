// Package ferrystandengine is a stand-in for a model engine. It computes a hash instead
// of a model, and has batching, caches, orders and switches for the faults of real engines.
package ferrystandengine
