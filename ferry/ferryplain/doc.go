// Package ferryplain is the adapter to plain HTTP services; it knows for each failed call whether any byte of it was sent.
package ferryplain
