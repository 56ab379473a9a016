// Package ferryduty computes which live entries hold a duty, and each entry's share of the platform's rates, with nothing negotiated.
package ferryduty
