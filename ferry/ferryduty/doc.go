// Package ferryduty assigns duties to live entries by rendezvous hashing, and computes each entry's share of
// the platform's rate limits. Neither needs any coordination beyond the membership.
package ferryduty
