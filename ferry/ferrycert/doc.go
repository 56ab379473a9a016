// Package ferrycert checks certificates by the authority that signed them, for servers that are known by address and not by name.
package ferrycert
