// Package ferrynettest connects servers and clients in tests through memory instead of sockets,
// so that a synctest bubble can detect when all of its goroutines are blocked.
package ferrynettest
