// Package ferrycapacity measures what the entries spend on acting together, at several fleet sizes, and fits slopes to it.
package ferrycapacity
