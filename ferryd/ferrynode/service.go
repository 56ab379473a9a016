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

const retryBurst = 10

// service is what this entry keeps of one service beside its document.
type service struct {
	name      ferryid.ServiceName
	accepted  *ferryservice.Document
	doc       atomic.Pointer[ferryservice.Document]
	table     *ferryroute.Table
	admission *ferryqueue.Admission
	budget    atomic.Pointer[ferryroute.Budget]
	model     atomic.Pointer[model]
	orders    atomic.Pointer[orders]
	part      subset
	mu        sync.Mutex
	rand      ferryroute.Rand
}

// services is the registry of all services; it is changed by one duty and read by every call.
type services struct {
	clock   clockwork.Clock
	engines *ferryengine.Client
	// leaving is told of engines that say themselves that they leave.
	leaving      func(ferryid.ServiceName, ferryid.UpstreamName)
	events       *ferryevent.Log
	mu           sync.Mutex
	named        map[ferryid.ServiceName]*service
	snap         atomic.Pointer[map[ferryid.ServiceName]*service]
	list         ferryplatform.Instances
	marks        *ferrydrain.Marks
	left         map[string]bool
	incarnations map[string]ferryid.Incarnation
	index        int
	entries      int
	self         ferryid.EntryName
	// members are the entries that take calls.
	members []ferryid.EntryName
	// unread are the engines that did not answer their last reading, by service and upstream.
	unread map[string]unread
}

func newServices(clock clockwork.Clock, engines *ferryengine.Client, events *ferryevent.Log) *services {
	s := &services{clock: clock, engines: engines, events: events, named: map[ferryid.ServiceName]*service{}, entries: 1, unread: map[string]unread{}}
	s.snap.Store(&map[ferryid.ServiceName]*service{})
	return s
}

func (s *services) get(name ferryid.ServiceName) (*service, bool) {
	sv, ok := (*s.snap.Load())[name]
	return sv, ok
}

// all returns the services by name.
func (s *services) all() []*service {
	var out []*service
	for _, sv := range *s.snap.Load() {
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

// Document returns the document in force, with the upstreams that the instance list adds to it.
func (s *services) Document(name ferryid.ServiceName) (*ferryservice.Document, bool) {
	sv, ok := s.get(name)
	if !ok {
		return nil, false
	}
	return sv.doc.Load(), true
}

// setDocument puts a document to use; ctx ends the duties of a new service.
func (s *services) setDocument(ctx context.Context, d *ferryservice.Document) {
	s.mu.Lock()
	defer s.mu.Unlock()
	sv, ok := s.named[d.Service]
	if !ok {
		sv = &service{
			name:      d.Service,
			table:     ferryroute.NewTable(ferryroute.Options{}),
			admission: ferryqueue.NewAdmission(s.clock),
			rand:      ferryroute.Rand(s.clock.Now().UnixNano()),
		}
		s.named[d.Service] = sv
		go sv.admission.Run(ctx, ferryqueue.ConfigOf(d))
	}
	sv.accepted = d
	sv.budget.Store(ferryroute.NewBudget(d.Limits.RetryShare, retryBurst))
	s.refresh(sv)
	next := make(map[ferryid.ServiceName]*service, len(s.named))
	for k, v := range s.named {
		next[k] = v
	}
	s.snap.Store(&next)
}

// setInstances takes a new instance list.
func (s *services) setInstances(list ferryplatform.Instances) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.list = list
	for _, sv := range s.named {
		s.refresh(sv)
	}
}

// setMarks takes the leaving marks and returns the upstreams, by service and name, that are new among the leaving.
func (s *services) setMarks(marks *ferrydrain.Marks) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.marks = marks
	left := map[string]bool{}
	var fresh []string
	for _, sv := range s.named {
		for _, u := range sv.doc.Load().Upstreams {
			key := upstreamKey(sv.name, u.Name)
			if !marks.Leaving(sv.name, u.Name, s.incarnationOf(key, u.Address)) {
				continue
			}
			left[key] = true
			if !s.left[key] {
				fresh = append(fresh, key)
			}
		}
	}
	if !maps.Equal(s.left, left) {
		s.left = left
		for _, sv := range s.named {
			s.refresh(sv)
		}
	}
	return fresh
}

// incarnationOf is the run of an upstream by its own report, or else by the instance list; the caller holds the lock.
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

// setIncarnations takes the engines' incarnations, by service and upstream.
func (s *services) setIncarnations(m map[string]ferryid.Incarnation) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.incarnations = m
}

// setShare takes this entry's place, from 0, among the entries that share the upstreams, which all count in the same order.
func (s *services) setShare(index, entries int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.index == index && s.entries == entries {
		return
	}
	s.index, s.entries = index, entries
	for _, sv := range s.named {
		s.refresh(sv)
	}
}

// refresh merges the accepted document with the instance list; the caller holds the lock.
func (s *services) refresh(sv *service) {
	d := *sv.accepted
	d.Upstreams = merged(sv.accepted, s.list)
	for i, u := range d.Upstreams {
		if s.left[upstreamKey(d.Service, u.Name)] {
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

// refreshModel gives the engines to the pool; a set that covers no whole model leaves the last one in use.
func (s *services) refreshModel(sv *service, d *ferryservice.Document) {
	cfg, loads := s.planner(sv, d)
	if md := sv.model.Load(); md != nil && !md.outdated(d, cfg) {
		if err := md.set(cfg, loads); err != nil {
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

// merged adds the listed instances of the service that the document does not name.
func merged(d *ferryservice.Document, list ferryplatform.Instances) ferryservice.Upstreams {
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

// tick lets upstreams that were put aside be tried again, and tells the queues how many calls may run.
func (s *services) tick(now time.Time) {
	for _, sv := range s.all() {
		sv.table.Tick(now)
		sv.admission.SetCapacity(sv.slots())
	}
}

// slots is how many calls may run at once; where every upstream that does not leave has failed, one for each, or one for all layers of a
// model, so that calls find out which is back.
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

// refreshModels tells the pools which engines to avoid now.
func (s *services) refreshModels() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, sv := range s.named {
		if d := sv.doc.Load(); d.Kind == ferryservice.KindModel {
			s.refreshModel(sv, d)
		}
	}
}
