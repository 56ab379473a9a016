// Package ferrycert verifies certificates by their authority alone, for servers that are known by address
// and not by name.
package ferrycert
