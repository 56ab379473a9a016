// Package ferryplatformtest provides an in-memory platform with fault switches, for tests and for the platform stand-in.
package ferryplatformtest
