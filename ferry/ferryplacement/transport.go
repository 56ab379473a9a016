package ferryplacement

import (
	"container/heap"
	"slices"

	"cactusferry.dev/ferry/ferryid"
)

// supply is the rate that one engine can divide among its layers, in streams times layers per second.
type supply struct {
	layers ferryid.LayerRange
	rate   float64
}

// rateTolerance is the relative difference below which two rates are equal.
const rateTolerance = 1e-9

// evenRate returns the highest rate that the supplies can give to each of the layers at the same time, and
// the set of layers that limits it.
//
// By the theorem of maximum flow and minimum cut, the rate is the least quotient of the supplies that touch
// a set of layers and the number of its layers. The sets are found as in Dinkelbach's method: each rate that the
// supplies cannot give yields a set with a lower quotient.
func evenRate(layers int, supplies []supply) (float64, []bool) {
	t := newTransport(layers, supplies)
	limiting := make([]bool, layers)
	for l := range limiting {
		limiting[l] = true
	}
	rate := t.quotient(limiting)
	for {
		_, failed := t.serve(rate)
		if failed < 0 {
			return rate, limiting
		}
		next := t.violated(failed)
		lower := t.quotient(next)
		if lower >= rate {
			return rate, limiting
		}
		rate, limiting = lower, next
	}
}

// transport assigns supplies to layers.
type transport struct {
	layers int
	// supplies are sorted by first layer, left are their rates that are not assigned.
	supplies []supply
	left     []float64
	// served are the layers that each supply serves.
	served [][]int
	// open are the indexes of supplies with a rate left, the one with the lowest last layer first.
	open []int
}

func newTransport(layers int, supplies []supply) *transport {
	t := &transport{layers: layers, left: make([]float64, len(supplies)), served: make([][]int, len(supplies))}
	t.set(supplies)
	return t
}

// set replaces the supplies by as many others.
func (t *transport) set(supplies []supply) {
	t.supplies = append(t.supplies[:0], supplies...)
	slices.SortStableFunc(t.supplies, func(a, b supply) int { return int(a.layers.From) - int(b.layers.From) })
}

// Len, Less, Swap, Push and Pop make t a heap of its open supplies.
func (t *transport) Len() int { return len(t.open) }

// Less orders supplies by last layer.
func (t *transport) Less(i, j int) bool {
	return t.supplies[t.open[i]].layers.To < t.supplies[t.open[j]].layers.To
}

// Swap exchanges two open supplies.
func (t *transport) Swap(i, j int) { t.open[i], t.open[j] = t.open[j], t.open[i] }

// Push adds the index of a supply.
func (t *transport) Push(x any) { t.open = append(t.open, x.(int)) }

// Pop removes the last index.
func (t *transport) Pop() any {
	x := t.open[len(t.open)-1]
	t.open = t.open[:len(t.open)-1]
	return x
}

// serve gives each layer the rate, from the supplies that end first, which serves as much as possible in all. It
// returns the sum of what the layers are given and the first layer for which the supplies do not suffice, or -1.
func (t *transport) serve(rate float64) (served float64, failed int) {
	t.open = t.open[:0]
	for i, s := range t.supplies {
		t.left[i], t.served[i] = s.rate, t.served[i][:0]
	}
	next, failed := 0, -1
	for l := range t.layers {
		for ; next < len(t.supplies) && int(t.supplies[next].layers.From) <= l; next++ {
			heap.Push(t, next)
		}
		need := rate
		for need > rateTolerance*rate {
			if len(t.open) == 0 {
				if failed < 0 {
					failed = l
				}
				break
			}
			i := t.open[0]
			if int(t.supplies[i].layers.To) <= l || t.left[i] <= 0 {
				heap.Pop(t)
				continue
			}
			n := min(need, t.left[i])
			t.left[i] -= n
			need -= n
			t.served[i] = append(t.served[i], l)
		}
		served += rate - need
	}
	return served, failed
}

// violated returns the set of layers that need more than all supplies that touch it, after serve failed at a
// layer first: that layer, and the layers before it that supplies of the set serve.
func (t *transport) violated(failed int) []bool {
	set := make([]bool, t.layers)
	set[failed] = true
	for grown := true; grown; {
		grown = false
		before := t.counts(set)
		for i, s := range t.supplies {
			if !t.touches(before, s) {
				continue
			}
			for _, l := range t.served[i] {
				if l < failed && !set[l] {
					set[l], grown = true, true
				}
			}
		}
	}
	return set
}

// counts returns for each layer the number of layers of a set before it.
func (t *transport) counts(set []bool) []int {
	out := make([]int, t.layers+1)
	for l, in := range set {
		out[l+1] = out[l]
		if in {
			out[l+1]++
		}
	}
	return out
}

// touches reports whether a supply can serve a layer of the set with these counts.
func (t *transport) touches(counts []int, s supply) bool {
	from, to := min(int(s.layers.From), t.layers), min(int(s.layers.To), t.layers)
	return from < to && counts[to] > counts[from]
}

// quotient returns the rate for each layer of a set if all supplies that touch it serve only that set.
func (t *transport) quotient(set []bool) float64 {
	counts := t.counts(set)
	sum := 0.0
	for _, s := range t.supplies {
		if t.touches(counts, s) {
			sum += s.rate
		}
	}
	return sum / float64(counts[t.layers])
}
