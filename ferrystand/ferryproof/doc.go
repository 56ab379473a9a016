// Package ferryproof brings failures about in a fleet of real processes and compares what callers were told with what upstreams did.
package ferryproof
