// Package ferrypeer connects the entry instances in an overlay network with a bounded number of links per instance.
// It replicates the membership and the topics of other packages over the overlay by push and anti-entropy.
package ferrypeer
