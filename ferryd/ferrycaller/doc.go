// Package ferrycaller implements the callers' HTTP interface: completions, calls to plain services, tickets
// and the list of entries to use.
package ferrycaller
