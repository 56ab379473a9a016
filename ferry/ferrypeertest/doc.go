// Package ferrypeertest joins many overlay cores of ferrypeer in one process by in-memory links on a passed-in clock, with the faults that links and processes have.
package ferrypeertest
