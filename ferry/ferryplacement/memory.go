package ferryplacement

import (
	"math"
	"slices"
	"time"

	"cactusferry.dev/ferry/ferryconfig"
	"cactusferry.dev/ferry/ferryid"
)

const (
	// memoryStep and memorySteps define the numbers of tokens that are compared, as multiples of the model's.
	memoryStep  = 0.1
	memorySteps = 20
	// memoryGain is the relative gain from which fewer copies are preferred.
	memoryGain = 0.03
	// maxBalanceMoves bounds the moves that balance the memory of the layers.
	maxBalanceMoves = 200
)

// spread is a placement of the engines of a pool on the layers.
type spread struct {
	plan   *plan
	tokens float64
	layers []spreadLayer
	// least is the least spare memory of a layer.
	least int64
}

// spreadLayer holds the engines of one layer and sums over them, so that a move is judged without visiting the engines.
// Memory is a whole number of tokens: sums then don't depend on the order of the engines.
type spreadLayer struct {
	holders []*Engine
	// sum is the memory of all holders, and most and second are the two largest parts of it.
	sum, most, second int64
}

// spare returns the memory without the engine that has most.
func (l *spreadLayer) spare() int64 { return l.sum - l.most }

// spareWith returns the spare memory with a further engine that has the given memory.
func (l *spreadLayer) spareWith(memory int64) int64 { return l.sum + memory - max(l.most, memory) }

// spareWithout returns the spare memory without a holder that has the given memory.
func (l *spreadLayer) spareWithout(memory int64) int64 {
	if memory == l.most {
		return l.sum - memory - l.second
	}
	return l.sum - memory - l.most
}

// spreadForDemand returns the placement of a pool in which the layer that has least memory for requests has most.
//
// Where demand exceeds the memory for requests, a further copy of the layers costs more than it gives: a request needs
// memory at each layer once, however many copies there are. Memory is counted without the engine that has most at a
// layer, so that the loss of one engine leaves enough; with that, copies beyond the third are seldom worth their memory.
func (p *plan) spreadForDemand(l pool) *spread {
	key := l[0].Domain
	if s := p.spreads[key]; s.isOf(p.model, l) {
		return s
	}
	tokens := float64(p.model.EngineTokens)
	best := p.newSpread(l, p.fittingTokens(l, tokens))
	for i := 1; i <= memorySteps && tokens > 0; i++ {
		wanted := tokens * (1 + memoryStep*float64(i))
		if p.fittingTokens(l, wanted) < wanted {
			break
		}
		if s := p.newSpread(l, wanted); float64(s.least) > float64(best.least)*(1+memoryGain) {
			best = s
		}
	}
	p.spreads[key] = best
	return best
}

// isOf reports whether the placement is one of these engines for this model.
func (s *spread) isOf(m *ferryconfig.Model, l pool) bool {
	return s != nil && s.plan.model == m && slices.EqualFunc(s.plan.engines, l, func(a, b *Engine) bool { return a.Name == b.Name && a.Accelerator == b.Accelerator })
}

// newSpread places the engines of a pool anew with memory for the given number of tokens in each.
func (p *plan) newSpread(l pool, tokens float64) *spread {
	in := Input{Model: p.model}
	for _, e := range l {
		in.Engines = append(in.Engines, Engine{Name: e.Name, Domain: l[0].Domain, Accelerator: e.Accelerator, Age: time.Hour})
	}
	s := &spread{plan: newPlan(in), tokens: tokens}
	s.plan.wantedTokens = tokens
	s.plan.distribute(pool(s.plan.engines))
	s.count()
	s.balance()
	return s
}

// count sets the holders of each layer to the engines that hold it.
func (s *spread) count() {
	s.layers = make([]spreadLayer, s.plan.model.Layers)
	for _, e := range s.plan.engines {
		s.add(e)
	}
}

func (s *spread) add(e *Engine) {
	for at := e.Held.From; at < e.Held.To; at++ {
		s.layers[at].holders = append(s.layers[at].holders, e)
		s.sum(at)
	}
}

func (s *spread) remove(e *Engine) {
	for at := e.Held.From; at < e.Held.To; at++ {
		s.layers[at].holders = slices.DeleteFunc(s.layers[at].holders, func(h *Engine) bool { return h == e })
		s.sum(at)
	}
}

// sum updates the sums of a layer after its holders have changed.
func (s *spread) sum(at ferryid.Layer) {
	l := &s.layers[at]
	l.sum, l.most, l.second = 0, 0, 0
	for _, e := range l.holders {
		m := s.memory(e)
		l.sum += m
		l.most, l.second = max(l.most, m), max(l.second, min(l.most, m))
	}
}

// memory returns the memory in tokens that an engine which holds layers has for requests.
func (s *spread) memory(e *Engine) int64 {
	return s.plan.model.RequestMemory(e.Accelerator, e.Held.Len()) / int64(e.Held.Len())
}

// weakest returns the layer with the least spare memory, and the number of layers that have as little.
func (s *spread) weakest() (layer ferryid.Layer, least int64, count int) {
	least = math.MaxInt64
	for at := range s.layers {
		switch m := s.layers[at].spare(); {
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
	for range maxBalanceMoves {
		if layer, least, _ := s.weakest(); !s.improve(layer, least) {
			break
		}
	}
	_, s.least, _ = s.weakest()
}

// improve moves one engine to a range with the weakest layer and reports whether that helped.
func (s *spread) improve(layer ferryid.Layer, least int64) bool {
	for _, e := range slices.Backward(s.plan.engines) {
		n := ferryid.Layer(e.Held.Len())
		if n == 0 || e.Held.Contains(layer) || (e.Held.From == 0 && len(s.layers[0].holders) <= firstHolders) {
			continue
		}
		for from := max(layer+1, n) - n; from <= min(layer, ferryid.Layer(len(s.layers))-n); from++ {
			if to := (ferryid.LayerRange{From: from, To: from + n}); s.helps(e, to, least) {
				s.remove(e)
				e.Held = to
				s.add(e)
				return true
			}
		}
	}
	return false
}

// helps reports whether fewer layers have the least spare memory if an engine moves to a range of the same length, and
// none has less or loses its last holder.
func (s *spread) helps(e *Engine, to ferryid.LayerRange, least int64) bool {
	fewer, memory := 0, s.memory(e)
	for at := e.Held.From; at < e.Held.To; at++ {
		if to.Contains(at) {
			continue
		}
		l := &s.layers[at]
		// A layer with one holder has no spare memory, as one without.
		left := l.spareWithout(memory)
		if left < least || len(l.holders) == 1 {
			return false
		}
		if left == least && l.spare() > least {
			fewer--
		}
	}
	for at := to.From; at < to.To; at++ {
		if l := &s.layers[at]; !e.Held.Contains(at) && l.spare() == least && l.spareWith(memory) > least {
			fewer++
		}
	}
	return fewer > 0
}

// assignForDemand orders the engines of a fresh pool to take their ranges in the placement for the demand.
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
