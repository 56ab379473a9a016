package ferryplacement

import (
	"time"

	"cactusferry.dev/ferry/ferryid"
)

const (
	// extendAfter and moveAfter are how long a domain must have lacked a layer until engines there hold more beside what they hold, or
	// give up what others hold too: a new engine often comes soon, and a move waits for all work that passes through the engine.
	extendAfter = 300 * time.Millisecond
	moveAfter   = 2 * time.Second
)

// repair covers layers that a failure domain lacks, and lets engines that hold less than their share take more.
func (p *plan) repair() {
	for _, l := range p.pools() {
		for range l {
			if !p.repairOne(l) {
				break
			}
		}
		p.grow(l)
	}
}

// repairOne gives the order that covers most of what is missing, to the engine that holds least of those that can, and reports whether there was one.
func (p *plan) repairOne(l pool) bool {
	for _, try := range []struct {
		after time.Duration
		order func(*Engine) ferryid.LayerRange
	}{
		{extendAfter, func(e *Engine) ferryid.LayerRange { return p.extension(e, p.capacity(e)) }},
		{extendAfter, func(e *Engine) ferryid.LayerRange {
			return p.extension(e, capacity(p.model, e.Accelerator, tightShare))
		}},
		{moveAfter, p.move},
	} {
		var best *Engine
		var to ferryid.LayerRange
		most := 0
		for _, e := range l {
			if e.Held.Len() == 0 || !p.free(e) || p.Lacking[e.Domain] < try.after || !p.cover.lacking(e.Domain) {
				continue
			}
			r := try.order(e)
			n := p.wins(e, r)
			if n > most || (n > 0 && n == most && e.Held.Len() < best.Held.Len()) {
				best, to, most = e, r, n
			}
		}
		if best != nil {
			p.order(best, to)
			return true
		}
	}
	return false
}

// wins counts the layers of a range that an engine's domain lacks.
func (p *plan) wins(e *Engine, r ferryid.LayerRange) int {
	n := 0
	here := p.cover.of(e.Domain)
	for l := int(r.From); l < int(r.To) && l < len(here); l++ {
		if here[l] == 0 {
			n++
		}
	}
	return n
}

// extension returns the range by which an engine covers what is missing beside its own layers, with at most so many in all.
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

// move returns the gap that an engine could fill which gives up only what others of its domain serve now, or nothing.
func (p *plan) move(e *Engine) ferryid.LayerRange {
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
	return p.cut(e, p.widestGap(e.Domain))
}

// leastGrowth is what a growing engine's further layers must be worth: a load for a little is not worth it.
const leastGrowth = 5.0

// grow lets an engine that holds less than its share, since it had to be quick, take more beside it. A domain that lacks layers has better uses for its loads.
func (p *plan) grow(l pool) {
	for _, e := range l {
		want := p.share(l, e)
		if e.Held.Len() == 0 || e.Held.From == 0 || e.Held.Len() >= want || !p.free(e) || p.cover.lacking(e.Domain) {
			continue
		}
		if r, gain := p.wider(e, want-e.Held.Len()); gain >= leastGrowth {
			p.order(e, r)
			return
		}
	}
}

// wider returns the range that is worth most of those that add so many layers to an engine's own.
func (p *plan) wider(e *Engine, more int) (ferryid.LayerRange, float64) {
	best, most := e.Held, 0.0
	own := p.cover.total(e.Domain, e.Held)
	for below := 0; below <= more; below++ {
		r := ferryid.LayerRange{
			From: ferryid.Layer(max(int(e.Held.From)-below, 0)),
			To:   ferryid.Layer(min(int(e.Held.To)+more-below, p.model.Layers)),
		}
		if gain := p.cover.total(e.Domain, r) - own; gain > most+tie {
			best, most = r, gain
		}
	}
	return best, most
}
