// Package ferryproxy is a TCP proxy that cuts, delays or silences
// the connections between two processes of an experiment.
package ferryproxy
