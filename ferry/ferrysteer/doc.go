// Package ferrysteer computes which entries a customer's callers are told to use.
package ferrysteer
