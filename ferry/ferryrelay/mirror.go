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

// maxBatches is how many of the platform's answers a mirror keeps; whoever is further behind reads the whole list.
const maxBatches = 256

// batch is what one answer of the platform changed: all that happened after one version and up to another.
type batch struct {
	after, upTo ferryplatform.Version
	objects     []ferryplatform.Object
}

// mirror holds one kind of objects as this entry has read them from the platform by itself.
type mirror struct {
	kind  string
	clock clockwork.Clock

	mu sync.Mutex
	// filled says that the objects are those of a list and all that happened since, and current that the platform has answered since.
	filled  bool
	current bool
	at      ferryplatform.Version
	objects map[string]ferryplatform.Object
	batches []batch
	moved   chan struct{}
}

func newMirror(kind string, clock clockwork.Clock) *mirror {
	return &mirror{kind: kind, clock: clock, objects: map[string]ferryplatform.Object{}, moved: make(chan struct{})}
}

// listed takes the whole list.
func (m *mirror) listed(c ferryplatform.Changes) {
	m.mu.Lock()
	defer m.mu.Unlock()
	clear(m.objects)
	for _, o := range c.Objects {
		if !o.Deleted {
			m.objects[o.Name] = o
		}
	}
	m.batches, m.at, m.filled, m.current = nil, c.Version, true, true
	m.wake()
}

// isFilled reports whether the kind has been read from the platform.
func (m *mirror) isFilled() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.filled
}

// follows reports whether the answer to a watch after a version can be added to what is held.
func (m *mirror) follows(after ferryplatform.Version) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.filled && after <= m.at
}

// changed takes the answer to a watch after a version.
func (m *mirror) changed(after ferryplatform.Version, c ferryplatform.Changes) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.filled || after > m.at {
		m.leave()
		return
	}
	m.current = true
	if c.Version > m.at {
		m.add(batch{after: m.at, upTo: c.Version, objects: c.Objects})
	}
}

// found takes an object that was read by itself and is the only one of its kind that matters; a watch whose connection fell silent would have told of it later.
func (m *mirror) found(o ferryplatform.Object) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.filled && o.Version > m.at {
		m.add(batch{after: m.at, upTo: o.Version, objects: []ferryplatform.Object{o}})
	}
}

// add applies a batch; the caller holds the lock.
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
	m.at = b.upTo
	m.wake()
}

// lost says that the platform could not be read.
func (m *mirror) lost() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.current = false
	m.wake()
}

// left says that this entry does not read the kind by itself any more.
func (m *mirror) left() {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.filled {
		m.leave()
	}
}

// leave forgets what is held; the caller holds the lock.
func (m *mirror) leave() {
	m.filled, m.current, m.batches = false, false, nil
	clear(m.objects)
	m.wake()
}

// wake lets those who wait look again; the caller holds the lock.
func (m *mirror) wake() {
	close(m.moved)
	m.moved = make(chan struct{})
}

// list returns all objects; false means that the mirror may be out of date.
func (m *mirror) list() (ferryplatform.Changes, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.current {
		return ferryplatform.Changes{}, false
	}
	c := ferryplatform.Changes{Version: m.at}
	for _, name := range slices.Sorted(maps.Keys(m.objects)) {
		c.Objects = append(c.Objects, m.objects[name])
	}
	return c, true
}

// watch waits until something has changed after a version; its verdict says whether the changes can be relied on.
func (m *mirror) watch(ctx context.Context, after ferryplatform.Version, wait time.Duration) (ferryplatform.Changes, verdict) {
	timer := m.clock.NewTimer(wait)
	defer timer.Stop()
	for {
		c, v, moved := m.since(after)
		if v != verdictOK || len(c.Objects) > 0 {
			return c, v
		}
		select {
		case <-moved:
		case <-timer.Chan():
			return c, verdictOK
		case <-ctx.Done():
			return c, verdictOK
		}
	}
}

// since returns what happened after a version, and what is closed when there is more.
func (m *mirror) since(after ferryplatform.Version) (ferryplatform.Changes, verdict, <-chan struct{}) {
	m.mu.Lock()
	defer m.mu.Unlock()
	c := ferryplatform.Changes{Version: max(after, m.at)}
	switch {
	case !m.current:
		return c, verdictLost, m.moved
	case after >= m.at:
		return c, verdictOK, m.moved
	}
	first := slices.IndexFunc(m.batches, func(b batch) bool { return b.after == after })
	if first < 0 {
		// Whoever followed another reader may be in the midst of a batch, and would take a removal for later than what came after it.
		return c, verdictGone, m.moved
	}
	for _, b := range m.batches[first:] {
		c.Objects = append(c.Objects, b.objects...)
	}
	return c, verdictOK, m.moved
}
