// Package ferrybalance chooses the upstream for each call to a plain service by the number of running calls
// and the recent latency and failures.
package ferrybalance
