// Package ferrycapacity measures the control traffic, processor time and memory of entries at several fleet
// sizes and extrapolates them to the planned size with linear fits.
package ferrycapacity
