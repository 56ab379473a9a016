// Package ferryadmission decides which requests an entry admits while the memory of the engines is short, by rank
// and customer.
package ferryadmission
