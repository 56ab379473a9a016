// Package ferryroute selects the upstream of a call by load, rate and health.
package ferryroute
