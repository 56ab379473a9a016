// Package ferryring provides bounded queues between goroutines, each with a defined overflow policy.
package ferryring
