// Package ferryproof injects faults into a fleet of real processes and checks
// the outcomes reported to callers against the runs recorded by the upstreams.
package ferryproof
