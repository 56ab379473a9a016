package ferrypeer

import (
	"cmp"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/jonboulle/clockwork"

	"cactusferry.dev/ferry/ferryevent"
	"cactusferry.dev/ferry/ferryid"
)

const (
	maxKeyBytes    = 128
	maxValueBytes  = 1 << 10
	maxAhead       = time.Minute
	maxTTL         = 24 * time.Hour
	expiryGrace    = 2 * time.Second
	sweepEvery     = time.Second
	maxFreshLatest = 4096
)

// Checker is a value that checks itself after it was decoded.
type Checker interface{ Check() error }

// Entry is one value of a Latest, with who wrote it and when.
type Entry[V Checker] struct {
	Key    string               `cbor:"1,keyasint"`
	Value  V                    `cbor:"2,keyasint"`
	At     ferryevent.Timestamp `cbor:"3,keyasint"`
	Origin ferryid.EntryName    `cbor:"4,keyasint"`
	// TTLSeconds is how long after At the entry is forgotten.
	TTLSeconds uint32 `cbor:"5,keyasint"`
}

func (e Entry[V]) expires() time.Time {
	return e.At.Time().Add(time.Duration(e.TTLSeconds) * time.Second)
}

// wins orders entries of one key by timestamp, then by origin.
func (e Entry[V]) wins(o Entry[V]) bool {
	return cmp.Or(e.At.Compare(o.At), cmp.Compare(e.Origin, o.Origin)) > 0
}

// Latest is a bounded map spread as a topic, in which the last writer of each key wins and entries expire.
//
// A new key that finds it full takes the place of the entry that expires first, or is refused if it would itself expire first.
type Latest[V Checker] struct {
	name     TopicName
	self     ferryid.EntryName
	size     int
	volatile bool
	clock    clockwork.Clock
	log      *ferryevent.Log
	changed  func(TopicName)

	mu      sync.Mutex
	entries map[string]Entry[V]
	fresh   map[string]bool
	digest  []byte
	dirty   bool
	sweepAt time.Time
	refused uint64
}

// LatestConfig is what a Latest is made from.
type LatestConfig struct {
	Name TopicName
	Self ferryid.EntryName
	// Size is the highest number of keys.
	Size int
	// Volatile says that writers refresh their entries by themselves.
	Volatile bool
	Clock    clockwork.Clock
	// Events gives the timestamps.
	Events *ferryevent.Log
}

// NewLatest returns an empty map; its Topic goes into the overlay's configuration.
func NewLatest[V Checker](cfg LatestConfig) *Latest[V] {
	return &Latest[V]{
		name: cfg.Name, self: cfg.Self, size: max(1, cfg.Size), volatile: cfg.Volatile, clock: cfg.Clock, log: cfg.Events,
		changed: func(TopicName) {}, entries: map[string]Entry[V]{}, fresh: map[string]bool{}, dirty: true,
	}
}

// Notify sets what is called after each Set, usually a Node's Publish; it must be set before the first Set.
func (l *Latest[V]) Notify(f func(TopicName)) { l.changed = f }

// Set writes a value under a key for the given time, in whole seconds of at least one, and spreads it; false means that there was no room.
func (l *Latest[V]) Set(key string, v V, ttl time.Duration) bool {
	e := Entry[V]{Key: key, Value: v, At: l.log.Now(), Origin: l.self}
	e.TTLSeconds = uint32(max(1, min(ttl, maxTTL)/time.Second))
	l.mu.Lock()
	ok := l.put(e)
	l.mu.Unlock()
	l.changed(l.name)
	return ok
}

// Get returns the entry of a key that has not expired.
func (l *Latest[V]) Get(key string) (Entry[V], bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	e, ok := l.entries[key]
	if !ok || !l.clock.Now().Before(e.expires()) {
		return Entry[V]{}, false
	}
	return e, true
}

// All returns the entries that have not expired, ordered by key.
func (l *Latest[V]) All() []Entry[V] {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.sweep()
	out := make([]Entry[V], 0, len(l.entries))
	for _, e := range l.entries {
		if l.clock.Now().Before(e.expires()) {
			out = append(out, e)
		}
	}
	slices.SortFunc(out, func(a, b Entry[V]) int { return cmp.Compare(a.Key, b.Key) })
	return out
}

// Refused counts entries that found no room or lay in the future.
func (l *Latest[V]) Refused() uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.refused
}

// Topic returns the topic by which the overlay spreads the map.
func (l *Latest[V]) Topic() Topic {
	return Topic{Name: l.name, Digest: l.digestBytes, Missing: l.missing, Apply: l.apply, Fresh: l.takeFresh, Volatile: l.volatile}
}

// put stores an entry if it wins and there is room; the caller holds the lock.
func (l *Latest[V]) put(e Entry[V]) bool {
	l.sweep()
	now := l.clock.Now()
	if e.At.Time().After(now.Add(maxAhead)) {
		l.refused++
		return false
	}
	old, ok := l.entries[e.Key]
	if (ok && !e.wins(old)) || !now.Before(e.expires()) {
		return false
	}
	if !ok && len(l.entries) >= l.size && !l.makeRoom(e) {
		l.refused++
		return false
	}
	l.entries[e.Key] = e
	l.dirty = true
	if e.Origin == l.self && len(l.fresh) < maxFreshLatest {
		l.fresh[e.Key] = true
	}
	return true
}

func (l *Latest[V]) makeRoom(e Entry[V]) bool {
	first := e
	for _, o := range l.entries {
		c := cmp.Or(o.expires().Compare(first.expires()), cmp.Compare(o.Key, first.Key))
		if c < 0 {
			first = o
		}
	}
	if first.Key == e.Key {
		return false
	}
	delete(l.entries, first.Key)
	return true
}

func (l *Latest[V]) sweep() {
	now := l.clock.Now()
	if now.Before(l.sweepAt) {
		return
	}
	l.sweepAt = now.Add(sweepEvery)
	for k, e := range l.entries {
		if !now.Before(e.expires()) {
			delete(l.entries, k)
		}
	}
	l.dirty = true
}

func entryPair[V Checker](e Entry[V]) pair {
	version := mix(uint64(e.At.Micros)) ^ uint64(e.At.Logical)<<32 ^ xxhash.Sum64String(string(e.Origin))
	return pairOf(e.Key, version)
}

// spreads reports whether an entry still takes part in digests; one about to expire does not, since clocks differ.
func (l *Latest[V]) spreads(e Entry[V]) bool {
	return l.clock.Now().Add(expiryGrace).Before(e.expires())
}

func (l *Latest[V]) digestBytes() []byte {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.sweep()
	if !l.dirty {
		return l.digest
	}
	ps := make([]pair, 0, len(l.entries))
	for _, e := range l.entries {
		if l.spreads(e) {
			ps = append(ps, entryPair(e))
		}
	}
	l.digest = encodePairs(ps)
	l.dirty = false
	return l.digest
}

func (l *Latest[V]) missing(remote []byte) []Item {
	has := decodePairs(remote)
	l.mu.Lock()
	defer l.mu.Unlock()
	var out []Item
	for _, e := range l.entries {
		if l.spreads(e) && !has[entryPair(e)] {
			out = append(out, encodeEntry(e))
		}
	}
	slices.SortFunc(out, func(a, b Item) int { return slices.Compare(a, b) })
	return out
}

func encodeEntry[V Checker](e Entry[V]) Item {
	b, err := encMode.Marshal(e)
	if err != nil {
		panic(err)
	}
	return b
}

func decodeEntry[V Checker](it Item) (Entry[V], error) {
	var e Entry[V]
	if len(it) > maxKeyBytes+maxValueBytes {
		return e, fmt.Errorf("entry of %d bytes", len(it))
	}
	if err := decMode.Unmarshal(it, &e); err != nil {
		return e, err
	}
	if len(e.Key) == 0 || len(e.Key) > maxKeyBytes {
		return e, fmt.Errorf("entry with a key of %d bytes", len(e.Key))
	}
	if err := ferryid.CheckName(string(e.Origin)); err != nil {
		return e, fmt.Errorf("origin of entry %q: %w", e.Key, err)
	}
	if e.TTLSeconds == 0 || time.Duration(e.TTLSeconds)*time.Second > maxTTL {
		return e, fmt.Errorf("entry %q kept for %d seconds", e.Key, e.TTLSeconds)
	}
	return e, e.Value.Check()
}

func (l *Latest[V]) apply(it Item) (bool, error) {
	e, err := decodeEntry[V](it)
	if err != nil {
		return false, err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.put(e), nil
}

func (l *Latest[V]) takeFresh() []Item {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := make([]Item, 0, len(l.fresh))
	for k := range l.fresh {
		if e, ok := l.entries[k]; ok {
			out = append(out, encodeEntry(e))
		}
	}
	clear(l.fresh)
	slices.SortFunc(out, func(a, b Item) int { return slices.Compare(a, b) })
	return out
}
