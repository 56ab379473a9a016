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
	maxClockSkew   = time.Minute
	maxTTL         = 24 * time.Hour
	expiryGrace    = 2 * time.Second
	sweepInterval  = time.Second
	maxChangedKeys = 4096
)

// Checker is a value that can be validated after decoding.
type Checker interface{ Check() error }

// LatestEntry is a value of a Latest with its origin and timestamp.
type LatestEntry[V Checker] struct {
	Key    string               `cbor:"1,keyasint"`
	Value  V                    `cbor:"2,keyasint"`
	At     ferryevent.Timestamp `cbor:"3,keyasint"`
	Origin ferryid.EntryName    `cbor:"4,keyasint"`
	// TTLSeconds is the lifetime of the entry in seconds, counted from At.
	TTLSeconds uint32 `cbor:"5,keyasint"`
}

func (e LatestEntry[V]) expires() time.Time {
	return e.At.Time().Add(time.Duration(e.TTLSeconds) * time.Second)
}

// supersedes orders entries of one key by timestamp, then by origin.
func (e LatestEntry[V]) supersedes(o LatestEntry[V]) bool {
	return cmp.Or(e.At.Compare(o.At), cmp.Compare(e.Origin, o.Origin)) > 0
}

// Latest is a bounded last-writer-wins map whose entries expire; it is replicated as a Topic.
//
// If the map is full, a new key evicts the entry that expires first. The new key is refused if it would expire first.
type Latest[V Checker] struct {
	name     TopicName
	self     ferryid.EntryName
	size     int
	volatile bool
	clock    clockwork.Clock
	events   *ferryevent.Log
	onChange func(TopicName)
	received func(LatestEntry[V])

	mu          sync.Mutex
	entries     map[string]LatestEntry[V]
	changedKeys map[string]bool
	digest      []byte
	dirty       bool
	nextSweep   time.Time
	refused     uint64
}

// LatestConfig is the configuration of a Latest.
type LatestConfig struct {
	Name TopicName
	Self ferryid.EntryName
	// Size is the maximum number of keys.
	Size int
	// Volatile is set if the writers refresh their entries periodically.
	Volatile bool
	Clock    clockwork.Clock
	// Events is the source of timestamps.
	Events *ferryevent.Log
}

// NewLatest returns an empty map; its Topic must be added to the overlay's configuration.
func NewLatest[V Checker](cfg LatestConfig) *Latest[V] {
	return &Latest[V]{
		name: cfg.Name, self: cfg.Self, size: max(1, cfg.Size), volatile: cfg.Volatile, clock: cfg.Clock, events: cfg.Events,
		onChange: func(TopicName) {}, received: func(LatestEntry[V]) {}, entries: map[string]LatestEntry[V]{}, changedKeys: map[string]bool{}, dirty: true,
	}
}

// Notify sets the function called after each Set, usually Node.Publish; it must be called before the first Set.
func (l *Latest[V]) Notify(f func(TopicName)) { l.onChange = f }

// Receive sets the function called with each entry of another process that was stored; it must be called before the
// overlay starts.
func (l *Latest[V]) Receive(f func(LatestEntry[V])) { l.received = f }

// Set stores and replicates a value and reports false if it was refused.
//
// The TTL is truncated to whole seconds and limited to between one second and one day.
func (l *Latest[V]) Set(key string, v V, ttl time.Duration) bool {
	e := LatestEntry[V]{Key: key, Value: v, At: l.events.Now(), Origin: l.self}
	e.TTLSeconds = uint32(max(1, min(ttl, maxTTL)/time.Second))
	l.mu.Lock()
	ok := l.put(e)
	l.mu.Unlock()
	l.onChange(l.name)
	return ok
}

// Get returns the entry of a key and reports whether it exists and has not expired.
func (l *Latest[V]) Get(key string) (LatestEntry[V], bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	e, ok := l.entries[key]
	if !ok || !l.clock.Now().Before(e.expires()) {
		return LatestEntry[V]{}, false
	}
	return e, true
}

// All returns the entries that have not expired, ordered by key.
func (l *Latest[V]) All() []LatestEntry[V] {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.removeExpired()
	out := make([]LatestEntry[V], 0, len(l.entries))
	for _, e := range l.entries {
		if l.clock.Now().Before(e.expires()) {
			out = append(out, e)
		}
	}
	slices.SortFunc(out, func(a, b LatestEntry[V]) int { return cmp.Compare(a.Key, b.Key) })
	return out
}

// Refused returns the number of entries refused because the map was full or their timestamp was more than
// maxClockSkew in the future.
func (l *Latest[V]) Refused() uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.refused
}

// Topic returns the topic that replicates the map over the overlay.
func (l *Latest[V]) Topic() Topic {
	return Topic{Name: l.name, Digest: l.digestBytes, Missing: l.missing, Apply: l.apply, TakeChanged: l.takeChanged, Volatile: l.volatile}
}

// put stores an entry if it supersedes the current one and there is room; the caller holds l.mu.
func (l *Latest[V]) put(e LatestEntry[V]) bool {
	l.removeExpired()
	now := l.clock.Now()
	if e.At.Time().After(now.Add(maxClockSkew)) {
		l.refused++
		return false
	}
	old, ok := l.entries[e.Key]
	if (ok && !e.supersedes(old)) || !now.Before(e.expires()) {
		return false
	}
	if !ok && len(l.entries) >= l.size && !l.evictFirstExpiring(e) {
		l.refused++
		return false
	}
	l.entries[e.Key] = e
	l.dirty = true
	if e.Origin == l.self && len(l.changedKeys) < maxChangedKeys {
		l.changedKeys[e.Key] = true
	}
	return true
}

func (l *Latest[V]) evictFirstExpiring(e LatestEntry[V]) bool {
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

func (l *Latest[V]) removeExpired() {
	now := l.clock.Now()
	if now.Before(l.nextSweep) {
		return
	}
	l.nextSweep = now.Add(sweepInterval)
	for k, e := range l.entries {
		if !now.Before(e.expires()) {
			delete(l.entries, k)
		}
	}
	l.dirty = true
}

func entryPair[V Checker](e LatestEntry[V]) pair {
	version := mix(uint64(e.At.Micros)) ^ uint64(e.At.Logical)<<32 ^ xxhash.Sum64String(string(e.Origin))
	return pairOf(e.Key, version)
}

// inDigest reports whether an entry is included in digests. An entry about to expire is not, since clocks differ.
func (l *Latest[V]) inDigest(e LatestEntry[V]) bool {
	return l.clock.Now().Add(expiryGrace).Before(e.expires())
}

func (l *Latest[V]) digestBytes() []byte {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.removeExpired()
	if !l.dirty {
		return l.digest
	}
	ps := make([]pair, 0, len(l.entries))
	for _, e := range l.entries {
		if l.inDigest(e) {
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
		if l.inDigest(e) && !has[entryPair(e)] {
			out = append(out, encodeEntry(e))
		}
	}
	slices.SortFunc(out, func(a, b Item) int { return slices.Compare(a, b) })
	return out
}

func encodeEntry[V Checker](e LatestEntry[V]) Item {
	b, err := encMode.Marshal(e)
	if err != nil {
		panic(err)
	}
	return b
}

func decodeEntry[V Checker](it Item) (LatestEntry[V], error) {
	var e LatestEntry[V]
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
	stored := l.put(e)
	l.mu.Unlock()
	if stored {
		l.received(e)
	}
	return stored, nil
}

func (l *Latest[V]) takeChanged() []Item {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := make([]Item, 0, len(l.changedKeys))
	for k := range l.changedKeys {
		if e, ok := l.entries[k]; ok {
			out = append(out, encodeEntry(e))
		}
	}
	clear(l.changedKeys)
	slices.SortFunc(out, func(a, b Item) int { return slices.Compare(a, b) })
	return out
}
