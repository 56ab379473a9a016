// Package ferrystandengine is the stand-in for a model engine: a hash in place of a model, batching, caches, orders and switches for the faults that real engines have.
package ferrystandengine
