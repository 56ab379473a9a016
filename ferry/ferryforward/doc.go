// Package ferryforward admits callers' requests, forwards them to the upstreams of their routes and retries
// them where the route permits. Callers receive complete answers and complete events only.
package ferryforward
