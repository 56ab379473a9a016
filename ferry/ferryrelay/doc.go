// Package ferryrelay reads the platform's objects through another entry, so that only a few
// entries call the platform.
//
// An entry calls the platform directly if it has no reader, or if its reader does not answer
// or has lost the platform.
package ferryrelay
