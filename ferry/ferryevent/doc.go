// Package ferryevent implements the time line: each process has a bounded ring buffer of typed events, whose hybrid
// logical timestamps allow merging the events of several processes in causal order.
package ferryevent
