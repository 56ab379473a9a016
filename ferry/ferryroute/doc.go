// Package ferryroute chooses the upstream of a call from what is known of each one's load, rate and health.
package ferryroute
