// Package ferrysteer computes the list of entries that a customer's callers should use.
package ferrysteer
