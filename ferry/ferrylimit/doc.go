// Package ferrylimit holds customers' limits over all entries, by one counting entry a customer that grants allowances in small batches.
package ferrylimit
