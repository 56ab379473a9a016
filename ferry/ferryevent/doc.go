// Package ferryevent keeps the time line: a bounded ring of typed events in each process, with hybrid logical timestamps that merge in causal order.
package ferryevent
