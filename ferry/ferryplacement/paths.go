package ferryplacement

import (
	"math"

	"cactusferry.dev/ferry/ferryid"
)

// paths holds the times of a token on the fastest paths without other streams, in seconds.
type paths struct {
	bounder *bounder
	index   map[ferryid.DomainName]int
	// before is the time of a token until it begins a layer in a failure domain, after the time from the end of
	// that layer there to the end of the path.
	before, after [][]float64
}

func (b *bounder) newPaths(engines []*Engine) *paths {
	p := &paths{bounder: b, index: map[ferryid.DomainName]int{}}
	var domains []ferryid.DomainName
	for _, e := range engines {
		if _, ok := p.index[e.Domain]; !ok {
			p.index[e.Domain] = len(domains)
			domains = append(domains, e.Domain)
		}
	}
	layers := b.model.Layers
	fastest := grid(layers, len(domains))
	for _, e := range engines {
		t, d := b.tokenTime(e.Accelerator), p.index[e.Domain]
		for l := range b.held(e) {
			fastest[l][d] = min(fastest[l][d], t)
		}
	}
	p.before, p.after = grid(layers, len(domains)), grid(layers, len(domains))
	for d := range domains {
		p.before[0][d], p.after[layers-1][d] = 0, 0
	}
	for l := 1; l < layers; l++ {
		for d, to := range domains {
			for o, from := range domains {
				delay := b.delays[[2]ferryid.DomainName{from, to}]
				p.before[l][d] = min(p.before[l][d], p.before[l-1][o]+fastest[l-1][o]+delay)
				p.after[layers-1-l][o] = min(p.after[layers-1-l][o], delay+fastest[layers-l][d]+p.after[layers-l][d])
			}
		}
	}
	return p
}

// grid returns infinite times by layer and failure domain.
func grid(layers, domains int) [][]float64 {
	out := make([][]float64, layers)
	for l := range out {
		out[l] = make([]float64, domains)
		for d := range out[l] {
			out[l][d] = math.Inf(1)
		}
	}
	return out
}

// through returns the time of a token on the fastest path that runs a layer on an engine, infinite if there is none.
func (p *paths) through(e *Engine, layer int) float64 {
	d := p.index[e.Domain]
	return p.before[layer][d] + p.bounder.tokenTime(e.Accelerator) + p.after[layer][d]
}
