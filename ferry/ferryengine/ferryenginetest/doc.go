// Package ferryenginetest implements a simulated model. Its text is a hash that is right only if every layer
// ran once and in order.
package ferryenginetest
