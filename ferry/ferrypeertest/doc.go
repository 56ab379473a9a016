// Package ferrypeertest simulates a fleet of ferrypeer overlay cores in one process, with in-memory links, a fake
// clock, and fault injection for links and processes.
package ferrypeertest
