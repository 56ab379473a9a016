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
	// observeWeight is the weight of the newest measurement in the moving averages; measurements over fewer
	// than minObserveSteps tokens are ignored.
	observeWeight   = 0.5
	minObserveSteps = 4
	maxReportSkew   = 5 * time.Second
	minSuspicion    = time.Second
	maxSuspicion    = 10 * time.Second
)

// suspicion excludes an engine that failed a job from other jobs for a time. The time doubles with each
// failure, up to maxSuspicion, until the engine produces a token again.
type suspicion struct {
	until    time.Time
	duration time.Duration
}

// Pool is a Picker over the engines of one service; it counts the work of its own plans as
// outstanding at once.
type Pool struct {
	clock clockwork.Clock

	mu      sync.Mutex
	planner *Planner
	index   map[ferryid.UpstreamName]int
	loads   []Load
	// otherWork is the work of other entries on each candidate, according to its load reports.
	otherWork    []ferryid.Tokens
	reported     []time.Time
	excluded     []bool
	refusedCount int
	suspects     map[ferryid.UpstreamName]suspicion
	scratch      Plan
}

// NewPool returns a pool of the planner's candidates; loads is parallel to them.
func NewPool(cfg PlannerConfig, loads []Load, clock clockwork.Clock) (*Pool, error) {
	p := &Pool{clock: clock, suspects: map[ferryid.UpstreamName]suspicion{}}
	return p, p.Set(cfg, loads)
}

// Set replaces the candidates. The outstanding work of candidates that stay and the measured links are kept.
func (p *Pool) Set(cfg PlannerConfig, loads []Load) error {
	planner, err := NewPlanner(cfg)
	if err != nil {
		return err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.planner != nil {
		planner.copyLinks(p.planner)
	}
	index := map[ferryid.UpstreamName]int{}
	loads = slices.Clone(loads)
	for i, c := range cfg.Candidates {
		index[c.Name] = i
		if old, ok := p.index[c.Name]; ok {
			loads[i].Outstanding = p.loads[old].Outstanding - p.otherWork[old]
			loads[i].Running = p.loads[old].Running
		}
	}
	p.planner, p.index, p.loads = planner, index, loads
	p.excluded = make([]bool, len(loads))
	p.otherWork = make([]ferryid.Tokens, len(loads))
	p.reported = make([]time.Time, len(loads))
	return nil
}

// Pick chooses the plan whose slowest stage finishes first. An engine that one job excludes is avoided by all
// jobs for a time, unless there is no chain without it.
func (p *Pool) Pick(job *Job, exclude []ferryid.UpstreamName) (Plan, error) {
	return p.pick(job, exclude, true)
}

// PickUnsuspected is like Pick but returns a *NoChainError instead of a plan with a suspected engine.
func (p *Pool) PickUnsuspected(job *Job, exclude []ferryid.UpstreamName) (Plan, error) {
	return p.pick(job, exclude, false)
}

func (p *Pool) pick(job *Job, exclude []ferryid.UpstreamName, allowSuspects bool) (Plan, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.clock.Now()
	if len(exclude) > 0 {
		p.suspect(exclude[len(exclude)-1], now)
	}
	tokens := ferryid.Tokens(job.MaxTokens - len(job.Resume))
	p.setExcluded(exclude, now)
	err := p.planner.Choose(p.loads, p.excluded, tokens, &p.scratch)
	if err != nil && allowSuspects && len(p.suspects) > 0 {
		p.setExcluded(exclude, time.Time{})
		err = p.planner.Choose(p.loads, p.excluded, tokens, &p.scratch)
	}
	if err != nil {
		return Plan{}, err
	}
	plan := p.scratch.clone()
	plan.At = now
	p.addWork(&plan, 1)
	return plan, nil
}

func (p *Pool) suspect(name ferryid.UpstreamName, now time.Time) {
	s := p.suspects[name]
	if now.Before(s.until) {
		return
	}
	s.duration = min(maxSuspicion, max(minSuspicion, 2*s.duration))
	s.until = now.Add(s.duration)
	p.suspects[name] = s
}

// setExcluded sets the excluded candidates: the exclusions of the job and, unless now is zero, the suspected
// engines.
func (p *Pool) setExcluded(exclude []ferryid.UpstreamName, now time.Time) {
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

// Done removes a plan's work from the outstanding work and clears the suspicion of engines that produced
// tokens.
func (p *Pool) Done(plan Plan, tokens ferryid.Tokens) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.addWork(&plan, -1)
	if tokens == 0 || len(p.suspects) == 0 {
		return
	}
	for _, s := range plan.Stages {
		if old, ok := p.suspects[s.Name]; ok && !plan.At.Before(old.until) {
			delete(p.suspects, s.Name)
		}
	}
}

func (p *Pool) addWork(plan *Plan, sign float64) {
	for _, s := range plan.Stages {
		if i, ok := p.index[s.Name]; ok {
			work := ferryid.Tokens(sign * float64(plan.Tokens) * s.Share)
			p.loads[i].Outstanding = max(p.otherWork[i], p.loads[i].Outstanding+work)
			p.loads[i].Running = max(0, p.loads[i].Running+int(sign))
		}
	}
}

// Avoid excludes an engine from new plans, or includes it again.
func (p *Pool) Avoid(name ferryid.UpstreamName, avoid bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if i, ok := p.index[name]; ok {
		p.loads[i].Avoid = avoid
	}
}

// SetSlots sets the number of jobs that this entry may have on an engine while others have free slots.
func (p *Pool) SetSlots(name ferryid.UpstreamName, n int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if i, ok := p.index[name]; ok {
		p.loads[i].Slots = n
	}
}

// Loads returns a copy of the current loads, parallel to the candidates.
func (p *Pool) Loads() []Load {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.Clone(p.loads)
}

// Observe updates the rates of a plan's engines and the times of the links between them by measurements of
// its stages. Measurements that do not match the plan or cover too few tokens are ignored.
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
			p.loads[j].Rate = ferryid.TokensPerSecond(movingAverage(float64(p.loads[j].Rate), rate))
		}
		if i > 0 {
			prev := &times[i-1]
			link := time.Duration(max(0, prev.HopMicros-t.HeldMicros)) * time.Microsecond / time.Duration(t.Steps)
			p.planner.observeLink(plan.Stages[i-1].Domain, s.Domain, link)
		}
	}
}

func movingAverage(old, measured float64) float64 {
	return (1-observeWeight)*old + observeWeight*measured
}

// ReportError reports why a load report was refused.
type ReportError struct {
	Name   ferryid.UpstreamName
	Detail string
}

func (e *ReportError) Error() string {
	return fmt.Sprintf("load report of %s refused: %s", e.Name, e.Detail)
}

// Report updates a candidate by a load report, which lags behind. Outstanding work beyond that of this
// entry is attributed to other entries. An invalid report is refused, counted and changes nothing.
func (p *Pool) Report(l ferryengine.Load) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	i, known := p.index[l.Name]
	err := l.Check()
	switch {
	case err != nil:
	case !known:
		err = &ReportError{Name: l.Name, Detail: "unknown engine"}
	case l.At.After(p.clock.Now().Add(maxReportSkew)):
		err = &ReportError{Name: l.Name, Detail: "time stamp is in the future"}
	case l.At.Before(p.reported[i]):
		err = &ReportError{Name: l.Name, Detail: "a newer report was received before"}
	}
	if err != nil {
		p.refusedCount++
		return err
	}
	p.reported[i] = l.At
	own := p.loads[i].Outstanding - p.otherWork[i]
	p.otherWork[i] = max(0, l.OutstandingTokens-own)
	p.loads[i].Outstanding = own + p.otherWork[i]
	// A live report does not clear Avoid; only Avoid and Set do.
	if l.State == ferryengine.StateLeaving {
		p.loads[i].Avoid = true
	}
	return nil
}

// RefusedReports returns the number of refused reports.
func (p *Pool) RefusedReports() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.refusedCount
}
