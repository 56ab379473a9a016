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
	// wideFor is how long an entry works all engines after its subset could not take a job.
	wideFor = 10 * time.Second
	// lostAfter is how many readings in a row an engine leaves unanswered until the subset does without it, for lostFor.
	lostAfter = 3
	lostFor   = 30 * time.Second
)

// unread is how often in a row, and when last, an engine did not answer a reading.
type unread struct {
	times int
	at    time.Time
}

// subset is the part of a service's engines that this entry works.
type subset struct {
	// whole says that every entry works all engines, and the entries read them for each other.
	whole   atomic.Bool
	engines atomic.Pointer[ferryroute.Candidates]
	// The rest belongs to the registry's lock.
	cfg        ferrysubset.Config
	chooser    *ferrysubset.Chooser
	candidates []ferrysubset.Candidate
	chosen     []int
	wideUntil  time.Time
}

// own returns the engines that this entry reads for itself.
func (p *subset) own() ferryroute.Candidates {
	if cs := p.engines.Load(); cs != nil && !p.whole.Load() {
		return *cs
	}
	return nil
}

// subsetPicker turns to all engines where those of the subset can't take a job.
type subsetPicker struct {
	*ferrypipeline.Pool
	widen func()
}

// Pick chooses within the subset first, with engines under suspicion only where the whole list has no others.
func (p *subsetPicker) Pick(job *ferrypipeline.Job, exclude []ferryid.UpstreamName) (ferrypipeline.Plan, error) {
	plan, err := p.PickUnsuspected(job, exclude)
	if err == nil {
		return plan, nil
	}
	p.widen()
	return p.Pool.Pick(job, exclude)
}

// slots is this entry's part of an engine's slots, at least one; an engine of a subset is shared with the few entries that work it.
func (p *subset) slots(c ferryroute.Candidate, entries int) int {
	if p.whole.Load() {
		return max(1, c.Credit)
	}
	slots := float64(cmp.Or(c.Slots, ferryservice.DefaultSlots))
	return max(1, int(math.Ceil(slots/p.cfg.Copies(entries, p.working()))))
}

// usable lists the entries that take calls.
func usable(ms ferrypeer.Members) []ferryid.EntryName {
	out := make([]ferryid.EntryName, 0, len(ms.List))
	for _, m := range ms.List {
		if m.Usable() {
			out = append(out, m.Name)
		}
	}
	return out
}

// setMembers takes the entries that share the engines.
func (s *services) setMembers(members []ferryid.EntryName) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if slices.Equal(s.members, members) {
		return
	}
	s.members = members
	for _, sv := range s.named {
		if d := sv.doc.Load(); d.Kind == ferryservice.KindModel {
			s.refreshModel(sv, d)
		}
	}
}

// setRead notes whether an engine answered a reading.
func (s *services) setRead(key string, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.clock.Now()
	times := s.unread[key].times + 1
	maps.DeleteFunc(s.unread, func(k string, u unread) bool { return k == key || !now.Before(u.at.Add(lostFor)) })
	if !ok {
		s.unread[key] = unread{times: times, at: now}
	}
}

// widen lets the entry work all engines of a service for a while.
func (s *services) widen(sv *service) {
	if sv.part.whole.Load() {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.clock.Now()
	if now.Before(sv.part.wideUntil) {
		return
	}
	sv.part.wideUntil = now.Add(wideFor)
	s.events.Add("SubsetWidened", string(sv.name), "no engine of the subset takes a job, all are tried for %s", wideFor)
	s.refreshModel(sv, sv.doc.Load())
}

// worked lists the engines that this entry gives work to; the caller holds the lock.
func (s *services) worked(sv *service, d *ferryservice.Document) ferryroute.Candidates {
	all := sv.table.Snapshot().All()
	p := &sv.part
	p.describe(s, d, all)
	p.whole.Store(d.Policy.Route == ferryservice.RouteRandom || p.cfg.Whole(len(s.members), p.working()))
	if p.whole.Load() {
		p.engines.Store(&all)
		return all
	}
	p.chosen = p.chooser.Choose(s.self, s.members, p.candidates, p.chosen[:0])
	part := p.pick(d, all)
	p.engines.Store(&part)
	if s.clock.Now().Before(p.wideUntil) {
		return all
	}
	return part
}

// describe fills in the candidates: the engines, or the fixed pipelines of the document.
func (p *subset) describe(s *services, d *ferryservice.Document, all ferryroute.Candidates) {
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
		p.describePipelines(s, d, all)
		return
	}
	for _, c := range all {
		p.candidates = append(p.candidates, ferrysubset.Candidate{
			Name: c.Name, Domain: c.FailureDomain, Layers: c.Layers,
			Out: c.State == ferryroute.StateLeaving, Lost: s.lost(d.Service, c.Name),
		})
	}
}

func (p *subset) describePipelines(s *services, d *ferryservice.Document, all ferryroute.Candidates) {
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
			c.Out = c.Out || !ok || e.State == ferryroute.StateLeaving
			c.Lost = c.Lost || s.lost(d.Service, stage)
		}
		p.candidates = append(p.candidates, c)
	}
}

func (s *services) lost(service ferryid.ServiceName, name ferryid.UpstreamName) bool {
	if len(s.unread) == 0 {
		return false
	}
	u := s.unread[upstreamKey(service, name)]
	return u.times >= lostAfter && s.clock.Now().Before(u.at.Add(lostFor))
}

// working counts the candidates that get work.
func (p *subset) working() int {
	n := 0
	for i := range p.candidates {
		if !p.candidates[i].Out {
			n++
		}
	}
	return n
}

// pick lists the engines of the chosen candidates in the order of the table.
func (p *subset) pick(d *ferryservice.Document, all ferryroute.Candidates) ferryroute.Candidates {
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

// tellSubset sets the gauges of a service's engines and of how old what is known of them is.
func (n *Node) tellSubset(scope tally.Scope, sv *service) {
	cs := sv.part.engines.Load()
	if cs == nil {
		return
	}
	reports := n.loads
	if !sv.part.whole.Load() {
		reports = n.own
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
