// Package ferryforward takes callers' requests to the upstreams of their routes: it admits or refuses, sends, sends again where that is allowed, and passes on whole answers and whole events only.
package ferryforward
