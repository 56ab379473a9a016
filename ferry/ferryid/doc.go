// Package ferryid holds the named types for identifiers and units that every other package shares.
package ferryid
