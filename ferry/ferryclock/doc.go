// Package ferryclock provides a clock that neither jumps with the time of day nor stands still while the instance is suspended.
package ferryclock
