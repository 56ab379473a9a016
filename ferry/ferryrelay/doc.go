// Package ferryrelay lets one entry of many read the platform's objects, and the others read them from it, so that the platform is asked by a few.
//
// An entry without such a reader, or whose reader has lost the platform or does not answer, asks the platform by itself.
package ferryrelay
