// Package ferryclock provides a clock that ignores steps of the wall clock and includes the time
// for which the instance is suspended.
package ferryclock
