// Package ferryoperator answers operators: documents, status, the time line, leaving upstreams and claims.
package ferryoperator
