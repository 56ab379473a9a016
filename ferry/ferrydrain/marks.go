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
	// markRetention is the minimum time for which the mark of an incarnation that cannot come back is kept.
	markRetention = 24 * time.Hour
	// maxAhead is how far the time of a peer's mark may be ahead of this entry's clock.
	maxAhead = time.Minute
)

// Marks is one entry's set of marks. Sets merge to the same result in any order.
type Marks struct {
	clock   clockwork.Clock
	mu      sync.Mutex
	changed []Mark
	seen    map[key]ferryid.Incarnation
	// current is replaced as a whole, so that the selection of an upstream never blocks.
	current atomic.Pointer[map[key]Mark]
}

// NewMarks returns an empty set of marks.
func NewMarks(clock clockwork.Clock) *Marks {
	ms := &Marks{clock: clock, seen: map[key]ferryid.Incarnation{}}
	ms.current.Store(&map[key]Mark{})
	return ms
}

// Leaving reports whether an upstream's incarnation must get no new work; an empty id
// means that it is unknown.
func (ms *Marks) Leaving(s ferryid.ServiceName, u ferryid.UpstreamName, id ferryid.Incarnation) bool {
	all := *ms.current.Load()
	if len(all) == 0 {
		return false
	}
	if all[key{s, u, "", true}].Leaving || all[key{s, u, "", false}].Leaving {
		return true
	}
	return id != "" && all[key{s, u, id, false}].Leaving
}

// Mark records that an upstream is leaving. An empty incarnation means the one seen last.
func (ms *Marks) Mark(s ferryid.ServiceName, u ferryid.UpstreamName, id ferryid.Incarnation, from Source) {
	ms.mu.Lock()
	defer ms.mu.Unlock()
	if from == SourceOperator {
		id = ""
	} else if id == "" {
		id = ms.seen[key{service: s, upstream: u}]
	}
	m := Mark{Service: s, Upstream: u, Incarnation: id, Source: from, Leaving: true}
	if old, ok := (*ms.current.Load())[m.key()]; !ok || !old.Leaving {
		ms.write(m)
	}
}

// Clear removes the effect of an operator's mark.
func (ms *Marks) Clear(s ferryid.ServiceName, u ferryid.UpstreamName) {
	ms.mu.Lock()
	defer ms.mu.Unlock()
	ms.write(Mark{Service: s, Upstream: u, Source: SourceOperator})
}

// Seen records the incarnation that an upstream reports. A new one clears a mark without an incarnation.
func (ms *Marks) Seen(s ferryid.ServiceName, u ferryid.UpstreamName, id ferryid.Incarnation) {
	ms.mu.Lock()
	defer ms.mu.Unlock()
	k := key{service: s, upstream: u}
	old := ms.seen[k]
	ms.seen[k] = id
	if old != "" && old != id && (*ms.current.Load())[k].Leaving {
		ms.write(Mark{Service: s, Upstream: u, Source: SourceList})
	}
}

// write stores a mark of this entry with a later time than the one it replaces, even if the clock is behind.
func (ms *Marks) write(m Mark) {
	m.At = ms.clock.Now().UnixMicro()
	if old, ok := (*ms.current.Load())[m.key()]; ok && m.Incarnation == "" {
		m.At = max(m.At, old.At+1)
	}
	ms.merge(m)
}

func (ms *Marks) merge(m Mark) bool {
	all := *ms.current.Load()
	if old, ok := all[m.key()]; ok && !m.replaces(old) {
		return false
	}
	next := maps.Clone(all)
	next[m.key()] = m
	if len(next) > maxMarks {
		ms.purge(next)
	}
	ms.current.Store(&next)
	ms.changed = append(ms.changed, m)
	return true
}

// purge deletes marks of incarnations and cleared marks if they are older than markRetention.
func (ms *Marks) purge(all map[key]Mark) {
	old := ms.clock.Now().Add(-markRetention).UnixMicro()
	for k, m := range all {
		if m.At < old && (k.incarnation != "" || !m.Leaving) {
			delete(all, k)
		}
	}
}

// All returns all marks in a stable order.
func (ms *Marks) All() []Mark {
	all := slices.Collect(maps.Values(*ms.current.Load()))
	slices.SortFunc(all, func(a, b Mark) int { return slices.Compare(a.encode(), b.encode()) })
	return all
}

const digestBytes = 16

// digest is the digest of one mark: a hash of its key and one of the whole mark.
func (m Mark) digest() [digestBytes]byte {
	k := m
	k.At, k.Leaving = 0, false
	if m.Source != SourceOperator {
		k.Source = SourceList
	}
	var p [digestBytes]byte
	binary.BigEndian.PutUint64(p[:8], xxhash.Sum64(k.encode()))
	binary.BigEndian.PutUint64(p[8:], xxhash.Sum64(m.encode()))
	return p
}

// Digest returns the digest of all marks, 16 bytes each.
func (ms *Marks) Digest() []byte {
	var out []byte
	for _, m := range ms.All() {
		p := m.digest()
		out = append(out, p[:]...)
	}
	return out
}

// Missing returns the encoded marks that the peer with the given digest lacks or has in another version.
func (ms *Marks) Missing(digest []byte) [][]byte {
	has := map[[digestBytes]byte]bool{}
	for ; len(digest) >= digestBytes; digest = digest[digestBytes:] {
		has[[digestBytes]byte(digest[:digestBytes])] = true
	}
	var out [][]byte
	for _, m := range ms.All() {
		if !has[m.digest()] {
			out = append(out, m.encode())
		}
	}
	return out
}

// Apply merges an encoded mark from a peer and reports whether it changed anything; an
// error means an invalid mark.
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
	if len(*ms.current.Load()) >= 2*maxMarks {
		return false, merry.New("too many marks")
	}
	return ms.merge(m), nil
}

// TakeChanged removes and returns the encoded marks that changed since the last call, to be pushed to peers.
func (ms *Marks) TakeChanged() [][]byte {
	ms.mu.Lock()
	defer ms.mu.Unlock()
	var out [][]byte
	for _, m := range ms.changed {
		out = append(out, m.encode())
	}
	ms.changed = nil
	return out
}
