package ferrynode

import (
	"context"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"

	"cactusferry.dev/ferry/ferrydrain"
	"cactusferry.dev/ferry/ferryengine"
	"cactusferry.dev/ferry/ferryevent"
	"cactusferry.dev/ferry/ferryid"
	"cactusferry.dev/ferry/ferryplatform"
	"cactusferry.dev/ferry/ferryqueue"
	"cactusferry.dev/ferry/ferryroute"
	"cactusferry.dev/ferry/ferryservice"
)

const minRetryBurst = 10

// service is the runtime state of one service on this entry.
type service struct {
	name ferryid.ServiceName
	// accepted is the document in force; doc adds the upstreams of the instance list and the leaving marks.
	accepted  *ferryservice.Document
	doc       atomic.Pointer[ferryservice.Document]
	table     *ferryroute.Table
	admission *ferryqueue.Admission
	budget    atomic.Pointer[ferryroute.RetryBudget]
	model     atomic.Pointer[model]
	orders    atomic.Pointer[serviceOrders]
	subset    subset
	mu        sync.Mutex
	rand      ferryroute.Rand
}

// services is the registry of all services. Calls read the atomic snapshot without taking the lock.
type services struct {
	clock   clockwork.Clock
	engines *ferryengine.Client
	// onLeaving is called for engines that announce their planned stop.
	onLeaving func(ferryid.ServiceName, ferryid.UpstreamName)
	events    *ferryevent.Log
	mu        sync.Mutex
	byName    map[ferryid.ServiceName]*service
	snapshot  atomic.Pointer[map[ferryid.ServiceName]*service]
	list      ferryplatform.Instances
	marks     *ferrydrain.Marks
	// leavingKeys and incarnations are keyed by upstreamKey.
	leavingKeys  map[string]bool
	incarnations map[string]ferryid.Incarnation
	// index is the index of this entry among the usable entries, and entries their number; see setShare.
	index   int
	entries int
	self    ferryid.EntryName
	// members holds the usable entries.
	members []ferryid.EntryName
	// unanswered holds the engines that did not answer their last load read, by service and upstream.
	unanswered map[string]unansweredReads
}

func newServices(clock clockwork.Clock, engines *ferryengine.Client, events *ferryevent.Log) *services {
	s := &services{clock: clock, engines: engines, events: events, byName: map[ferryid.ServiceName]*service{}, entries: 1, unanswered: map[string]unansweredReads{}}
	s.snapshot.Store(&map[ferryid.ServiceName]*service{})
	return s
}

func (s *services) get(name ferryid.ServiceName) (*service, bool) {
	sv, ok := (*s.snapshot.Load())[name]
	return sv, ok
}

// all returns the services ordered by name.
func (s *services) all() []*service {
	var out []*service
	for _, sv := range *s.snapshot.Load() {
		out = append(out, sv)
	}
	slices.SortFunc(out, func(a, b *service) int {
		if a.name < b.name {
			return -1
		}
		return 1
	})
	return out
}

// Document returns the document in force with the upstreams added by the instance list.
func (s *services) Document(name ferryid.ServiceName) (*ferryservice.Document, bool) {
	sv, ok := s.get(name)
	if !ok {
		return nil, false
	}
	return sv.doc.Load(), true
}

// setDocument activates a document; ctx bounds the goroutines of a new service.
func (s *services) setDocument(ctx context.Context, d *ferryservice.Document) {
	s.mu.Lock()
	defer s.mu.Unlock()
	sv, ok := s.byName[d.Service]
	if !ok {
		sv = &service{
			name:      d.Service,
			table:     ferryroute.NewTable(ferryroute.Options{}),
			admission: ferryqueue.NewAdmission(s.clock),
			rand:      ferryroute.Rand(s.clock.Now().UnixNano()),
		}
		s.byName[d.Service] = sv
		go sv.admission.Run(ctx, ferryqueue.ConfigOf(d))
	}
	sv.accepted = d
	sv.budget.Store(ferryroute.NewRetryBudget(d.Limits.RetryShare, minRetryBurst))
	s.refresh(sv)
	next := make(map[ferryid.ServiceName]*service, len(s.byName))
	for k, v := range s.byName {
		next[k] = v
	}
	s.snapshot.Store(&next)
}

// setInstances applies a new instance list.
func (s *services) setInstances(list ferryplatform.Instances) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.list = list
	for _, sv := range s.byName {
		s.refresh(sv)
	}
}

// setMarks applies the leaving marks and returns the keys of the upstreams that are newly leaving.
func (s *services) setMarks(marks *ferrydrain.Marks) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.marks = marks
	leaving := map[string]bool{}
	var newlyLeaving []string
	for _, sv := range s.byName {
		for _, u := range sv.doc.Load().Upstreams {
			key := upstreamKey(sv.name, u.Name)
			if !marks.Leaving(sv.name, u.Name, s.incarnationOf(key, u.Address)) {
				continue
			}
			leaving[key] = true
			if !s.leavingKeys[key] {
				newlyLeaving = append(newlyLeaving, key)
			}
		}
	}
	if !maps.Equal(s.leavingKeys, leaving) {
		s.leavingKeys = leaving
		for _, sv := range s.byName {
			s.refresh(sv)
		}
	}
	return newlyLeaving
}

// incarnationOf returns an upstream's incarnation from its load report, or else from the instance list.
// The caller holds s.mu.
func (s *services) incarnationOf(key, address string) ferryid.Incarnation {
	if id, ok := s.incarnations[key]; ok && id != "" {
		return id
	}
	for _, in := range s.list {
		if in.Address == address && in.Role != ferryplatform.RoleEntry {
			return in.Incarnation
		}
	}
	return ""
}

// setIncarnations sets the engines' incarnations by service and upstream.
func (s *services) setIncarnations(m map[string]ferryid.Incarnation) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.incarnations = m
}

// setShare sets this entry's index, from 0, among the entries that share the upstreams, and their number.
// All entries use the same order.
func (s *services) setShare(index, entries int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.index == index && s.entries == entries {
		return
	}
	s.index, s.entries = index, entries
	for _, sv := range s.byName {
		s.refresh(sv)
	}
}

// refresh merges the accepted document with the instance list; the caller holds s.mu.
func (s *services) refresh(sv *service) {
	d := *sv.accepted
	d.Upstreams = mergedUpstreams(sv.accepted, s.list)
	for i, u := range d.Upstreams {
		if s.leavingKeys[upstreamKey(d.Service, u.Name)] {
			d.Upstreams[i].Leaving = true
		}
	}
	sv.doc.Store(&d)
	sv.table.SetDocument(&d)
	sv.table.SetShare(s.index, s.entries)
	sv.admission.SetDocument(&d)
	sv.admission.SetCapacity(sv.slots())
	if d.Kind == ferryservice.KindModel {
		s.refreshModel(sv, &d)
	}
}

// refreshModel updates the pool's engines; if the set does not cover all layers of the model,
// the last one stays in use.
func (s *services) refreshModel(sv *service, d *ferryservice.Document) {
	cfg, loads := s.planner(sv, d)
	if md := sv.model.Load(); md != nil && !md.needsRebuild(d, cfg) {
		if err := md.update(cfg, loads); err != nil {
			s.events.Add("EnginesInvalid", string(sv.name), "%v", err)
		}
		return
	}
	md, err := s.newModel(sv, d)
	if err != nil {
		s.events.Add("EnginesInvalid", string(sv.name), "%v", err)
		return
	}
	sv.model.Store(md)
}

// mergedUpstreams returns the document's upstreams and the service's other instances in the list.
func mergedUpstreams(d *ferryservice.Document, list ferryplatform.Instances) ferryservice.Upstreams {
	ups := slices.Clone(d.Upstreams)
	for _, in := range list {
		if in.Service != d.Service || in.Role == ferryplatform.RoleEntry {
			continue
		}
		i := slices.IndexFunc(ups, func(u ferryservice.Upstream) bool { return u.Address == in.Address })
		if i < 0 {
			ups = append(ups, ferryservice.Upstream{
				Name: ferryid.UpstreamName(in.Name), Address: in.Address, FailureDomain: in.FailureDomain,
				Accelerator: in.Accelerator, Layers: in.Layers,
			})
		}
	}
	return ups
}

// tick advances the timers of the routing tables, such as probes of failed upstreams, and updates queue capacities.
func (s *services) tick(now time.Time) {
	for _, sv := range s.all() {
		sv.table.Tick(now)
		sv.admission.SetCapacity(sv.slots())
	}
}

// slots returns the number of calls that may run concurrently.
// If all upstreams that are not leaving have failed, it allows one trial call per upstream, or a single one for a
// model whose layers are all covered, so that recovered upstreams are detected.
func (sv *service) slots() int {
	snap := sv.table.Snapshot()
	n := snap.Slots()
	if n > 0 {
		return n
	}
	if sv.doc.Load().Kind == ferryservice.KindModel {
		return snap.TrialSlots()
	}
	for _, c := range snap.All() {
		if c.State != ferryroute.StateLeaving {
			n++
		}
	}
	return n
}

// refreshModels updates the engines and the avoided engines of all pools.
func (s *services) refreshModels() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, sv := range s.byName {
		if d := sv.doc.Load(); d.Kind == ferryservice.KindModel {
			s.refreshModel(sv, d)
		}
	}
}
