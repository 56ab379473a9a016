package ferrypath

import (
	"time"

	"cactusferry.dev/ferry/ferrydiscovery"
	"cactusferry.dev/ferry/ferryid"
	"cactusferry.dev/ferry/ferrypipeline"
)

// Detour returns another path for a generation under way: it has the same first part, and none of the engines named.
//
// The generation counts on both paths until Move or the end of the run.
func (r *Run) Detour(without []ferryid.UpstreamName) (*Path, error) {
	c := r.chooser
	c.mu.Lock()
	defer c.mu.Unlock()
	first := r.Path().hops[0]
	candidates, engines := c.behind(first, without)
	p, err := ferrypipeline.NewPlanner(ferrypipeline.PlannerConfig{Layers: ferryid.Layer(c.model.Layers), Candidates: candidates, Links: links(c.model)})
	if err != nil {
		return nil, err
	}
	now := c.opts.Clock.Now()
	plan := ferrypipeline.Plan{}
	for _, try := range []rule{{healthy: true, fits: true}, {fits: true}} {
		loads := make([]ferrypipeline.Load, len(engines))
		for i, e := range engines {
			c.weighOne(&loads[i], e, r.work, now, try)
		}
		loads[0].Avoid = false
		if err = p.Choose(loads, nil, max(1, r.work.Answer), &plan); err == nil {
			break
		}
	}
	if err != nil {
		return nil, ErrNoPath
	}
	return New(&plan, c.ups)
}

// behind returns the first engine with exactly the part that it has, and all others with what they hold of the layers behind it.
func (c *Chooser) behind(first Hop, without []ferryid.UpstreamName) (ferrypipeline.Candidates, []*engine) {
	up := first.Upstream
	c.ups[ferryid.UpstreamName(up.Name)] = up
	candidates := ferrypipeline.Candidates{{Name: ferryid.UpstreamName(up.Name), Address: up.Address, Domain: up.FailureDomain, Layers: first.Layers}}
	engines := []*engine{c.engineOf(first)}
	for _, e := range c.engines {
		if e.up.Name == up.Name || e.up.Layers.To <= first.Layers.To || avoids(without, e) {
			continue
		}
		held := e.up.Layers
		held.From = max(held.From, first.Layers.To)
		candidates = append(candidates, ferrypipeline.Candidate{
			Name: ferryid.UpstreamName(e.up.Name), Address: e.up.Address, Domain: e.up.FailureDomain, Layers: held,
		})
		engines = append(engines, e)
	}
	return candidates, engines
}

// engineOf returns what is known of a hop's engine, which may have left the platform's list meanwhile.
func (c *Chooser) engineOf(h Hop) *engine {
	if e := c.names[ferryid.UpstreamName(h.Upstream.Name)]; e != nil && e.up.SameRun(h.Upstream) {
		return e
	}
	return &engine{up: h.Upstream}
}

// Move says that the generation goes on over another path.
func (r *Run) Move(to *Path) {
	c := r.chooser
	c.mu.Lock()
	defer c.mu.Unlock()
	c.count(r.Path(), r.work, -1)
	c.count(to, r.work, 1)
	r.path.Store(to)
}

// count adds a generation to the engines of a path, or takes it away.
func (c *Chooser) count(p *Path, w Work, n int) {
	for _, h := range p.hops {
		e := c.names[ferryid.UpstreamName(h.Upstream.Name)]
		if e == nil || !e.up.SameRun(h.Upstream) {
			continue
		}
		e.running += n
		e.held += int64(n) * need(w, h)
	}
}

// Dead notes that an engine does not answer any more, so that nothing is sent there until it does.
func (c *Chooser) Dead(name string) {
	c.setDown(name, true)
}

// Alive notes that an engine answers again.
func (c *Chooser) Alive(name string) {
	c.setDown(name, false)
}

func (c *Chooser) setDown(name string, down bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	e := c.names[ferryid.UpstreamName(name)]
	if e == nil || e.down == down {
		return
	}
	e.down, e.downAt = down, c.opts.Clock.Now()
}

// IsDown reports whether an engine did not answer when it was last tried.
func (c *Chooser) IsDown(name string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	e := c.names[ferryid.UpstreamName(name)]
	return e != nil && e.down
}

// DownFor returns the engines that have not answered for so long.
func (c *Chooser) DownFor(d time.Duration) map[string]bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	out := map[string]bool{}
	for name, e := range c.names {
		if e.down && c.opts.Clock.Since(e.downAt) >= d {
			out[string(name)] = true
		}
	}
	return out
}

// Down returns the engines that did not answer when they were last tried.
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

// Slow returns the engines of the path, but for the first, that are much slower than their kind.
func (r *Run) Slow() []ferryid.UpstreamName {
	c := r.chooser
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.opts.Clock.Now()
	var out []ferryid.UpstreamName
	for _, h := range r.Path().hops[1:] {
		if e := c.engineOf(h); e.pace(now) >= tooSlow {
			out = append(out, ferryid.UpstreamName(h.Upstream.Name))
		}
	}
	return out
}

func holds(all, part ferryid.LayerRange) bool {
	return all.From <= part.From && part.To <= all.To
}

// Leaving returns the engines of the path, but for the first, that take no new work any more, have given up their part or are gone from the platform's list.
func (r *Run) Leaving() []ferryid.UpstreamName {
	c := r.chooser
	c.mu.Lock()
	defer c.mu.Unlock()
	var out []ferryid.UpstreamName
	for _, h := range r.Path().hops[1:] {
		e := c.names[ferryid.UpstreamName(h.Upstream.Name)]
		if e == nil || !e.up.SameRun(h.Upstream) || !e.up.Ready() || !holds(e.up.Layers, h.Layers) {
			out = append(out, ferryid.UpstreamName(h.Upstream.Name))
		}
	}
	return out
}

// Quiet returns the indices of the path's engines that no generation of this entry has shown to be working since a time.
func (r *Run) Quiet(since time.Time) []int {
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
