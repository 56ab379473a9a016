// Package ferryoutcome says what is known about whether a call ran, and carries it in problem details (RFC 9457).
package ferryoutcome
