package ferryroute

import (
	"math"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"cactusferry.dev/ferry/ferryid"
	"cactusferry.dev/ferry/ferryservice"
)

// Table holds the state of a service's upstreams as this entry knows it. All methods
// are safe for concurrent use.
type Table struct {
	mu        sync.Mutex
	policy    ferryservice.RoutePolicy
	opts      Options
	upstreams []*upstream
	entry     int
	entries   int
	byName    map[ferryid.UpstreamName]*upstream
	snap      atomic.Pointer[Snapshot]
	refused   ReportCounts
}

// upstream is the state of one upstream; row.load is shared with the snapshots.
type upstream struct {
	row row
	// nominal is the rate in the service document in tokens/s, 0 if there is none.
	nominal       float64
	speed         speed
	health        health
	leaving       bool
	lastReport    time.Time
	others        float64
	othersRunning float64
	hasReport     bool
	history       history
}

// NewTable returns an empty table.
func NewTable(opts Options) *Table {
	t := &Table{entries: 1, opts: opts, policy: ferryservice.RouteLeast, byName: map[ferryid.UpstreamName]*upstream{}}
	t.publish()
	return t
}

// SetDocument replaces the upstreams by those of a service document. The state of upstreams with
// the same address is kept.
func (t *Table) SetDocument(d *ferryservice.Document) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if d.Policy.Route != "" {
		t.policy = d.Policy.Route
	}
	old := t.byName
	t.byName = make(map[ferryid.UpstreamName]*upstream, len(d.Upstreams))
	t.upstreams = t.upstreams[:0]
	for _, u := range d.Upstreams {
		up, ok := old[u.Name]
		if !ok || up.row.address != u.Address {
			up = newUpstream(u)
		}
		up.configure(u)
		t.byName[u.Name] = up
		t.upstreams = append(t.upstreams, up)
	}
	t.publish()
}

func newUpstream(u ferryservice.Upstream) *upstream {
	return &upstream{row: row{load: &load{}, state: StateLive, seed: xxhash.Sum64String(string(u.Name))}}
}

func (u *upstream) configure(d ferryservice.Upstream) {
	u.row.name, u.row.address, u.row.domain = d.Name, d.Address, d.FailureDomain
	u.row.layers, u.row.slots = d.Layers, d.Slots
	u.nominal = float64(d.TokensPerSecond)
	u.leaving = d.Leaving
	u.speed.expected = u.nominal / float64(max(1, d.Slots))
	u.setRate()
}

// setRate stores the rate of the upstream with all its slots occupied.
func (u *upstream) setRate() {
	r := u.speed.recent
	if u.speed.samples < minSamples && u.speed.expected > 0 {
		r = u.speed.expected
	}
	u.row.load.rateBits.Store(math.Float64bits(r * float64(max(1, u.row.slots))))
}

// SetLeaving sets whether an upstream is leaving.
func (t *Table) SetLeaving(name ferryid.UpstreamName, leaving bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if u, ok := t.byName[name]; ok && u.leaving != leaving {
		u.leaving = leaving
		t.publish()
	}
}

// Snapshot returns the current snapshot; it is never nil.
func (t *Table) Snapshot() *Snapshot {
	return t.snap.Load()
}

// Tick starts probing the upstreams whose exclusion is over.
func (t *Table) Tick(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	changed := false
	for _, u := range t.upstreams {
		if u.health.due(now) {
			u.health.state = StateProbing
			u.speed.restart()
			changed = true
		}
	}
	if changed {
		t.publish()
	}
}

// publish stores a new snapshot. The caller must hold the lock.
func (t *Table) publish() {
	s := &Snapshot{policy: t.policy, opts: t.opts, rows: make([]row, 0, len(t.upstreams))}
	for _, u := range t.upstreams {
		r := u.row
		r.state = u.state()
		r.credit = t.credit(u)
		s.rows = append(s.rows, r)
	}
	t.snap.Store(s)
}

func (u *upstream) state() State {
	if u.leaving {
		return StateLeaving
	}
	if u.health.state == "" {
		return StateLive
	}
	return u.health.state
}
