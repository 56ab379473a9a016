package ferrydrain

import (
	"encoding/binary"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/cespare/xxhash/v2"
	"github.com/jonboulle/clockwork"

	"cactusferry.dev/ferry/ferryid"
)

const (
	maxMarks = 8192
	// markMemory is how long the mark of an incarnation is kept after its instance can't come back.
	markMemory = 24 * time.Hour
	// maxAhead is how far a peer's clock may be ahead before its marks are refused.
	maxAhead = time.Minute
)

// Marks is one entry's view of which upstreams are leaving; merging views in any order gives the same.
type Marks struct {
	clock clockwork.Clock
	mu    sync.Mutex
	fresh []Mark
	seen  map[key]ferryid.Incarnation
	// now is replaced as a whole, so that the choice of an upstream never waits.
	now atomic.Pointer[map[key]Mark]
}

// NewMarks returns a view without marks.
func NewMarks(clock clockwork.Clock) *Marks {
	ms := &Marks{clock: clock, seen: map[key]ferryid.Incarnation{}}
	ms.now.Store(&map[key]Mark{})
	return ms
}

// Leaving reports whether an upstream's incarnation may get no new work; the incarnation may be empty if it is not known.
func (ms *Marks) Leaving(s ferryid.ServiceName, u ferryid.UpstreamName, id ferryid.Incarnation) bool {
	all := *ms.now.Load()
	if len(all) == 0 {
		return false
	}
	if all[key{s, u, "", true}].Leaving || all[key{s, u, "", false}].Leaving {
		return true
	}
	return id != "" && all[key{s, u, id, false}].Leaving
}

// Mark notes that an upstream leaves, at once and for the peers; an empty incarnation stands for the one seen last.
func (ms *Marks) Mark(s ferryid.ServiceName, u ferryid.UpstreamName, id ferryid.Incarnation, from Source) {
	ms.mu.Lock()
	defer ms.mu.Unlock()
	if from == SourceOperator {
		id = ""
	} else if id == "" {
		id = ms.seen[key{service: s, upstream: u}]
	}
	m := Mark{Service: s, Upstream: u, Incarnation: id, Source: from, Leaving: true}
	if old, ok := (*ms.now.Load())[m.key()]; !ok || !old.Leaving {
		ms.write(m)
	}
}

// Clear takes an operator's mark back.
func (ms *Marks) Clear(s ferryid.ServiceName, u ferryid.UpstreamName) {
	ms.mu.Lock()
	defer ms.mu.Unlock()
	ms.write(Mark{Service: s, Upstream: u, Source: SourceOperator})
}

// Seen notes which incarnation an upstream says it is; a new one ends a mark that named none.
func (ms *Marks) Seen(s ferryid.ServiceName, u ferryid.UpstreamName, id ferryid.Incarnation) {
	ms.mu.Lock()
	defer ms.mu.Unlock()
	k := key{service: s, upstream: u}
	old := ms.seen[k]
	ms.seen[k] = id
	if old != "" && old != id && (*ms.now.Load())[k].Leaving {
		ms.write(Mark{Service: s, Upstream: u, Source: SourceList})
	}
}

// write makes a mark of this entry later than the one it replaces, whatever the clocks say.
func (ms *Marks) write(m Mark) {
	m.At = ms.clock.Now().UnixMicro()
	if old, ok := (*ms.now.Load())[m.key()]; ok && m.Incarnation == "" {
		m.At = max(m.At, old.At+1)
	}
	ms.merge(m)
}

func (ms *Marks) merge(m Mark) bool {
	all := *ms.now.Load()
	if old, ok := all[m.key()]; ok && !m.over(old) {
		return false
	}
	next := maps.Clone(all)
	next[m.key()] = m
	if len(next) > maxMarks {
		ms.purge(next)
	}
	ms.now.Store(&next)
	ms.fresh = append(ms.fresh, m)
	return true
}

// purge forgets incarnations that left long ago, and marks that were taken back long ago.
func (ms *Marks) purge(all map[key]Mark) {
	old := ms.clock.Now().Add(-markMemory).UnixMicro()
	for k, m := range all {
		if m.At < old && (k.incarnation != "" || !m.Leaving) {
			delete(all, k)
		}
	}
}

// All returns the marks in a stable order.
func (ms *Marks) All() []Mark {
	all := slices.Collect(maps.Values(*ms.now.Load()))
	slices.SortFunc(all, func(a, b Mark) int { return slices.Compare(a.encode(), b.encode()) })
	return all
}

const pairBytes = 16

// pair is the digest of one mark: its key and what replaces what.
func (m Mark) pair() [pairBytes]byte {
	k := m
	k.At, k.Leaving = 0, false
	if m.Source != SourceOperator {
		k.Source = SourceList
	}
	var p [pairBytes]byte
	binary.BigEndian.PutUint64(p[:8], xxhash.Sum64(k.encode()))
	binary.BigEndian.PutUint64(p[8:], xxhash.Sum64(m.encode()))
	return p
}

// Digest describes the marks held, 16 bytes each.
func (ms *Marks) Digest() []byte {
	var out []byte
	for _, m := range ms.All() {
		p := m.pair()
		out = append(out, p[:]...)
	}
	return out
}

// Missing returns the marks that a peer with the digest lacks or has otherwise, encoded.
func (ms *Marks) Missing(digest []byte) [][]byte {
	has := map[[pairBytes]byte]bool{}
	for ; len(digest) >= pairBytes; digest = digest[pairBytes:] {
		has[[pairBytes]byte(digest[:pairBytes])] = true
	}
	var out [][]byte
	for _, m := range ms.All() {
		if !has[m.pair()] {
			out = append(out, m.encode())
		}
	}
	return out
}

// Apply takes an encoded mark from a peer and reports whether it changed anything; an error means that the peer is at fault.
func (ms *Marks) Apply(b []byte) (bool, error) {
	m, err := DecodeMark(b)
	if err != nil {
		return false, err
	}
	if m.At > ms.clock.Now().Add(maxAhead).UnixMicro() {
		return false, merry.Errorf("mark of %s is ahead of our clock by more than %s", m.Upstream, maxAhead)
	}
	ms.mu.Lock()
	defer ms.mu.Unlock()
	if len(*ms.now.Load()) >= 2*maxMarks {
		return false, merry.New("too many marks")
	}
	return ms.merge(m), nil
}

// Fresh removes and returns the marks that changed here since the last call, encoded, to be pushed to peers.
func (ms *Marks) Fresh() [][]byte {
	ms.mu.Lock()
	defer ms.mu.Unlock()
	var out [][]byte
	for _, m := range ms.fresh {
		out = append(out, m.encode())
	}
	ms.fresh = nil
	return out
}
