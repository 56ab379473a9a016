package ferrypath

import (
	"cactusferry.dev/ferry/ferrydiscovery"
	"cactusferry.dev/ferry/ferryid"
	"cactusferry.dev/ferry/ferrypipeline"
)

// Hop is one engine of a path with the layers that it runs.
type Hop struct {
	Upstream *ferrydiscovery.Upstream
	Layers   ferryid.LayerRange
}

// Path is a series of engines that runs each layer once and in order. It is created by New only.
type Path struct {
	hops []Hop
}

// New returns the path of a plan, or a *ferrypipeline.PlanError if the plan skips, repeats or disorders a
// layer.
func New(plan *ferrypipeline.Plan, upstreams map[ferryid.UpstreamName]*ferrydiscovery.Upstream) (*Path, error) {
	if err := plan.Check(); err != nil {
		return nil, err
	}
	p := &Path{hops: make([]Hop, 0, len(plan.Stages))}
	for _, s := range plan.Stages {
		u := upstreams[s.Name]
		if u == nil {
			return nil, &ferrypipeline.PlanError{Layer: s.Layers.From, Detail: "no upstream " + string(s.Name)}
		}
		p.hops = append(p.hops, Hop{Upstream: u, Layers: s.Layers})
	}
	return p, nil
}

// First returns the engine that receives the request.
func (p *Path) First() *ferrydiscovery.Upstream { return p.hops[0].Upstream }

// Hops returns the engines in order. The slice must not be modified.
func (p *Path) Hops() []Hop { return p.hops }

// At returns the index of the engine at an address, or -1.
func (p *Path) At(address string) int {
	for i := range p.hops {
		if p.hops[i].Upstream.Address == address {
			return i
		}
	}
	return -1
}

// Crossings returns how many hops cross from one failure domain to another.
func (p *Path) Crossings() int {
	n := 0
	for i := 1; i < len(p.hops); i++ {
		if p.hops[i].Upstream.FailureDomain != p.hops[i-1].Upstream.FailureDomain {
			n++
		}
	}
	return n
}
