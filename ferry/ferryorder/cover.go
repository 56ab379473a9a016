package ferryorder

import "cactusferry.dev/ferry/ferryid"

// serves reports whether the engine is in service, as far as is known.
func (r *runner) serves() bool {
	return r.read && !r.pending && r.report.Ready && r.report.State == StateLive
}

// covered counts, for each layer of the model, the engines in service that hold it with the weights, leaving one engine out.
func (c *Core) covered(w weights, without *runner) []int {
	n := make([]int, c.wanted.Layers)
	for _, r := range c.runners {
		if r == without || !r.serves() || r.report.weights() != w {
			continue
		}
		for l := r.report.Layers.From; l < r.report.Layers.To && l < c.wanted.Layers; l++ {
			n[l]++
		}
	}
	return n
}

func whole(n []int) bool {
	for _, k := range n {
		if k == 0 {
			return false
		}
	}
	return true
}

// spare reports whether the engine can leave service: a whole pipeline stays without it, or there is none even with it.
func (c *Core) spare(r *runner) bool {
	return !r.serves() || c.anyWhole(r) || !c.anyWhole(nil)
}

// anyWhole reports whether the engines in service, leaving one out, hold all layers with the same weights.
func (c *Core) anyWhole(without *runner) bool {
	tried := map[weights]bool{}
	for _, r := range c.runners {
		w := r.report.weights()
		if r == without || !r.serves() || tried[w] {
			continue
		}
		tried[w] = true
		if whole(c.covered(w, without)) {
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
	var out []ferryid.Layer
	for l, k := range c.covered(c.wantedWeights(), nil) {
		if k == 0 {
			out = append(out, ferryid.Layer(l))
		}
	}
	return out
}
