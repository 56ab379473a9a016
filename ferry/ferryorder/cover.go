package ferryorder

import "cactusferry.dev/ferry/ferryid"

// serves reports whether the engine is in service, as far as is known.
func (r *runner) serves() bool {
	return r.read && !r.pending && r.report.Ready && r.report.State == StateLive
}

// pipeline counts, for each layer of the model, the engines in service that hold it with the same weights.
type pipeline struct {
	held    []int
	missing int // layers that no engine holds
	engines int
}

func (p *pipeline) whole() bool {
	return p.missing == 0 && p.engines > 0
}

// coverage is what the engines in service hold, by weights.
type coverage struct {
	pipelines map[weights]*pipeline
	layers    ferryid.Layer
	whole     int
}

// cover counts over all engines of the service, whatever group they are in.
func (c *Core) cover() *coverage {
	v := &coverage{pipelines: map[weights]*pipeline{}, layers: c.wanted.Layers}
	for _, r := range c.runners {
		if r.serves() {
			v.add(r)
		}
	}
	for _, p := range v.pipelines {
		if p.whole() {
			v.whole++
		}
	}
	return v
}

func (v *coverage) add(r *runner) {
	w := r.report.weights()
	p, ok := v.pipelines[w]
	if !ok {
		p = &pipeline{held: make([]int, v.layers), missing: int(v.layers)}
		v.pipelines[w] = p
	}
	p.engines++
	for l := r.report.Layers.From; l < min(r.report.Layers.To, v.layers); l++ {
		if p.held[l] == 0 {
			p.missing--
		}
		p.held[l]++
	}
}

// remove takes an engine out that is about to leave service.
func (v *coverage) remove(r *runner) {
	if !r.serves() {
		return
	}
	p := v.pipelines[r.report.weights()]
	was := p.whole()
	p.engines--
	for l := r.report.Layers.From; l < min(r.report.Layers.To, v.layers); l++ {
		p.held[l]--
		if p.held[l] == 0 {
			p.missing++
		}
	}
	if was && !p.whole() {
		v.whole--
	}
}

// spare reports whether the engine can leave service: a whole pipeline stays without it, or there is none even with it.
func (v *coverage) spare(r *runner) bool {
	return !r.serves() || v.whole == 0 || v.whole > 1 || !v.breaks(r)
}

// breaks reports whether the pipelines with the engine's weights are whole with it and not without it.
func (v *coverage) breaks(r *runner) bool {
	p := v.pipelines[r.report.weights()]
	if !p.whole() {
		return false
	}
	if p.engines == 1 {
		return true
	}
	for l := r.report.Layers.From; l < min(r.report.Layers.To, v.layers); l++ {
		if p.held[l] == 1 {
			return true
		}
	}
	return false
}

func (c *Core) wantedWeights() weights {
	if len(c.wanted.Runners) == 0 {
		return weights{}
	}
	return c.wanted.Runners[0].Target.weights()
}

// Uncovered returns the layers that no engine in service holds as wanted, for the operators' status.
func (c *Core) Uncovered() []ferryid.Layer {
	held := make([]int, c.wanted.Layers)
	if p, ok := c.cover().pipelines[c.wantedWeights()]; ok {
		held = p.held
	}
	var out []ferryid.Layer
	for l, k := range held {
		if k == 0 {
			out = append(out, ferryid.Layer(l))
		}
	}
	return out
}
