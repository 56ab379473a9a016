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
	version  ferryplatform.Version
	objects  map[string]ferryplatform.Object
	batches  []batch
	notified chan struct{}
}

func newMirror(kind string, clock clockwork.Clock) *mirror {
	return &mirror{kind: kind, clock: clock, objects: map[string]ferryplatform.Object{}, notified: make(chan struct{})}
}

// replace replaces the objects by those of a complete list.
func (m *mirror) replace(c ferryplatform.Changes) {
	m.mu.Lock()
	defer m.mu.Unlock()
	clear(m.objects)
	for _, o := range c.Objects {
		if !o.Deleted {
			m.objects[o.Name] = o
		}
	}
	m.batches, m.version, m.complete, m.current = nil, c.Version, true, true
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

// apply applies the answer to a watch after a version.
func (m *mirror) apply(after ferryplatform.Version, c ferryplatform.Changes) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.complete || after > m.version {
		m.discard()
		return
	}
	m.current = true
	if c.Version > m.version {
		m.add(batch{after: m.version, upTo: c.Version, objects: c.Objects})
	}
}

// applyObject applies an object that was read alone and is the only relevant one of its kind. If the
// connection of the watch hangs, the watch returns the change only later.
func (m *mirror) applyObject(o ferryplatform.Object) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.complete && o.Version > m.version {
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

// list returns all objects; false means that they may be out of date.
func (m *mirror) list() (ferryplatform.Changes, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.current {
		return ferryplatform.Changes{}, false
	}
	c := ferryplatform.Changes{Version: m.version}
	for _, name := range slices.Sorted(maps.Keys(m.objects)) {
		c.Objects = append(c.Objects, m.objects[name])
	}
	return c, true
}

// watch waits until an object changes after a version. The changes are valid only with statusOK.
func (m *mirror) watch(ctx context.Context, after ferryplatform.Version, wait time.Duration) (ferryplatform.Changes, status) {
	timer := m.clock.NewTimer(wait)
	defer timer.Stop()
	for {
		c, st, changed := m.since(after)
		if st != statusOK || len(c.Objects) > 0 {
			return c, st
		}
		select {
		case <-changed:
		case <-timer.Chan():
			return c, statusOK
		case <-ctx.Done():
			return c, statusOK
		}
	}
}

// since returns the changes after a version, and a channel that is closed when there are more.
func (m *mirror) since(after ferryplatform.Version) (ferryplatform.Changes, status, <-chan struct{}) {
	m.mu.Lock()
	defer m.mu.Unlock()
	c := ferryplatform.Changes{Version: max(after, m.version)}
	switch {
	case !m.current:
		return c, statusPlatformLost, m.notified
	case after >= m.version:
		return c, statusOK, m.notified
	}
	first := slices.IndexFunc(m.batches, func(b batch) bool { return b.after == after })
	if first < 0 {
		// A caller that followed another reader may be within a batch, and would apply an old
		// removal over a later change.
		return c, statusHistoryGone, m.notified
	}
	for _, b := range m.batches[first:] {
		c.Objects = append(c.Objects, b.objects...)
	}
	return c, statusOK, m.notified
}
