package ferryplacement

import (
	"math"
	"slices"
	"time"

	"cactusferry.dev/ferry/ferryid"
)

const (
	// memoryStep and memorySteps define the numbers of tokens that are compared, as multiples of the model's.
	memoryStep  = 0.1
	memorySteps = 20
	// memoryGain is the relative gain from which fewer copies are preferred.
	memoryGain = 0.03
	// holderWeight is the part of a layer's whole memory that counts beside its memory without one engine.
	holderWeight = 0.01
	// maxBalanceMoves bounds the moves that balance the memory of the layers.
	maxBalanceMoves = 200
)

// spread is a placement of the engines of a pool on the layers.
type spread struct {
	plan   *plan
	tokens float64
	// holders lists the engines that hold each layer.
	holders [][]*Engine
	// least is the least memory of a layer, in tokens, without the engine that has most there.
	least float64
}

// spreadForDemand returns the placement of a pool in which the layer that has least memory for requests has most.
//
// Where demand exceeds the memory for requests, a further copy of the layers costs more than it gives: a request needs
// memory at each layer once, however many copies there are. Memory is counted without the engine that has most at a
// layer, so that the loss of one engine leaves enough; with that, copies beyond the third are seldom worth their memory.
func (p *plan) spreadForDemand(l pool) *spread {
	key := l[0].Domain
	if s := p.spreads[key]; s != nil {
		return s
	}
	best := p.newSpread(l, p.fittingTokens(l, float64(p.model.EngineTokens)))
	for i := 1; i <= memorySteps; i++ {
		wanted := float64(p.model.EngineTokens) * (1 + memoryStep*float64(i))
		if p.fittingTokens(l, wanted) < wanted {
			break
		}
		if s := p.newSpread(l, wanted); s.least > best.least*(1+memoryGain) {
			best = s
		}
	}
	p.spreads[key] = best
	return best
}

// newSpread places the engines of a pool anew with memory for the given number of tokens in each.
func (p *plan) newSpread(l pool, tokens float64) *spread {
	in := Input{Model: p.model}
	for _, e := range l {
		in.Engines = append(in.Engines, Engine{Name: e.Name, Domain: l[0].Domain, Accelerator: e.Accelerator, Age: time.Hour})
	}
	s := &spread{plan: newPlan(in), tokens: tokens, holders: make([][]*Engine, p.model.Layers)}
	s.plan.wantedTokens = tokens
	s.plan.distribute(pool(s.plan.engines))
	for _, e := range s.plan.engines {
		s.add(e, e.Held)
	}
	s.balance()
	return s
}

func (s *spread) add(e *Engine, r ferryid.LayerRange) {
	for at := r.From; at < r.To; at++ {
		s.holders[at] = append(s.holders[at], e)
	}
}

func (s *spread) remove(e *Engine) {
	for at := e.Held.From; at < e.Held.To; at++ {
		s.holders[at] = slices.DeleteFunc(s.holders[at], func(h *Engine) bool { return h == e })
	}
}

// memory returns the memory in tokens that an engine has for requests.
func (s *spread) memory(e *Engine) float64 {
	return float64(s.plan.model.RequestMemory(e.Accelerator, e.Held.Len())) / float64(e.Held.Len())
}

// spare returns the memory of a layer without the engine that has most there. A small part of all counts too, so that a
// layer with one holder comes before one with none.
func (s *spread) spare(layer ferryid.Layer) float64 {
	sum, most := 0.0, 0.0
	for _, e := range s.holders[layer] {
		m := s.memory(e)
		sum += m
		most = max(most, m)
	}
	return sum - most + holderWeight*sum
}

// weakest returns the layer with the least spare memory, and the number of layers that have as little.
func (s *spread) weakest() (layer ferryid.Layer, least float64, count int) {
	least = math.Inf(1)
	for at := range s.holders {
		switch m := s.spare(ferryid.Layer(at)); {
		case m < least:
			layer, least, count = ferryid.Layer(at), m, 1
		case m == least:
			count++
		}
	}
	return layer, least, count
}

// balance moves ranges of engines to the weakest layer while that leaves no other layer as weak.
func (s *spread) balance() {
	layer, least, count := s.weakest()
	for range maxBalanceMoves {
		if !s.improve(layer, least, count) {
			break
		}
		layer, least, count = s.weakest()
	}
	s.least = least
}

// improve moves one engine to a range with the weakest layer and reports whether that helped.
func (s *spread) improve(layer ferryid.Layer, least float64, count int) bool {
	for _, e := range slices.Backward(s.plan.engines) {
		n := ferryid.Layer(e.Held.Len())
		if n == 0 || (layer >= e.Held.From && layer < e.Held.To) || (e.Held.From == 0 && len(s.holders[0]) <= firstHolders) {
			continue
		}
		old := e.Held
		for from := max(0, layer-n+1); from <= min(layer, ferryid.Layer(len(s.holders))-n); from++ {
			s.move(e, ferryid.LayerRange{From: from, To: from + n})
			if _, l, c := s.weakest(); l > least || (l == least && c < count) {
				return true
			}
			s.move(e, old)
		}
	}
	return false
}

func (s *spread) move(e *Engine, r ferryid.LayerRange) {
	s.remove(e)
	e.Held = r
	s.add(e, r)
}

// assign orders the engines of a fresh pool to take their ranges in the placement for the demand.
func (p *plan) assignForDemand(l pool) {
	held := map[ferryid.UpstreamName]ferryid.LayerRange{}
	for _, e := range p.spreadForDemand(l).plan.engines {
		held[e.Name] = e.Held
	}
	for _, e := range l {
		if r := held[e.Name]; r.Len() > 0 {
			p.assign(e, r)
		}
	}
}
