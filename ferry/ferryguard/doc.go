// Package ferryguard confines panics to the request, connection or duty that caused them.
package ferryguard
