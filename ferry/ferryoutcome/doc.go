// Package ferryoutcome defines what is known about whether a call ran, and the problem details (RFC 9457)
// that report it to callers.
package ferryoutcome
