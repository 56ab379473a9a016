// Package ferryid defines the types of identifiers and units that the other packages share.
package ferryid
