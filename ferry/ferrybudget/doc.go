// Package ferrybudget implements a retry budget that all entries share: within a sliding window, retries may
// reach a ratio of the requests plus a fixed allowance.
package ferrybudget
