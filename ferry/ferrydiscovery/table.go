package ferrydiscovery

import (
	"cmp"
	"iter"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"

	"cactusferry.dev/ferry/ferryid"
	"cactusferry.dev/ferry/ferryplatform"
)

const (
	// expiryGrace is how long after the end of an outage an expired upstream that is still running
	// may take to register again.
	expiryGrace = 2 * time.Second
	// tombstoneRetention is how long the version of a removal is kept, so that older updates of
	// the upstream are ignored.
	tombstoneRetention = 5 * time.Minute
)

// Upstream is one upstream as last described by the platform.
type Upstream struct {
	ferryplatform.Instance
	Version ferryplatform.Version

	// process is nil unless the upstream is from a table's view.
	process *process
}

// Ready reports whether the upstream accepts new work.
func (u *Upstream) Ready() bool {
	return u.State == ferryplatform.StateLive
}

// SameProcess reports whether both describe the same process of an upstream.
func (u *Upstream) SameProcess(o *Upstream) bool {
	return u.Name == o.Name && u.Address == o.Address && u.Started.Equal(o.Started)
}

// View is an immutable snapshot of all upstreams. The list of each service is sorted by name.
type View struct {
	services map[ferryid.ServiceName][]*Upstream
	byName   map[string]*Upstream
}

// Of returns the upstreams of a service. The slice must not be modified.
func (v *View) Of(s ferryid.ServiceName) []*Upstream { return v.services[s] }

// Get returns the upstream of that name, or nil.
func (v *View) Get(name string) *Upstream { return v.byName[name] }

// Len returns the number of upstreams.
func (v *View) Len() int { return len(v.byName) }

// All returns the upstreams in any order. They must not be modified.
func (v *View) All() iter.Seq[*Upstream] { return maps.Values(v.byName) }

// Table is the table of upstreams. All methods are safe for concurrent use.
type Table struct {
	clock clockwork.Clock
	view  atomic.Pointer[View]

	mu         sync.Mutex
	rows       map[string]*Upstream
	tombstones map[string]tombstone
	graceUntil map[string]time.Time
	// held are the outdated records of a restored list.
	held    map[string]heldUpstream
	outage  bool
	changed []func(*View)
	// epoch is that of the last complete list, if there was one.
	epoch  ferryplatform.Epoch
	listed bool
	// touched are the names whose rows may differ from the view.
	touched map[string]bool
	// processes are those with a row, and others for tombstoneRetention.
	processes map[processKey]*process
}

// tombstone is the record of a removed upstream.
type tombstone struct {
	version ferryplatform.Version
	at      time.Time
	// last is the removed row, or nil if there was none.
	last *Upstream
}

// NewTable returns an empty table.
func NewTable(clock clockwork.Clock) *Table {
	t := &Table{clock: clock, rows: map[string]*Upstream{}, tombstones: map[string]tombstone{}, graceUntil: map[string]time.Time{}, held: map[string]heldUpstream{}, touched: map[string]bool{}, processes: map[processKey]*process{}}
	t.view.Store(&View{services: map[ferryid.ServiceName][]*Upstream{}, byName: map[string]*Upstream{}})
	return t
}

// View returns the current snapshot.
func (t *Table) View() *View { return t.view.Load() }

// OnChange registers a function that is called with each new view, in order. It must not block.
func (t *Table) OnChange(f func(*View)) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.changed = append(t.changed, f)
}

// Change is one change reported by the platform: the new state of an upstream, or the name of a removed one.
type Change struct {
	Upstream Upstream
	Removed  bool
}

// MarkUnreachable marks the platform as unreachable. Upstreams whose registrations expire during the
// outage may still be running.
func (t *Table) MarkUnreachable() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.outage = true
}

// Apply applies changes in the order in which they happened.
func (t *Table) Apply(changes []Change) {
	t.mu.Lock()
	defer t.mu.Unlock()
	updated := t.endOutage()
	for _, c := range changes {
		if c.Removed {
			updated = t.remove(c.Upstream.Name, c.Upstream.Version) || updated
			continue
		}
		updated = t.put(c.Upstream) || updated
	}
	t.outage = false
	t.publish(updated)
}

// Replace applies the complete list at a version. Upstreams that it lacks have been removed.
//
// The first list of an epoch is a copy some seconds old and what has been written since: upstreams that it lacks may be
// running, and ones that it has may have left or been replaced.
func (t *Table) Replace(list []Upstream, at ferryplatform.Version) {
	t.mu.Lock()
	defer t.mu.Unlock()
	restored := t.listed && at.Epoch() > t.epoch
	t.outage = t.outage || restored
	t.epoch, t.listed = max(t.epoch, at.Epoch()), true
	updated := t.endOutage()
	listed := make(map[string]bool, len(list))
	for _, u := range list {
		listed[u.Name] = true
		switch {
		case t.isHeld(&u):
		case restored && t.isOutdated(&u):
			updated = t.hold(u) || updated
		default:
			updated = t.put(u) || updated
		}
	}
	maps.DeleteFunc(t.held, func(name string, _ heldUpstream) bool { return !listed[name] })
	for name, u := range t.rows {
		if !listed[name] && u.Version <= at {
			updated = t.remove(name, at) || updated
		}
	}
	t.outage = false
	t.publish(updated)
}

// Expire removes expired upstreams that have not registered again in time, and returns
// when it must be called next.
func (t *Table) Expire() (next time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.clock.Now()
	updated := false
	for name, until := range t.graceUntil {
		if !now.Before(until) {
			t.drop(name)
			updated = true
			continue
		}
		if next.IsZero() || until.Before(next) {
			next = until
		}
	}
	updated = t.release(now) || updated
	for name, g := range t.tombstones {
		if now.Sub(g.at) > tombstoneRetention {
			delete(t.tombstones, name)
		}
	}
	t.forgetProcesses(now)
	t.publish(updated)
	return next
}

// endOutage restarts the grace period of upstreams that expired during an outage, if the platform was
// unreachable. It changes no upstream and always returns false.
func (t *Table) endOutage() bool {
	if !t.outage {
		return false
	}
	for name := range t.graceUntil {
		t.graceUntil[name] = t.clock.Now().Add(expiryGrace)
	}
	return false
}

func (t *Table) put(u Upstream) bool {
	old := t.rows[u.Name]
	if old != nil && old.Version >= u.Version {
		return false
	}
	g := t.tombstones[u.Name]
	if g.version >= u.Version && g.version != ferryplatform.NoVersion {
		return false
	}
	delete(t.tombstones, u.Name)
	delete(t.graceUntil, u.Name)
	delete(t.held, u.Name)
	before := cmp.Or(old, g.last)
	u.process = t.processOf(&u, before)
	if before != nil && before.leftBefore(&u) {
		u.process.leaving.Store(true)
	}
	if u.process.leaving.Load() {
		u.State = ferryplatform.StateLeaving
	}
	t.setRow(u.Name, &u)
	return old == nil || old.Instance != u.Instance
}

// remove removes an upstream, or starts its grace period if its registration may have expired because of an
// outage.
func (t *Table) remove(name string, v ferryplatform.Version) bool {
	old := t.rows[name]
	if old != nil && old.Version > v {
		return false
	}
	if g := t.tombstones[name]; g.version < v {
		t.tombstones[name] = tombstone{version: v, at: t.clock.Now(), last: g.last}
	}
	if old == nil {
		if h, held := t.held[name]; held && h.upstream.Version <= v {
			delete(t.held, name)
		}
		return false
	}
	if t.outage && old.Ready() {
		if _, ok := t.graceUntil[name]; !ok {
			t.graceUntil[name] = t.clock.Now().Add(expiryGrace)
		}
		return false
	}
	t.drop(name)
	return true
}

// drop removes the row of an upstream that has a tombstone.
func (t *Table) drop(name string) {
	g := t.tombstones[name]
	g.last = t.rows[name]
	t.tombstones[name] = g
	t.setRow(name, nil)
	delete(t.graceUntil, name)
}

// setRow sets the row of an upstream; nil removes it.
func (t *Table) setRow(name string, u *Upstream) {
	t.touched[name] = true
	t.dropProcess(t.rows[name])
	if u == nil {
		delete(t.rows, name)
		return
	}
	u.process.goneAt = time.Time{}
	t.rows[name] = u
}

// publish makes a new view of the rows. Only the lists with touched rows are copied, since a single upstream of
// thousands changes at a time.
func (t *Table) publish(updated bool) {
	if !updated {
		return
	}
	old := t.view.Load()
	v := &View{services: maps.Clone(old.services), byName: maps.Clone(old.byName)}
	copied := map[ferryid.ServiceName]bool{}
	for name := range t.touched {
		if u := v.byName[name]; u != nil {
			v.copyOnce(u.Service, copied)
			v.remove(u)
		}
		if u := t.rows[name]; u != nil {
			v.copyOnce(u.Service, copied)
			v.insert(u)
		}
	}
	clear(t.touched)
	t.view.Store(v)
	for _, f := range t.changed {
		f(v)
	}
}

// copyOnce copies the list of a service unless that was done before.
func (v *View) copyOnce(s ferryid.ServiceName, copied map[ferryid.ServiceName]bool) {
	if !copied[s] {
		copied[s] = true
		v.services[s] = slices.Clone(v.services[s])
	}
}

func (v *View) search(u *Upstream) (int, bool) {
	return slices.BinarySearchFunc(v.services[u.Service], u.Name, func(o *Upstream, name string) int { return cmp.Compare(o.Name, name) })
}

func (v *View) insert(u *Upstream) {
	i, _ := v.search(u)
	v.services[u.Service] = slices.Insert(v.services[u.Service], i, u)
	v.byName[u.Name] = u
}

func (v *View) remove(u *Upstream) {
	if i, ok := v.search(u); ok {
		v.services[u.Service] = slices.Delete(v.services[u.Service], i, i+1)
	}
	delete(v.byName, u.Name)
}
