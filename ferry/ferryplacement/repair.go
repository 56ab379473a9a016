package ferryplacement

import (
	"cactusferry.dev/ferry/ferryid"
)

// repair covers layers that a failure domain lacks, by engines that can hold more beside what they hold, or that are missed least
// where they are. Only domains that had a copy are repaired: elsewhere paths cross to another domain anyway.
func (p *plan) repair() {
	for _, l := range p.pools() {
		first := p.firstPart(l)
		for range l {
			if !p.repairOne(l, first) {
				break
			}
		}
	}
}

// repairOne gives the order that is worth most, and reports whether there was one worth giving.
func (p *plan) repairOne(l pool, first int) bool {
	var best *Engine
	var to ferryid.LayerRange
	most := leastGain
	for _, e := range l {
		if e.Held.Len() == 0 || !p.free(e) {
			continue
		}
		if r, gain := p.extension(e); gain > most {
			best, to, most = e, r, gain
		}
		if r, gain := p.move(e, first); gain > most {
			best, to, most = e, r, gain
		}
	}
	if best == nil {
		return false
	}
	p.order(best, to)
	return true
}

const (
	// leastGain is what an order must bring: less than one layer that is missing in its domain is not worth a load.
	leastGain = missingHere * 0.8
	// moveCost is what a move costs beside the layers given up: it waits for all work that passes through the engine.
	moveCost = 2 * missingHere
)

// extension returns the range by which an engine covers most of what is missing beside its own layers.
func (p *plan) extension(e *Engine) (ferryid.LayerRange, float64) {
	spare := p.capacity(e) - e.Held.Len()
	if spare <= 0 {
		return ferryid.LayerRange{}, 0
	}
	r, gain := e.Held, 0.0
	for range spare {
		up, down := p.missing(e.Domain, int(r.To)), p.missing(e.Domain, int(r.From)-1)
		switch {
		case up >= down && up > 0:
			r.To++
			gain += up
		case down > 0:
			r.From--
			gain += down
		default:
			return r, gain
		}
	}
	return r, gain
}

// missing is the worth of a layer that no engine of the domain holds, or zero.
func (p *plan) missing(d ferryid.DomainName, layer int) float64 {
	if layer < 0 || layer >= p.model.Layers || p.cover.of(d)[layer] > 0 {
		return 0
	}
	return p.cover.worth(d, layer)
}

// move returns the range that is worth most for an engine that gives up its own.
func (p *plan) move(e *Engine, first int) (ferryid.LayerRange, float64) {
	p.cover.add(e.Domain, e.Held, -1)
	lost := p.cover.total(e.Domain, e.Held)
	to, won := p.cover.best(e.Domain, p.capacity(e), first)
	p.cover.add(e.Domain, e.Held, 1)
	return to, won - lost - moveCost
}
