package ferryrelay

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"cactusferry.dev/ferry/ferryplatform"
)

// maxBatches is the number of watch answers that a mirror keeps. Readers that are
// further behind list all objects.
const maxBatches = 256

// batch holds the changes of one watch answer: all changes after one version, up to another.
type batch struct {
	after, upTo ferryplatform.Version
	objects     []ferryplatform.Object
}

// mirror holds the objects of one kind as this entry has read them from the platform directly.
type mirror struct {
	kind  string
	clock clockwork.Clock

	mu sync.Mutex
	// complete is set if the objects are those of a list and all later changes. current is set if the platform
	// has answered since its last failure.
	complete bool
	current  bool
	// provedAt is when the objects were last certainly current, and listedAt when the platform was last asked for all.
	provedAt, listedAt time.Time
	version            ferryplatform.Version
	objects            map[string]ferryplatform.Object
	batches            []batch
	notified           chan struct{}
}

func newMirror(kind string, clock clockwork.Clock) *mirror {
	return &mirror{kind: kind, clock: clock, objects: map[string]ferryplatform.Object{}, notified: make(chan struct{})}
}

// replace replaces the objects by those of a complete list that was current at the given time.
func (m *mirror) replace(c ferryplatform.Changes, at time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	clear(m.objects)
	for _, o := range c.Objects {
		if !o.Deleted {
			m.objects[o.Name] = o
		}
	}
	m.batches, m.version, m.complete, m.current, m.provedAt, m.listedAt = nil, c.Version, true, true, at, at
	m.notify()
}

// isComplete reports whether the kind has been listed from the platform.
func (m *mirror) isComplete() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.complete
}

// canApply reports whether the answer to a watch after the given version can be applied to the objects.
func (m *mirror) canApply(after ferryplatform.Version) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.complete && after <= m.version
}

// apply applies the answer to a watch after a version, which was current at the given time.
func (m *mirror) apply(after ferryplatform.Version, c ferryplatform.Changes, at time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.complete || after > m.version {
		m.discard()
		return
	}
	m.current = true
	m.prove(at)
	if c.Version > m.version {
		m.add(batch{after: m.version, upTo: c.Version, objects: c.Objects})
	}
}

// prove records that the objects were current at the given time. The caller must hold the lock.
func (m *mirror) prove(at time.Time) {
	if at.After(m.provedAt) {
		m.provedAt = at
		m.notify()
	}
}

// applyObject applies an object that was read alone at the given time and is the only relevant one of its kind. If the
// connection of the watch hangs, the watch returns the change only later.
func (m *mirror) applyObject(o ferryplatform.Object, at time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.complete {
		return
	}
	m.prove(at)
	if o.Version > m.version {
		m.add(batch{after: m.version, upTo: o.Version, objects: []ferryplatform.Object{o}})
	}
}

// add applies a batch. The caller must hold the lock.
func (m *mirror) add(b batch) {
	for _, o := range b.objects {
		if o.Deleted {
			delete(m.objects, o.Name)
			continue
		}
		m.objects[o.Name] = o
	}
	m.batches = append(m.batches, b)
	if len(m.batches) > maxBatches {
		m.batches = slices.Delete(m.batches, 0, len(m.batches)-maxBatches)
	}
	m.version = b.upTo
	m.notify()
}

// markStale marks the mirror as possibly out of date, since the platform could not be read.
func (m *mirror) markStale() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.current = false
	m.notify()
}

// reset clears the mirror, since this entry no longer reads the kind from the platform directly.
func (m *mirror) reset() {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.complete {
		m.discard()
	}
}

// discard clears the mirror. The caller must hold the lock.
func (m *mirror) discard() {
	m.complete, m.current, m.batches = false, false, nil
	clear(m.objects)
	m.notify()
}

// notify wakes all waiting watches. The caller must hold the lock.
func (m *mirror) notify() {
	close(m.notified)
	m.notified = make(chan struct{})
}

// list returns all objects and when they were current; false means that the platform could not be read since.
func (m *mirror) list() (ferryplatform.Changes, time.Time, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.current {
		return ferryplatform.Changes{}, time.Time{}, false
	}
	c := ferryplatform.Changes{Version: m.version}
	for _, name := range slices.Sorted(maps.Keys(m.objects)) {
		c.Objects = append(c.Objects, m.objects[name])
	}
	return c, m.provedAt, true
}

// proof returns an object as proved by the last list; false means that the platform could not be read since.
func (m *mirror) proof(name string) (proof, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return proof{object: m.objects[name], at: m.listedAt}, m.complete && m.current
}

// news are the changes after a version, which were the latest at provedAt; changed is closed when there may be more.
type news struct {
	changes  ferryplatform.Changes
	status   status
	provedAt time.Time
	changed  <-chan struct{}
}

// watch waits until an object changes after a version, or until the objects are proved current after the given time.
// The changes are valid only with statusOK.
func (m *mirror) watch(ctx context.Context, after ferryplatform.Version, asked time.Time, wait time.Duration) news {
	timer := m.clock.NewTimer(wait)
	defer timer.Stop()
	for {
		n := m.since(after)
		if n.status != statusOK || len(n.changes.Objects) > 0 || n.provedAt.After(asked) {
			return n
		}
		select {
		case <-n.changed:
		case <-timer.Chan():
			return n
		case <-ctx.Done():
			return n
		}
	}
}

// since returns the changes after a version.
func (m *mirror) since(after ferryplatform.Version) news {
	m.mu.Lock()
	defer m.mu.Unlock()
	n := news{changes: ferryplatform.Changes{Version: max(after, m.version)}, status: statusOK, provedAt: m.provedAt, changed: m.notified}
	switch {
	case !m.current:
		n.status = statusPlatformLost
		return n
	case after >= m.version:
		return n
	}
	first := slices.IndexFunc(m.batches, func(b batch) bool { return b.after == after })
	if first < 0 {
		// A caller that followed another reader may be within a batch, and would apply an old
		// removal over a later change.
		n.status = statusHistoryGone
		return n
	}
	for _, b := range m.batches[first:] {
		n.changes.Objects = append(n.changes.Objects, b.objects...)
	}
	return n
}
