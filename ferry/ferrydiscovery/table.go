package ferrydiscovery

import (
	"cmp"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"

	"cactusferry.dev/ferry/ferryid"
	"cactusferry.dev/ferry/ferryplatform"
)

const (
	// lapseGrace is how long after the platform's return a missing upstream that lives may take to be back.
	lapseGrace = 2 * time.Second
	// tombstoneFor is how long the version of a removal is remembered against older word of the same upstream.
	tombstoneFor = 5 * time.Minute
)

// Upstream is one upstream as the platform last described it.
type Upstream struct {
	ferryplatform.Instance
	Version ferryplatform.Version
}

// Ready reports whether it takes new work.
func (u *Upstream) Ready() bool {
	return u.State == ferryplatform.StateLive
}

// SameRun reports whether both describe one run of the upstream's process.
func (u *Upstream) SameRun(o *Upstream) bool {
	return u.Name == o.Name && u.Address == o.Address && u.Started.Equal(o.Started)
}

// View is an immutable snapshot of all upstreams by service, each list ordered by name.
type View struct {
	services map[ferryid.ServiceName][]*Upstream
	byName   map[string]*Upstream
}

// Of returns the upstreams of a service; do not write to the list.
func (v *View) Of(s ferryid.ServiceName) []*Upstream { return v.services[s] }

// Get returns the upstream of that name, or nil.
func (v *View) Get(name string) *Upstream { return v.byName[name] }

// Len is the number of upstreams.
func (v *View) Len() int { return len(v.byName) }

// Table takes what the platform says; views of it may be read from any goroutine.
type Table struct {
	clock clockwork.Clock
	view  atomic.Pointer[View]

	mu      sync.Mutex
	rows    map[string]*Upstream
	gone    map[string]tombstone
	lapsed  map[string]time.Time
	away    bool
	changed []func(*View)
}

// tombstone remembers that an upstream left.
type tombstone struct {
	version ferryplatform.Version
	at      time.Time
}

// NewTable returns an empty table.
func NewTable(clock clockwork.Clock) *Table {
	t := &Table{clock: clock, rows: map[string]*Upstream{}, gone: map[string]tombstone{}, lapsed: map[string]time.Time{}}
	t.view.Store(&View{})
	return t
}

// View returns the current snapshot.
func (t *Table) View() *View { return t.view.Load() }

// OnChange adds a function that is called with each new view, in order, and must not block.
func (t *Table) OnChange(f func(*View)) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.changed = append(t.changed, f)
}

// Change is one thing that the platform said: an upstream as it is now, or the name of one that is not there any more.
type Change struct {
	Upstream Upstream
	Removed  bool
}

// Lost says that the platform is out of reach: upstreams whose entries run out meanwhile may still live.
func (t *Table) Lost() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.away = true
}

// Apply takes changes in the order in which they happened.
func (t *Table) Apply(changes []Change) {
	t.mu.Lock()
	defer t.mu.Unlock()
	moved := t.back()
	for _, c := range changes {
		if c.Removed {
			moved = t.remove(c.Upstream.Name, c.Upstream.Version) || moved
			continue
		}
		moved = t.put(c.Upstream) || moved
	}
	t.away = false
	t.publish(moved)
}

// Replace takes the whole list at a version; what it lacks has been removed.
func (t *Table) Replace(list []Upstream, at ferryplatform.Version) {
	t.mu.Lock()
	defer t.mu.Unlock()
	moved := t.back()
	listed := make(map[string]bool, len(list))
	for _, u := range list {
		listed[u.Name] = true
		moved = t.put(u) || moved
	}
	for name, u := range t.rows {
		if !listed[name] && u.Version <= at {
			moved = t.remove(name, at) || moved
		}
	}
	t.away = false
	t.publish(moved)
}

// Expire takes out lapsed upstreams that have not come back in time, and says when to call it again.
func (t *Table) Expire() (next time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.clock.Now()
	moved := false
	for name, until := range t.lapsed {
		if !now.Before(until) {
			delete(t.lapsed, name)
			delete(t.rows, name)
			moved = true
			continue
		}
		if next.IsZero() || until.Before(next) {
			next = until
		}
	}
	for name, g := range t.gone {
		if now.Sub(g.at) > tombstoneFor {
			delete(t.gone, name)
		}
	}
	t.publish(moved)
	return next
}

// back gives upstreams that lapsed while the platform was away their time from its return on.
func (t *Table) back() bool {
	if !t.away {
		return false
	}
	for name := range t.lapsed {
		t.lapsed[name] = t.clock.Now().Add(lapseGrace)
	}
	return false
}

func (t *Table) put(u Upstream) bool {
	old := t.rows[u.Name]
	if old != nil && old.Version >= u.Version {
		return false
	}
	if g, ok := t.gone[u.Name]; ok && g.version >= u.Version {
		return false
	}
	delete(t.gone, u.Name)
	delete(t.lapsed, u.Name)
	t.rows[u.Name] = &u
	return old == nil || old.Instance != u.Instance
}

// remove takes an upstream out, or lets it stand for a while if its entry may have run out for want of the platform.
func (t *Table) remove(name string, v ferryplatform.Version) bool {
	old := t.rows[name]
	if old != nil && old.Version > v {
		return false
	}
	if g := t.gone[name]; g.version < v {
		t.gone[name] = tombstone{version: v, at: t.clock.Now()}
	}
	if old == nil {
		return false
	}
	if t.away && old.Ready() {
		if _, ok := t.lapsed[name]; !ok {
			t.lapsed[name] = t.clock.Now().Add(lapseGrace)
		}
		return false
	}
	delete(t.rows, name)
	delete(t.lapsed, name)
	return true
}

func (t *Table) publish(moved bool) {
	if !moved {
		return
	}
	v := &View{services: map[ferryid.ServiceName][]*Upstream{}, byName: make(map[string]*Upstream, len(t.rows))}
	for name, u := range t.rows {
		v.byName[name] = u
		v.services[u.Service] = append(v.services[u.Service], u)
	}
	for _, list := range v.services {
		slices.SortFunc(list, func(a, b *Upstream) int { return cmp.Compare(a.Name, b.Name) })
	}
	t.view.Store(v)
	for _, f := range t.changed {
		f(v)
	}
}
