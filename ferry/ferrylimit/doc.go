// Package ferrylimit enforces customers' rate limits across all entries. For each customer one entry,
// the counting entry, keeps a token bucket and grants units to the others in small batches.
package ferrylimit
