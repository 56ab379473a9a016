// Package ferryenginetest is the stand-in model: a hash that tells whether every layer ran once and in order.
package ferryenginetest
