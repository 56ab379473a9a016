// Package ferrynode puts the duties of one entry instance together and runs them.
package ferrynode
