// Package ferryload plays a workload against live entries in an open loop.
package ferryload
