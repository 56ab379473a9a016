package ferryplacement

import (
	"time"

	"cactusferry.dev/ferry/ferryid"
)

const (
	// extendAfter and moveAfter are how long a domain must have lacked a layer before its engines hold
	// additional layers, or replace layers that others hold too. A replacement engine often joins soon, and
	// a move waits for all work that passes through the engine.
	extendAfter = 300 * time.Millisecond
	moveAfter   = 2 * time.Second
)

// repair covers the layers that failure domains lack and extends engines that hold less than their share.
func (p *plan) repair() {
	for _, l := range p.pools() {
		for range l {
			if !p.repairOne(l) {
				break
			}
		}
		p.extendToShare(l)
	}
}

// repairOne assigns the range that covers the most missing layers, to the engine that holds the fewest of
// those that can. It reports whether there was one.
func (p *plan) repairOne(l pool) bool {
	for _, try := range []struct {
		after time.Duration
		order func(*Engine) ferryid.LayerRange
	}{
		{extendAfter, func(e *Engine) ferryid.LayerRange { return p.extension(e, p.capacity(e)) }},
		{extendAfter, func(e *Engine) ferryid.LayerRange {
			return p.extension(e, capacity(p.model, e.Accelerator, minRequestShare))
		}},
		{moveAfter, p.moveTarget},
	} {
		var best *Engine
		var to ferryid.LayerRange
		most := 0
		for _, e := range l {
			if e.Held.Len() == 0 || !p.assignable(e) || p.Lacking[e.Domain] < try.after || !p.cover.lacksAny(e.Domain) {
				continue
			}
			r := try.order(e)
			n := p.missingIn(e, r)
			if n > most || (n > 0 && n == most && e.Held.Len() < best.Held.Len()) {
				best, to, most = e, r, n
			}
		}
		if best != nil {
			p.assign(best, to)
			return true
		}
	}
	return false
}

// missingIn returns how many layers of a range the engine's domain lacks.
func (p *plan) missingIn(e *Engine, r ferryid.LayerRange) int {
	n := 0
	here := p.cover.of(e.Domain)
	for l := int(r.From); l < int(r.To) && l < len(here); l++ {
		if here[l] == 0 {
			n++
		}
	}
	return n
}

// extension returns an engine's range extended by the missing layers next to it, to
// the given length at most.
func (p *plan) extension(e *Engine, most int) ferryid.LayerRange {
	r := e.Held
	for r.Len() < most {
		switch {
		case p.missing(e.Domain, int(r.To)):
			r.To++
		case p.missing(e.Domain, int(r.From)-1):
			r.From--
		default:
			return r
		}
	}
	return r
}

// missing reports whether a domain lacks a layer of the model.
func (p *plan) missing(d ferryid.DomainName, layer int) bool {
	return layer >= 0 && layer < p.model.Layers && p.cover.of(d)[layer] == 0
}

// moveTarget returns the gap that an engine could fill instead of its layers. It is empty if the engine is the
// only one of its domain that serves one of them.
func (p *plan) moveTarget(e *Engine) ferryid.LayerRange {
	live := p.live.of(e.Domain)
	for l := int(e.Held.From); l < int(e.Held.To) && l < len(live); l++ {
		others := live[l]
		if e.Live.Contains(ferryid.Layer(l)) {
			others--
		}
		if others < 1 {
			return ferryid.LayerRange{}
		}
	}
	return p.limitToCapacity(e, p.widestGap(e.Domain))
}

// minGrowthValue is the least value of additional layers that justifies a load.
const minGrowthValue = 5.0

// extendToShare extends an engine that holds less than its share because it had to load quickly. Domains that
// lack layers need their loads for those.
func (p *plan) extendToShare(l pool) {
	tokens := p.tokens(l)
	for _, e := range l {
		want := p.length(e, tokens)
		if e.Held.Len() == 0 || e.Held.From == 0 || e.Held.Len() >= want || !p.assignable(e) || p.cover.lacksAny(e.Domain) {
			continue
		}
		if r, gain := p.bestExtension(e, want-e.Held.Len()); gain >= minGrowthValue {
			p.assign(e, r)
			return
		}
	}
}

// bestExtension returns the range with the highest value of those that add the given number of
// layers to an engine's own.
func (p *plan) bestExtension(e *Engine, more int) (ferryid.LayerRange, float64) {
	best, most := e.Held, 0.0
	own := p.cover.rangeValue(e.Domain, e.Held)
	for below := 0; below <= more; below++ {
		r := ferryid.LayerRange{
			From: ferryid.Layer(max(int(e.Held.From)-below, 0)),
			To:   ferryid.Layer(min(int(e.Held.To)+more-below, p.model.Layers)),
		}
		if gain := p.cover.rangeValue(e.Domain, r) - own; gain > most+valueTolerance {
			best, most = r, gain
		}
	}
	return best, most
}
