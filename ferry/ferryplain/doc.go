// Package ferryplain is the client of plain HTTP services.
// It determines for each failed call whether any byte was sent.
package ferryplain
