// Package ferryplatformtest provides an in-memory fake of the platform with fault injection.
package ferryplatformtest
