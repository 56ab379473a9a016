package ferryroute

import (
	"slices"

	"cactusferry.dev/ferry/ferryid"
	"cactusferry.dev/ferry/ferryservice"
)

// SetShare tells that this entry is the one of the given index, from 0, among so many that share the upstreams; all entries
// must count in the same order.
func (t *Table) SetShare(index, entries int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.entry, t.entries = index, max(1, entries)
	t.publish()
}

// credit is this entry's part of an upstream's slots; over all entries the parts add up to the slots.
func (t *Table) credit(u *upstream) int {
	slots := u.row.slots
	if slots == 0 {
		slots = ferryservice.DefaultSlots
	}
	n := slots / t.entries
	place := (t.entry + int(u.row.seed%uint64(t.entries))) % t.entries
	if place < slots%t.entries {
		n++
	}
	return n
}

// Slots is how many calls this entry may run at once on the upstreams that take work, at least one if there are any; of
// upstreams with layers a call needs one for each layer.
func (s *Snapshot) Slots() int {
	n, found := s.slotsOf(func(*row) bool { return true })
	if !found {
		return 0
	}
	for layer := range s.layers() {
		m, _ := s.slotsOf(func(r *row) bool { return r.layers.Len() == 0 || r.layers.Contains(layer) })
		if m == 0 && !s.covered(layer) {
			return 0
		}
		n = min(n, m)
	}
	return max(1, n)
}

// TrialSlots is 1 if upstreams that do not leave, failed or not, hold every layer, and 0 otherwise.
func (s *Snapshot) TrialSlots() int {
	stays := func(layer ferryid.Layer) bool {
		return slices.ContainsFunc(s.rows, func(r row) bool {
			return r.state != StateLeaving && (r.layers.Len() == 0 || r.layers.Contains(layer))
		})
	}
	for layer := range max(1, s.layers()) {
		if !stays(layer) {
			return 0
		}
	}
	return 1
}

// layers is one more than the last layer that any upstream holds.
func (s *Snapshot) layers() ferryid.Layer {
	last := ferryid.Layer(0)
	for i := range s.rows {
		last = max(last, s.rows[i].layers.To)
	}
	return last
}

// covered reports whether an upstream that takes work holds the layer.
func (s *Snapshot) covered(layer ferryid.Layer) bool {
	_, found := s.slotsOf(func(r *row) bool { return r.layers.Contains(layer) })
	return found
}

// slotsOf adds up this entry's parts of the upstreams that take work and match.
func (s *Snapshot) slotsOf(match func(*row) bool) (n int, found bool) {
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
