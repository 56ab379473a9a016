// Package ferryqueue implements admission control and fair queueing: which waiting call of a service runs
// next and which is refused.
package ferryqueue
