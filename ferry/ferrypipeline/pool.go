package ferrypipeline

import (
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"cactusferry.dev/ferry/ferryengine"
	"cactusferry.dev/ferry/ferryid"
)

const (
	// observeWeight is the weight of the newest measurement, and minObserveSteps the tokens it takes to count.
	observeWeight   = 0.5
	minObserveSteps = 4
	maxReportSkew   = 5 * time.Second
	firstSuspicion  = time.Second
	maxSuspicion    = 10 * time.Second
)

// suspicion keeps jobs away from an engine that failed another job, longer each time until it gives a token again.
type suspicion struct {
	until time.Time
	next  time.Duration
}

// Pool is a Picker over one service's engines, which counts its own dispatches as outstanding at once.
type Pool struct {
	clock clockwork.Clock

	mu      sync.Mutex
	planner *Planner
	index   map[ferryid.UpstreamName]int
	loads   []Load
	// others is the work that other entries have given to each candidate, as far as its reports show.
	others   []ferryid.Tokens
	reported []time.Time
	excluded []bool
	refused  int
	suspects map[ferryid.UpstreamName]suspicion
	scratch  Plan
}

// NewPool returns a pool of the planner's candidates, with loads parallel to them.
func NewPool(cfg PlannerConfig, loads []Load, clock clockwork.Clock) (*Pool, error) {
	p := &Pool{clock: clock, suspects: map[ferryid.UpstreamName]suspicion{}}
	return p, p.Set(cfg, loads)
}

// Set replaces the candidates; work given to those that stay remains outstanding, and measured links remain.
func (p *Pool) Set(cfg PlannerConfig, loads []Load) error {
	planner, err := NewPlanner(cfg)
	if err != nil {
		return err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.planner != nil {
		planner.takeLinks(p.planner)
	}
	index := map[ferryid.UpstreamName]int{}
	loads = slices.Clone(loads)
	for i, c := range cfg.Candidates {
		index[c.Name] = i
		if old, ok := p.index[c.Name]; ok {
			loads[i].Outstanding = p.loads[old].Outstanding - p.others[old]
			loads[i].Running = p.loads[old].Running
		}
	}
	p.planner, p.index, p.loads = planner, index, loads
	p.excluded = make([]bool, len(loads))
	p.others = make([]ferryid.Tokens, len(loads))
	p.reported = make([]time.Time, len(loads))
	return nil
}

// Pick chooses the plan whose slowest stage is done first; an engine that one job excludes is avoided by all for a while, unless there is no chain without it.
func (p *Pool) Pick(job *Job, exclude []ferryid.UpstreamName) (Plan, error) {
	return p.pick(job, exclude, true)
}

// PickUnsuspected is Pick, but returns a *NoChainError rather than a plan with an engine that other jobs failed on.
func (p *Pool) PickUnsuspected(job *Job, exclude []ferryid.UpstreamName) (Plan, error) {
	return p.pick(job, exclude, false)
}

func (p *Pool) pick(job *Job, exclude []ferryid.UpstreamName, suspectsToo bool) (Plan, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.clock.Now()
	if len(exclude) > 0 {
		p.suspect(exclude[len(exclude)-1], now)
	}
	tokens := ferryid.Tokens(job.MaxTokens - len(job.Resume))
	p.mark(exclude, now)
	err := p.planner.Choose(p.loads, p.excluded, tokens, &p.scratch)
	if err != nil && suspectsToo && len(p.suspects) > 0 {
		p.mark(exclude, time.Time{})
		err = p.planner.Choose(p.loads, p.excluded, tokens, &p.scratch)
	}
	if err != nil {
		return Plan{}, err
	}
	plan := p.scratch.clone()
	plan.At = now
	p.count(&plan, 1)
	return plan, nil
}

func (p *Pool) suspect(name ferryid.UpstreamName, now time.Time) {
	s := p.suspects[name]
	if now.Before(s.until) {
		return
	}
	s.next = min(maxSuspicion, max(firstSuspicion, 2*s.next))
	s.until = now.Add(s.next)
	p.suspects[name] = s
}

// mark sets what may not be used: the job's own exclusions and, unless now is zero, the suspects.
func (p *Pool) mark(exclude []ferryid.UpstreamName, now time.Time) {
	clear(p.excluded)
	for _, name := range exclude {
		if i, ok := p.index[name]; ok {
			p.excluded[i] = true
		}
	}
	if now.IsZero() {
		return
	}
	for name, s := range p.suspects {
		if i, ok := p.index[name]; ok && now.Before(s.until) {
			p.excluded[i] = true
		}
	}
}

// Done takes a plan's work off what is outstanding; engines that gave tokens are suspects no more.
func (p *Pool) Done(plan Plan, tokens ferryid.Tokens) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.count(&plan, -1)
	if tokens == 0 || len(p.suspects) == 0 {
		return
	}
	for _, s := range plan.Stages {
		if old, ok := p.suspects[s.Name]; ok && !plan.At.Before(old.until) {
			delete(p.suspects, s.Name)
		}
	}
}

func (p *Pool) count(plan *Plan, sign float64) {
	for _, s := range plan.Stages {
		if i, ok := p.index[s.Name]; ok {
			work := ferryid.Tokens(sign * float64(plan.Tokens) * s.Share)
			p.loads[i].Outstanding = max(p.others[i], p.loads[i].Outstanding+work)
			p.loads[i].Running = max(0, p.loads[i].Running+int(sign))
		}
	}
}

// Avoid keeps new work away from an engine, or lets it come again.
func (p *Pool) Avoid(name ferryid.UpstreamName, avoid bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if i, ok := p.index[name]; ok {
		p.loads[i].Avoid = avoid
	}
}

// SetSlots sets how many jobs this entry may have on an engine while others have room.
func (p *Pool) SetSlots(name ferryid.UpstreamName, n int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if i, ok := p.index[name]; ok {
		p.loads[i].Slots = n
	}
}

// Loads returns a copy of the present loads, parallel to the candidates.
func (p *Pool) Loads() []Load {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.Clone(p.loads)
}

// Observe takes up the measured rates of a plan's engines and the time of the links between them; a measurement that can't be right changes nothing.
func (p *Pool) Observe(plan Plan, times []ferryengine.StageTime) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(times) != len(plan.Stages) {
		return
	}
	for i := range times {
		t, s := &times[i], &plan.Stages[i]
		if t.Stage != s.Address || t.Steps < minObserveSteps {
			return
		}
		if j, ok := p.index[s.Name]; ok && t.BusyMicros > 0 {
			rate := float64(t.Steps) * s.Share / (float64(t.BusyMicros) / 1e6)
			p.loads[j].Rate = ferryid.TokensPerSecond(smooth(float64(p.loads[j].Rate), rate))
		}
		if i > 0 {
			before := &times[i-1]
			link := time.Duration(max(0, before.HopMicros-t.HeldMicros)) * time.Microsecond / time.Duration(t.Steps)
			p.planner.observeLink(plan.Stages[i-1].Domain, s.Domain, link)
		}
	}
}

func smooth(old, measured float64) float64 {
	return (1-observeWeight)*old + observeWeight*measured
}

// ReportError says why a load report was refused.
type ReportError struct {
	Name   ferryid.UpstreamName
	Detail string
}

func (e *ReportError) Error() string {
	return fmt.Sprintf("load report of %s refused: %s", e.Name, e.Detail)
}

// Report takes up an engine's lagging report: what it has to do beyond this entry's own work is that of others. A report that can't be right is refused, counted and changes nothing.
func (p *Pool) Report(l ferryengine.Load) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	i, known := p.index[l.Name]
	err := l.Check()
	switch {
	case err != nil:
	case !known:
		err = &ReportError{Name: l.Name, Detail: "there is no such engine"}
	case l.At.After(p.clock.Now().Add(maxReportSkew)):
		err = &ReportError{Name: l.Name, Detail: "it comes from the future"}
	case l.At.Before(p.reported[i]):
		err = &ReportError{Name: l.Name, Detail: "a newer one was here"}
	}
	if err != nil {
		p.refused++
		return err
	}
	p.reported[i] = l.At
	own := p.loads[i].Outstanding - p.others[i]
	p.others[i] = max(0, l.OutstandingTokens-own)
	p.loads[i].Outstanding = own + p.others[i]
	// A report that is live does not take back who said that the engine leaves; Avoid and Set do.
	if l.State == ferryengine.StateLeaving {
		p.loads[i].Avoid = true
	}
	return nil
}

// Refused counts the reports that were refused.
func (p *Pool) Refused() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.refused
}
