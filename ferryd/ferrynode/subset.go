package ferrynode

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"sync/atomic"
	"time"

	"github.com/uber-go/tally/v4"

	"cactusferry.dev/ferry/ferryid"
	"cactusferry.dev/ferry/ferrypeer"
	"cactusferry.dev/ferry/ferrypipeline"
	"cactusferry.dev/ferry/ferryroute"
	"cactusferry.dev/ferry/ferryservice"
	"cactusferry.dev/ferry/ferrysubset"
)

const (
	// widenDuration is how long an entry uses all engines after no engine of its subset could take a job.
	widenDuration = 10 * time.Second
	// unreachableAfter is the number of consecutive unanswered load reads after which an engine counts as unreachable
	// for unreachableDuration.
	unreachableAfter    = 3
	unreachableDuration = 30 * time.Second
)

// unansweredReads counts the consecutive unanswered load reads of an engine.
type unansweredReads struct {
	count  int
	lastAt time.Time
}

// subset is the part of a service's engines that this entry uses.
type subset struct {
	// allEngines is set if every entry uses all engines; the entries then share the load reads.
	allEngines atomic.Bool
	engines    atomic.Pointer[ferryroute.Candidates]
	// The fields below are guarded by services.mu.
	cfg          ferrysubset.Config
	chooser      *ferrysubset.Chooser
	candidates   []ferrysubset.Candidate
	chosen       []int
	widenedUntil time.Time
}

// ownReads returns the engines whose load this entry reads itself.
func (p *subset) ownReads() ferryroute.Candidates {
	if cs := p.engines.Load(); cs != nil && !p.allEngines.Load() {
		return *cs
	}
	return nil
}

// subsetPicker falls back to all engines if no engine of the subset can take a job.
type subsetPicker struct {
	*ferrypipeline.Pool
	widen func()
}

// Pick selects unsuspected engines of the subset, then of all engines, and suspected engines as the last resort.
func (p *subsetPicker) Pick(job *ferrypipeline.Job, exclude []ferryid.UpstreamName) (ferrypipeline.Plan, error) {
	plan, err := p.PickUnsuspected(job, exclude)
	if err == nil {
		return plan, nil
	}
	p.widen()
	return p.Pool.Pick(job, exclude)
}

// slots returns this entry's share of an engine's slots, at least one.
// The slots of an engine in a subset are shared only by the entries that have it in their subset.
func (p *subset) slots(c ferryroute.Candidate, entries int) int {
	if p.allEngines.Load() {
		return max(1, c.Credit)
	}
	slots := float64(cmp.Or(c.Slots, ferryservice.DefaultSlots))
	return max(1, int(math.Ceil(slots/p.cfg.EntriesPerCandidate(entries, p.activeCandidates()))))
}

// usableEntries returns the names of the entries that accept calls.
func usableEntries(ms ferrypeer.Members) []ferryid.EntryName {
	out := make([]ferryid.EntryName, 0, len(ms.List))
	for _, m := range ms.List {
		if m.Usable() {
			out = append(out, m.Name)
		}
	}
	return out
}

// setMembers sets the entries that share the engines.
func (s *services) setMembers(members []ferryid.EntryName) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if slices.Equal(s.members, members) {
		return
	}
	s.members = members
	for _, sv := range s.byName {
		if d := sv.doc.Load(); d.Kind == ferryservice.KindModel {
			s.refreshModel(sv, d)
		}
	}
}

// recordRead records whether an engine answered a load read.
func (s *services) recordRead(key string, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.clock.Now()
	times := s.unanswered[key].count + 1
	maps.DeleteFunc(s.unanswered, func(k string, u unansweredReads) bool {
		return k == key || !now.Before(u.lastAt.Add(unreachableDuration))
	})
	if !ok {
		s.unanswered[key] = unansweredReads{count: times, lastAt: now}
	}
}

// widen makes the entry use all engines of a service for widenDuration.
func (s *services) widen(sv *service) {
	if sv.subset.allEngines.Load() {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.clock.Now()
	if now.Before(sv.subset.widenedUntil) {
		return
	}
	sv.subset.widenedUntil = now.Add(widenDuration)
	s.events.Add("SubsetWidened", string(sv.name), "no engine of the subset takes a job, all are tried for %s", widenDuration)
	s.refreshModel(sv, sv.doc.Load())
}

// assignedEngines returns the engines that this entry sends work to; the caller holds s.mu.
func (s *services) assignedEngines(sv *service, d *ferryservice.Document) ferryroute.Candidates {
	all := sv.table.Snapshot().All()
	p := &sv.subset
	p.setCandidates(s, d, all)
	p.allEngines.Store(d.Policy.Route == ferryservice.RouteRandom || p.cfg.UsesAll(len(s.members), p.activeCandidates()))
	if p.allEngines.Load() {
		p.engines.Store(&all)
		return all
	}
	p.chosen = p.chooser.Choose(s.self, s.members, p.candidates, p.chosen[:0])
	part := p.chosenEngines(d, all)
	p.engines.Store(&part)
	if s.clock.Now().Before(p.widenedUntil) {
		return all
	}
	return part
}

// setCandidates sets the candidates of the subset: the engines, or the fixed pipelines of the document.
func (p *subset) setCandidates(s *services, d *ferryservice.Document, all ferryroute.Candidates) {
	cfg := ferrysubset.Default
	if n := len(d.Pipelines); n > 0 {
		stages := 0
		for _, f := range d.Pipelines {
			stages += len(f.Stages)
		}
		cfg = cfg.Grouped(stages / n)
	}
	if p.chooser == nil || p.cfg != cfg {
		p.cfg, p.chooser = cfg, ferrysubset.New(cfg)
	}
	p.candidates = p.candidates[:0]
	if len(d.Pipelines) > 0 {
		p.setPipelineCandidates(s, d, all)
		return
	}
	for _, c := range all {
		p.candidates = append(p.candidates, ferrysubset.Candidate{
			Name: c.Name, Domain: c.FailureDomain, Layers: c.Layers,
			Excluded: c.State == ferryroute.StateLeaving, Unreachable: s.isUnreachable(d.Service, c.Name),
		})
	}
}

func (p *subset) setPipelineCandidates(s *services, d *ferryservice.Document, all ferryroute.Candidates) {
	named := make(map[ferryid.UpstreamName]ferryroute.Candidate, len(all))
	for _, c := range all {
		named[c.Name] = c
	}
	for _, f := range d.Pipelines {
		c := ferrysubset.Candidate{Name: ferryid.UpstreamName(f.Name), Layers: ferryid.LayerRange{To: d.Model.Layers}}
		for i, stage := range f.Stages {
			e, ok := named[stage]
			if i == 0 {
				c.Domain = e.FailureDomain
			}
			c.Excluded = c.Excluded || !ok || e.State == ferryroute.StateLeaving
			c.Unreachable = c.Unreachable || s.isUnreachable(d.Service, stage)
		}
		p.candidates = append(p.candidates, c)
	}
}

func (s *services) isUnreachable(service ferryid.ServiceName, name ferryid.UpstreamName) bool {
	if len(s.unanswered) == 0 {
		return false
	}
	u := s.unanswered[upstreamKey(service, name)]
	return u.count >= unreachableAfter && s.clock.Now().Before(u.lastAt.Add(unreachableDuration))
}

// activeCandidates returns the number of candidates that are not excluded.
func (p *subset) activeCandidates() int {
	n := 0
	for i := range p.candidates {
		if !p.candidates[i].Excluded {
			n++
		}
	}
	return n
}

// chosenEngines returns the engines of the chosen candidates in the order of the routing table.
func (p *subset) chosenEngines(d *ferryservice.Document, all ferryroute.Candidates) ferryroute.Candidates {
	if len(d.Pipelines) == 0 {
		part := make(ferryroute.Candidates, 0, len(p.chosen))
		for _, i := range p.chosen {
			part = append(part, all[i])
		}
		return part
	}
	stages := map[ferryid.UpstreamName]bool{}
	for _, i := range p.chosen {
		for _, name := range d.Pipelines[i].Stages {
			stages[name] = true
		}
	}
	return slices.DeleteFunc(slices.Clone(all), func(c ferryroute.Candidate) bool { return !stages[c.Name] })
}

// updateSubsetMetrics sets the gauges for a service's assigned engines and the age of their load reports.
func (n *Node) updateSubsetMetrics(scope tally.Scope, sv *service) {
	cs := sv.subset.engines.Load()
	if cs == nil {
		return
	}
	reports := n.sharedLoads
	if !sv.subset.allEngines.Load() {
		reports = n.subsetLoads
	}
	now, sum, known := n.clock.Now(), time.Duration(0), 0
	for _, c := range *cs {
		if e, ok := reports.Get(upstreamKey(sv.name, c.Name)); ok {
			sum += now.Sub(e.Value.At)
			known++
		}
	}
	scope.Gauge("engines_worked").Update(float64(len(*cs)))
	scope.Gauge("engines_known").Update(float64(known))
	scope.Gauge("load_age_seconds").Update(sum.Seconds() / float64(max(1, known)))
}
