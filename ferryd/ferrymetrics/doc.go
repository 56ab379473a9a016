// Package ferrymetrics creates the root metrics scope of a process and its Prometheus handler.
package ferrymetrics
