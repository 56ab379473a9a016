// Package ferryplacement decides which layers of a model each engine holds, and brings the engines there by few orders that a late or repeated one cannot undo.
package ferryplacement
