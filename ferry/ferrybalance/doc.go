// Package ferrybalance chooses the upstream for each call to a plain service, from the calls that run there, how long recent ones took and how many failed.
package ferrybalance
