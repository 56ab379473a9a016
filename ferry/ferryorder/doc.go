// Package ferryorder reconciles the engines of a service with the target state of its document.
// Each order carries the fencing number of the entry that sends it.
package ferryorder
