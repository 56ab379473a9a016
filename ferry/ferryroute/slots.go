package ferryroute

import (
	"slices"

	"cactusferry.dev/ferry/ferryid"
	"cactusferry.dev/ferry/ferryservice"
)

// SetShare sets the index of this entry, from 0, and the number of entries that share the upstreams. All
// entries must use the same order.
func (t *Table) SetShare(index, entries int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.entry, t.entries = index, max(1, entries)
	t.publish()
}

// credit returns this entry's part of an upstream's slots. The parts of all entries add up to the slots.
func (t *Table) credit(u *upstream) int {
	slots := u.row.slots
	if slots == 0 {
		slots = ferryservice.DefaultSlots
	}
	n := slots / t.entries
	rank := (t.entry + int(u.row.seed%uint64(t.entries))) % t.entries
	if rank < slots%t.entries {
		n++
	}
	return n
}

// Slots returns how many calls this entry may run at once on the usable upstreams, at
// least one if there are any.
//
// With layered upstreams, a call needs a slot for each layer.
func (s *Snapshot) Slots() int {
	n, found := s.sumCredits(func(*row) bool { return true })
	if !found {
		return 0
	}
	for layer := range s.layers() {
		m, _ := s.sumCredits(func(r *row) bool { return r.layers.Len() == 0 || r.layers.Contains(layer) })
		if m == 0 && !s.hasUsable(layer) {
			return 0
		}
		n = min(n, m)
	}
	return max(1, n)
}

// TrialSlots returns 1 if the upstreams that are not leaving, including failed ones, hold
// every layer, and 0 otherwise.
func (s *Snapshot) TrialSlots() int {
	held := func(layer ferryid.Layer) bool {
		return slices.ContainsFunc(s.rows, func(r row) bool {
			return r.state != StateLeaving && (r.layers.Len() == 0 || r.layers.Contains(layer))
		})
	}
	for layer := range max(1, s.layers()) {
		if !held(layer) {
			return 0
		}
	}
	return 1
}

// layers returns one more than the last layer that any upstream holds.
func (s *Snapshot) layers() ferryid.Layer {
	last := ferryid.Layer(0)
	for i := range s.rows {
		last = max(last, s.rows[i].layers.To)
	}
	return last
}

// hasUsable reports whether a usable upstream holds the layer.
func (s *Snapshot) hasUsable(layer ferryid.Layer) bool {
	_, found := s.sumCredits(func(r *row) bool { return r.layers.Contains(layer) })
	return found
}

// sumCredits returns the sum of this entry's parts of the matching usable upstreams.
func (s *Snapshot) sumCredits(match func(*row) bool) (n int, found bool) {
	for i := range s.rows {
		r := &s.rows[i]
		if !match(r) {
			continue
		}
		switch r.state {
		case StateLive:
			n += r.credit
			found = true
		case StateProbing:
			n++
			found = true
		}
	}
	return n, found
}
