// Package ferryhealth is a circuit breaker for an upstream: it opens after failed calls for a time that grows
// exponentially, and closes again after a successful trial call.
package ferryhealth
