package ferrypath

import (
	"time"

	"cactusferry.dev/ferry/ferrydiscovery"
	"cactusferry.dev/ferry/ferryid"
	"cactusferry.dev/ferry/ferrypipeline"
)

const (
	// newEngineCost is what a further engine costs a detour: the new engine needs memory for the run and
	// computes its state again, the others keep theirs.
	newEngineCost = 300 * time.Millisecond
	// detourLinkWeight multiplies the transfer time between domains. It is less than for a new run, which has
	// no state to keep.
	detourLinkWeight = 50
)

// Detour returns an alternative path for a running generation, with the same first hop and
// without the given engines. It keeps the other engines where it can.
//
// The generation stays counted on its old path until SwitchTo.
func (r *Run) Detour(without []ferryid.UpstreamName) (*Path, error) {
	c := r.chooser
	c.mu.Lock()
	defer c.mu.Unlock()
	return r.findDetour(without, moveGroup{})
}

// findDetour returns the path of Detour for a generation that moves with a group.
func (r *Run) findDetour(without []ferryid.UpstreamName, with moveGroup) (*Path, error) {
	for _, try := range []struct {
		keep bool
		cons constraints
	}{{true, constraints{healthy: true}}, {true, constraints{}}, {false, constraints{healthy: true}}, {false, constraints{}}} {
		try.cons.fits, try.cons.moving = true, true
		if p, err := r.detour(without, with, try.keep, try.cons); err == nil {
			return p, nil
		}
	}
	return nil, ErrNoPath
}

// detour returns a path under the given constraints. If keep is set, engines of the present path are used with
// their present layers only.
func (r *Run) detour(without []ferryid.UpstreamName, with moveGroup, keep bool, cons constraints) (*Path, error) {
	c := r.chooser
	d := c.detourCandidates(r.Path().hops, without, keep)
	p, err := ferrypipeline.NewPlanner(ferrypipeline.PlannerConfig{Layers: ferryid.Layer(c.model.Layers), Candidates: d.candidates, Links: links(c.model, detourLinkWeight)})
	if err != nil {
		return nil, err
	}
	now := c.opts.Clock.Now()
	loads := make([]ferrypipeline.Load, len(d.engines))
	for i, e := range d.engines {
		engineCons := cons
		engineCons.fits, engineCons.present = cons.fits && !d.kept[i], d.kept[i]
		if with.runs > 0 {
			engineCons.movesPart = c.movesPart(e)
		}
		c.updateLoad(&loads[i], e, r.work, now, engineCons)
		if !d.kept[i] {
			loads[i].Outstanding = ferryid.Tokens((newEngineCost + c.spread(e, r.work, with, now)).Seconds() * float64(loads[i].Rate))
			loads[i].Avoid = loads[i].Avoid || e.refusesMoves(now) || with.excludes(e)
		}
	}
	loads[0].Avoid = false
	plan := ferrypipeline.Plan{}
	if err := p.Choose(loads, nil, max(1, r.work.Answer), &plan); err != nil {
		return nil, err
	}
	return New(&plan, c.upstreams)
}

// detour lists the candidates for a detour with their engines.
type detour struct {
	candidates ferrypipeline.Candidates
	engines    []*engine
	// kept is set for hops of the present path with their present layers.
	kept []bool
}

func (d *detour) add(e *engine, held ferryid.LayerRange, kept bool) {
	d.candidates = append(d.candidates, ferrypipeline.Candidate{
		Name: ferryid.UpstreamName(e.up.Name), Address: e.up.Address, Domain: e.up.FailureDomain, Layers: held,
	})
	d.engines, d.kept = append(d.engines, e), append(d.kept, kept)
}

// detourCandidates returns the first engine with exactly its current layers, and all others with the layers
// that they hold after those.
func (c *Chooser) detourCandidates(hops []Hop, without []ferryid.UpstreamName, keep bool) *detour {
	first := hops[0]
	c.upstreams[ferryid.UpstreamName(first.Upstream.Name)] = first.Upstream
	d := &detour{}
	d.add(c.engineOf(first), first.Layers, true)
	for _, e := range c.engines {
		if e.up.Name == first.Upstream.Name || e.up.Layers.To <= first.Layers.To || excluded(without, e) {
			continue
		}
		if hop := hopOf(hops, e); hop != nil && keep {
			d.add(e, hop.Layers, true)
			continue
		}
		held := e.up.Layers
		held.From = max(held.From, first.Layers.To)
		d.add(e, held, false)
	}
	return d
}

// hopOf returns the hop of an engine that still holds its layers, or nil.
func hopOf(hops []Hop, e *engine) *Hop {
	for i := range hops {
		if e.up.SameProcess(hops[i].Upstream) && containsRange(e.up.Layers, hops[i].Layers) {
			return &hops[i]
		}
	}
	return nil
}

// engineOf returns the state of a hop's engine, or an empty state if that process is no longer listed.
func (c *Chooser) engineOf(h Hop) *engine {
	if e := c.byName[ferryid.UpstreamName(h.Upstream.Name)]; e != nil && e.up.SameProcess(h.Upstream) {
		return e
	}
	return &engine{up: h.Upstream}
}

// SwitchTo switches the generation to another path.
func (r *Run) SwitchTo(to *Path) {
	c := r.chooser
	c.mu.Lock()
	defer c.mu.Unlock()
	r.switchTo(to)
}

// switchTo switches the generation to another path, unless it has ended.
func (r *Run) switchTo(to *Path) {
	if r.ended.Load() {
		return
	}
	c := r.chooser
	c.count(r.Path(), r.work, -1)
	c.count(to, r.work, 1)
	r.path.Store(to)
	r.switched.Store(c.opts.Clock.Now().UnixNano())
}

// count adds n generations to the engines of a path; n may be negative.
func (c *Chooser) count(p *Path, w Work, n int) {
	for _, h := range p.hops {
		e := c.byName[ferryid.UpstreamName(h.Upstream.Name)]
		if e == nil || !e.up.SameProcess(h.Upstream) {
			continue
		}
		e.running += n
		e.held += int64(n) * memoryNeed(w, h)
	}
}

// MarkDown marks an engine as down, so that no work is sent to it until MarkUp.
func (c *Chooser) MarkDown(name string) {
	c.setDown(name, true)
}

// MarkUp marks an engine as up again.
func (c *Chooser) MarkUp(name string) {
	c.setDown(name, false)
}

func (c *Chooser) setDown(name string, down bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	e := c.byName[ferryid.UpstreamName(name)]
	switch {
	case e == nil || e.down == down:
	case down:
		e.markDown(c.opts.Clock.Now())
	default:
		e.down = false
	}
}

func (e *engine) markDown(now time.Time) {
	e.down, e.downAt = true, now
	e.up.RecordUnreachable()
}

// IsDown reports whether an engine is marked as down.
func (c *Chooser) IsDown(name string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	e := c.byName[ferryid.UpstreamName(name)]
	return e != nil && e.down
}

// DownFor returns the names of the engines that have been down for at least d.
func (c *Chooser) DownFor(d time.Duration) map[string]bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	out := map[string]bool{}
	for name, e := range c.byName {
		if e.down && c.opts.Clock.Since(e.downAt) >= d {
			out[string(name)] = true
		}
	}
	return out
}

// Down returns the usable engines that are marked as down.
func (c *Chooser) Down() []*ferrydiscovery.Upstream {
	c.mu.Lock()
	defer c.mu.Unlock()
	var out []*ferrydiscovery.Upstream
	for _, e := range c.engines {
		if e.down {
			out = append(out, e.up)
		}
	}
	return out
}

// Slow returns the engines of the path, except the first, whose slowdown is at least slowPace.
func (r *Run) Slow() []ferryid.UpstreamName {
	c := r.chooser
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.opts.Clock.Now()
	var out []ferryid.UpstreamName
	for _, h := range r.Path().hops[1:] {
		if e := c.engineOf(h); e.pace(now) >= slowPace {
			out = append(out, ferryid.UpstreamName(h.Upstream.Name))
		}
	}
	return out
}

func containsRange(all, part ferryid.LayerRange) bool {
	return all.From <= part.From && part.To <= all.To
}

// Leaving returns the engines of the path, except the first, that accept no new work, no longer hold their
// layers or are no longer listed by the platform.
func (r *Run) Leaving() []ferryid.UpstreamName {
	c := r.chooser
	c.mu.Lock()
	defer c.mu.Unlock()
	var out []ferryid.UpstreamName
	for _, h := range r.Path().hops[1:] {
		e := c.byName[ferryid.UpstreamName(h.Upstream.Name)]
		if e == nil || !e.up.SameProcess(h.Upstream) || !e.up.Ready() || !containsRange(e.up.Layers, h.Layers) {
			out = append(out, ferryid.UpstreamName(h.Upstream.Name))
		}
	}
	return out
}

// WithoutProgress returns the indices of the path's engines for which no run of this entry has made
// progress since the given time.
func (r *Run) WithoutProgress(since time.Time) []int {
	c := r.chooser
	c.mu.Lock()
	defer c.mu.Unlock()
	working := map[string]bool{}
	for run := range c.runs {
		if run.progress.Load() < since.UnixNano() {
			continue
		}
		for _, h := range run.Path().hops {
			working[h.Upstream.Name] = true
		}
	}
	var out []int
	for i, h := range r.Path().hops {
		if !working[h.Upstream.Name] {
			out = append(out, i)
		}
	}
	return out
}
