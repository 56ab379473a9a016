package ferryplacement

import (
	"time"

	"cactusferry.dev/ferry/ferryconfig"
	"cactusferry.dev/ferry/ferrydiscovery"
	"cactusferry.dev/ferry/ferryid"
)

const (
	// patience is how long an order that was begun may take to show in the engine's entry, beyond the time to load.
	patience = 4 * time.Second
	// settleFor is how long no new engine must have appeared before the first placement, which then knows them all: a little more than
	// the time between two signs of life. settleMost bounds it.
	settleFor  = 1400 * time.Millisecond
	settleMost = 4 * time.Second
	// retryAfter is the pause after an order that was not answered or did not fit.
	retryAfter = 500 * time.Millisecond
)

// Core decides which orders to send; it belongs to one goroutine.
type Core struct {
	model   *ferryconfig.Model
	engines map[ferryid.UpstreamName]*engine
	begun   bool
	// lacking is since when each failure domain lacks some layer.
	lacking map[ferryid.DomainName]time.Time
	// first and newest are when the first engine and the newest one appeared.
	first, newest time.Time
}

// engine is what the core knows of one engine.
type engine struct {
	up *ferrydiscovery.Upstream
	// target is what the engine was last ordered to hold, while that is under way.
	target ferryid.LayerRange
	state  orderState
	// until is when an order under way is doubted, or a pause ends.
	until time.Time
	// since is when the engine appeared.
	since time.Time
	// doubt says that an order without an answer may still take effect.
	doubt bool
}

type orderState int

const (
	// idle has no order under way.
	idle orderState = iota
	// asked waits for the answer to an order.
	asked
	// begun waits for the engine's entry to show what was ordered.
	begun
	// doubtful has had no answer: what was ordered counts as held until the engine says otherwise.
	doubtful
)

// NewCore returns a core without engines.
func NewCore() *Core {
	return &Core{engines: map[ferryid.UpstreamName]*engine{}, lacking: map[ferryid.DomainName]time.Time{}}
}

// Set takes the model and the engines as the platform describes them now.
func (c *Core) Set(m *ferryconfig.Model, list []*ferrydiscovery.Upstream, now time.Time) {
	c.model = m
	old := c.engines
	c.engines = make(map[ferryid.UpstreamName]*engine, len(list))
	for _, u := range list {
		name := ferryid.UpstreamName(u.Name)
		e := old[name]
		if e == nil || !e.up.SameRun(u) {
			e = &engine{since: now}
			c.appeared(now)
		}
		e.up = u
		if e.state != idle && u.Layers == e.target {
			e.state, e.doubt = idle, false
		}
		c.engines[name] = e
	}
}

func (c *Core) appeared(now time.Time) {
	if c.first.IsZero() {
		c.first = now
	}
	c.newest = now
}

// settled reports whether the engines are known well enough for a placement; where some hold layers already there is no need to wait.
func (c *Core) settled(now time.Time) bool {
	if c.begun || now.Sub(c.newest) >= settleFor || now.Sub(c.first) >= settleMost {
		return true
	}
	for _, e := range c.engines {
		if e.up.Layers.Len() > 0 {
			return true
		}
	}
	return false
}

// Send is one order to give now.
type Send struct {
	Upstream *ferrydiscovery.Upstream
	Layers   ferryid.LayerRange
}

// Next returns the orders to give now, never more than may load at once while traffic runs.
func (c *Core) Next(now time.Time) []Send {
	if c.model == nil || c.model.Layers == 0 || !c.settled(now) {
		return nil
	}
	loading := 0
	var engines []Engine
	for name, e := range c.engines {
		if e.state == begun && !now.Before(e.until) {
			e.state = idle
		}
		if e.state == asked || e.state == begun {
			loading++
		}
		kind, ok := c.model.Accelerator(ferryconfig.AcceleratorName(e.up.Accelerator))
		if !ok || !e.up.Ready() {
			continue
		}
		engines = append(engines, Engine{Name: name, Domain: e.up.FailureDomain, Accelerator: kind, Held: e.held(), Live: e.up.Layers, Fixed: e.busy(now), Age: now.Sub(e.since)})
	}
	sends := c.again(now)
	loading += len(sends)
	for _, o := range Plan(Situation{Model: c.model, Engines: engines, Lacking: c.lacks(engines, now)}) {
		if c.begun && c.model.LoadsAtOnce > 0 && loading >= c.model.LoadsAtOnce {
			break
		}
		e := c.engines[o.Engine]
		e.target, e.state = o.Layers, asked
		loading++
		sends = append(sends, Send{Upstream: e.up, Layers: o.Layers})
	}
	if len(sends) == 0 && loading == 0 {
		// Everything that could be placed has been, so what follows happens beside traffic.
		c.begun = c.begun || len(engines) > 0
	}
	return sends
}

// lacks notes which failure domains lack a layer that is neither held nor on its way, and says for how long.
func (c *Core) lacks(engines []Engine, now time.Time) map[ferryid.DomainName]time.Duration {
	cover := newCoverage(c.model.Layers)
	for _, e := range engines {
		cover.add(e.Domain, e.Held, 1)
	}
	out := map[ferryid.DomainName]time.Duration{}
	for d := range cover.domains {
		if !cover.lacking(d) {
			delete(c.lacking, d)
			continue
		}
		if c.lacking[d].IsZero() {
			c.lacking[d] = now
		}
		out[d] = now.Sub(c.lacking[d])
	}
	return out
}

// again repeats the orders that had no answer: an engine that has begun one says so, and one that is still to come no longer fits.
func (c *Core) again(now time.Time) []Send {
	var sends []Send
	for _, e := range c.engines {
		if e.state == doubtful && !now.Before(e.until) && e.up.Ready() {
			e.state = asked
			sends = append(sends, Send{Upstream: e.up, Layers: e.target})
		}
	}
	return sends
}

// held is what counts as held: the target while an order may take effect.
func (e *engine) held() ferryid.LayerRange {
	if e.state == idle {
		return e.up.Layers
	}
	return e.target
}

// busy reports whether no order may be given to the engine now.
func (e *engine) busy(now time.Time) bool {
	return e.state != idle || now.Before(e.until)
}

// Answer is what came of an order.
type Answer int

// The answers to an order.
const (
	// Begun means that the engine has begun it, or is there already.
	Begun Answer = iota
	// Refused means that the engine certainly did not begin it.
	Refused
	// Unknown means that it may have begun it, or may yet.
	Unknown
)

// Answered takes what came of an order.
func (c *Core) Answered(s Send, a Answer, now time.Time) {
	e := c.engines[ferryid.UpstreamName(s.Upstream.Name)]
	if e == nil || !e.up.SameRun(s.Upstream) || e.state != asked {
		return
	}
	switch a {
	case Begun:
		e.state, e.doubt = begun, false
		e.until = now.Add(c.loadTime(s.Layers) + patience)
		if e.up.Layers == e.target {
			e.state = idle
		}
	case Refused:
		e.state, e.until = idle, now.Add(retryAfter)
		if e.doubt {
			e.state = doubtful
		}
	case Unknown:
		e.state, e.until, e.doubt = doubtful, now.Add(retryAfter), true
	}
}

// loadTime is how long an engine takes to load a range at the most, with all engines loading at once.
func (c *Core) loadTime(r ferryid.LayerRange) time.Duration {
	t := time.Duration(float64(c.model.LoadTime) * float64(r.Len()) / float64(c.model.Layers))
	if c.model.LoadsAtOnce > 0 {
		t *= time.Duration(1 + len(c.engines)/c.model.LoadsAtOnce)
	}
	return t
}
