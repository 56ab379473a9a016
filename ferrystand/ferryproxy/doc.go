// Package ferryproxy stands between two processes of an experiment and cuts, delays or silences their TCP connections.
package ferryproxy
