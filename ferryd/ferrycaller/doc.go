// Package ferrycaller answers callers: completions, plain services, tickets and the choice of an entry.
package ferrycaller
