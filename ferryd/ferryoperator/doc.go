// Package ferryoperator serves the operators' API: documents, status, the time line,
// draining of upstreams and claims.
package ferryoperator
