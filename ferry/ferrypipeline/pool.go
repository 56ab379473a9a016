package ferrypipeline

import (
	"slices"
	"sync"

	"github.com/jonboulle/clockwork"

	"cactusferry.dev/ferry/ferryid"
)

// Pool is a Picker over one service's engines, which counts its own dispatches as outstanding at once.
type Pool struct {
	clock clockwork.Clock

	mu       sync.Mutex
	planner  *Planner
	index    map[ferryid.UpstreamName]int
	loads    []Load
	excluded []bool
	scratch  Plan
}

// NewPool returns a pool of the planner's candidates, with loads parallel to them.
func NewPool(cfg PlannerConfig, loads []Load, clock clockwork.Clock) (*Pool, error) {
	p := &Pool{clock: clock}
	return p, p.Set(cfg, loads)
}

// Set replaces the candidates; work given to those that stay remains outstanding.
func (p *Pool) Set(cfg PlannerConfig, loads []Load) error {
	planner, err := NewPlanner(cfg)
	if err != nil {
		return err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	index := map[ferryid.UpstreamName]int{}
	loads = slices.Clone(loads)
	for i, c := range cfg.Candidates {
		index[c.Name] = i
		if old, ok := p.index[c.Name]; ok {
			loads[i].Outstanding = p.loads[old].Outstanding
		}
	}
	p.planner, p.index, p.loads = planner, index, loads
	p.excluded = make([]bool, len(loads))
	return nil
}

// Pick chooses the plan whose slowest stage is done first.
func (p *Pool) Pick(job *Job, exclude []ferryid.UpstreamName) (Plan, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	clear(p.excluded)
	for _, name := range exclude {
		if i, ok := p.index[name]; ok {
			p.excluded[i] = true
		}
	}
	tokens := ferryid.Tokens(job.MaxTokens - len(job.Resume))
	if err := p.planner.Choose(p.loads, p.excluded, tokens, &p.scratch); err != nil {
		return Plan{}, err
	}
	plan := p.scratch.clone()
	plan.At = p.clock.Now()
	p.count(&plan, 1)
	return plan, nil
}

// Done takes a plan's work off what is outstanding.
func (p *Pool) Done(plan Plan, _ ferryid.Tokens) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.count(&plan, -1)
}

func (p *Pool) count(plan *Plan, sign float64) {
	for _, s := range plan.Stages {
		if i, ok := p.index[s.Name]; ok {
			work := ferryid.Tokens(sign * float64(plan.Tokens) * s.Share)
			p.loads[i].Outstanding = max(0, p.loads[i].Outstanding+work)
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

// Loads returns a copy of the present loads, parallel to the candidates.
func (p *Pool) Loads() []Load {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.Clone(p.loads)
}
