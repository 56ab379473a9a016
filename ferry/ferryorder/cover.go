package ferryorder

import "cactusferry.dev/ferry/ferryid"

// serves reports whether the engine is in service according to its last report.
func (r *engineState) serves() bool {
	return r.read && !r.pending && r.report.Ready && r.report.State == StateLive
}

// pipeline counts the engines in service with the same weights, per layer of the model.
type pipeline struct {
	engineCounts []int
	missing      int // number of layers without an engine
	engines      int
}

func (p *pipeline) isComplete() bool {
	return p.missing == 0 && p.engines > 0
}

// coverage counts the engines in service by their weights.
type coverage struct {
	pipelines map[weights]*pipeline
	layers    ferryid.Layer
	complete  int
}

// coverage counts the service's engines in service, regardless of their groups.
func (c *Core) coverage() *coverage {
	v := &coverage{pipelines: map[weights]*pipeline{}, layers: c.wanted.Layers}
	for _, r := range c.engines {
		if r.serves() {
			v.add(r)
		}
	}
	for _, p := range v.pipelines {
		if p.isComplete() {
			v.complete++
		}
	}
	return v
}

func (v *coverage) add(r *engineState) {
	w := r.report.weights()
	p, ok := v.pipelines[w]
	if !ok {
		p = &pipeline{engineCounts: make([]int, v.layers), missing: int(v.layers)}
		v.pipelines[w] = p
	}
	p.engines++
	for l := r.report.Layers.From; l < min(r.report.Layers.To, v.layers); l++ {
		if p.engineCounts[l] == 0 {
			p.missing--
		}
		p.engineCounts[l]++
	}
}

// remove subtracts an engine that is about to leave service.
func (v *coverage) remove(r *engineState) {
	if !r.serves() {
		return
	}
	p := v.pipelines[r.report.weights()]
	wasComplete := p.isComplete()
	p.engines--
	for l := r.report.Layers.From; l < min(r.report.Layers.To, v.layers); l++ {
		p.engineCounts[l]--
		if p.engineCounts[l] == 0 {
			p.missing++
		}
	}
	if wasComplete && !p.isComplete() {
		v.complete--
	}
}

// canLeave reports whether the engine can leave service: a complete pipeline remains without it,
// or there is none even with it.
func (v *coverage) canLeave(r *engineState) bool {
	return !r.serves() || v.complete == 0 || v.complete > 1 || !v.isRequired(r)
}

// isRequired reports whether the pipeline with the engine's weights is complete only with this engine.
func (v *coverage) isRequired(r *engineState) bool {
	p := v.pipelines[r.report.weights()]
	if !p.isComplete() {
		return false
	}
	if p.engines == 1 {
		return true
	}
	for l := r.report.Layers.From; l < min(r.report.Layers.To, v.layers); l++ {
		if p.engineCounts[l] == 1 {
			return true
		}
	}
	return false
}

func (c *Core) wantedWeights() weights {
	if len(c.wanted.Engines) == 0 {
		return weights{}
	}
	return c.wanted.Engines[0].Target.weights()
}

// Uncovered returns the layers that no engine in service has with the wanted weights, for the operators' status.
func (c *Core) Uncovered() []ferryid.Layer {
	held := make([]int, c.wanted.Layers)
	if p, ok := c.coverage().pipelines[c.wantedWeights()]; ok {
		held = p.engineCounts
	}
	var out []ferryid.Layer
	for l, k := range held {
		if k == 0 {
			out = append(out, ferryid.Layer(l))
		}
	}
	return out
}
