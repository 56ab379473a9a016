package ferryplacement

import (
	"time"

	"cactusferry.dev/ferry/ferryconfig"
	"cactusferry.dev/ferry/ferrydiscovery"
	"cactusferry.dev/ferry/ferryid"
)

const (
	// orderVisibleTimeout is how long, beyond the load time, an order that was begun may take to show in
	// the engine's registration on the platform.
	orderVisibleTimeout = 4 * time.Second
	// settleFor is how long no new engine must have appeared before the first placement, so that all engines
	// are known. It is a little more than the heartbeat interval. maxSettle bounds the wait.
	settleFor = 1400 * time.Millisecond
	maxSettle = 4 * time.Second
	// orderRetryDelay is the delay after an order that was refused or not answered.
	orderRetryDelay = 500 * time.Millisecond
)

// Core decides which orders to send. It is not safe for concurrent use.
type Core struct {
	model   *ferryconfig.Model
	demand  MemoryDemand
	engines map[ferryid.UpstreamName]*engine
	placed  bool
	// lacking is the time since which a failure domain has lacked at least one layer.
	lacking map[ferryid.DomainName]time.Time
	// spreads are the placements for scarce memory that the last plans computed.
	spreads map[ferryid.DomainName]*spread
	// firstSeen and newestSeen are the times when the first and the newest engine appeared.
	firstSeen, newestSeen time.Time
}

// engine is the state of one engine.
type engine struct {
	up *ferrydiscovery.Upstream
	// target is the range of the last order, valid unless state is idle.
	target ferryid.LayerRange
	state  orderState
	// until is the deadline of an order in progress, or the end of a delay.
	until time.Time
	// appearedAt is the time when the engine appeared.
	appearedAt time.Time
	// outcomeUnknown is set while an order without an answer may still take effect.
	outcomeUnknown bool
}

type orderState int

const (
	// idle means that no order is in progress.
	idle orderState = iota
	// sent means that an order was sent and not answered yet.
	sent
	// begun means that the engine has begun the order but its registration does not show the layers yet.
	begun
	// doubtful means that an order had no answer. Its layers count as held until
	// the engine's state is known.
	doubtful
)

// NewCore returns a core without engines.
func NewCore() *Core {
	return &Core{engines: map[ferryid.UpstreamName]*engine{}, lacking: map[ferryid.DomainName]time.Time{}, spreads: map[ferryid.DomainName]*spread{}}
}

// MemoryDemand tells whether the demand for a service is expected to exceed the memory for requests.
type MemoryDemand int

const (
	// MemorySuffices means that the engines' memory for requests usually suffices.
	MemorySuffices MemoryDemand = iota
	// MemoryScarce means that requests compete for the engines' memory, as ranks in the configuration tell.
	MemoryScarce
)

// Set replaces the model, the expected demand and the engines as the platform describes them now.
func (c *Core) Set(m *ferryconfig.Model, d MemoryDemand, list []*ferrydiscovery.Upstream, now time.Time) {
	c.model, c.demand = m, d
	old := c.engines
	c.engines = make(map[ferryid.UpstreamName]*engine, len(list))
	for _, u := range list {
		name := ferryid.UpstreamName(u.Name)
		e := old[name]
		if e == nil || !e.up.SameProcess(u) {
			e = &engine{appearedAt: now}
			c.recordArrival(now)
		}
		e.up = u
		if e.state != idle && u.Layers == e.target {
			e.state, e.outcomeUnknown = idle, false
		}
		c.engines[name] = e
	}
}

func (c *Core) recordArrival(now time.Time) {
	if c.firstSeen.IsZero() {
		c.firstSeen = now
	}
	c.newestSeen = now
}

// settled reports whether enough engines are known for a placement. If some engine already holds layers,
// there is no need to wait.
func (c *Core) settled(now time.Time) bool {
	if c.placed || now.Sub(c.newestSeen) >= settleFor || now.Sub(c.firstSeen) >= maxSettle {
		return true
	}
	for _, e := range c.engines {
		if e.up.Layers.Len() > 0 {
			return true
		}
	}
	return false
}

// Send is one order to be sent now.
type Send struct {
	Upstream *ferrydiscovery.Upstream
	Layers   ferryid.LayerRange
}

// Next returns the orders to send now. After the first placement, at most
// Model.LoadsAtOnce engines load at once.
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
		if e.state == sent || e.state == begun {
			loading++
		}
		kind, ok := c.model.Accelerator(ferryconfig.AcceleratorName(e.up.Accelerator))
		if !ok || !e.up.Ready() {
			continue
		}
		engines = append(engines, Engine{Name: name, Domain: e.up.FailureDomain, Accelerator: kind, Held: e.held(), Live: e.up.Layers, Fixed: e.busy(now), Age: now.Sub(e.appearedAt)})
	}
	sends := c.repeatDoubtful(now)
	loading += len(sends)
	for _, o := range Plan(Input{Model: c.model, Engines: engines, FavorMemory: c.demand == MemoryScarce, Lacking: c.updateLacking(engines, now), spreads: c.spreads}) {
		if c.placed && c.model.LoadsAtOnce > 0 && loading >= c.model.LoadsAtOnce {
			break
		}
		e := c.engines[o.Engine]
		e.target, e.state = o.Layers, sent
		loading++
		sends = append(sends, Send{Upstream: e.up, Layers: o.Layers})
	}
	if len(sends) == 0 && loading == 0 {
		// The first placement is complete, so further loads compete with traffic.
		c.placed = c.placed || len(engines) > 0
	}
	return sends
}

// updateLacking updates which failure domains lack a layer that is neither held nor loading,
// and returns for how long.
func (c *Core) updateLacking(engines []Engine, now time.Time) map[ferryid.DomainName]time.Duration {
	cover := newCoverage(c.model.Layers)
	for _, e := range engines {
		cover.add(e.Domain, e.Held, 1)
	}
	out := map[ferryid.DomainName]time.Duration{}
	for d := range cover.domains {
		if !cover.lacksAny(d) {
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

// repeatDoubtful returns the orders without an answer, to be sent again. An engine that has begun one reports
// so, and one that is still in transit is refused once its expected number of orders is outdated.
func (c *Core) repeatDoubtful(now time.Time) []Send {
	var sends []Send
	for _, e := range c.engines {
		if e.state == doubtful && !now.Before(e.until) && e.up.Ready() {
			e.state = sent
			sends = append(sends, Send{Upstream: e.up, Layers: e.target})
		}
	}
	return sends
}

// held returns the range that counts as held: the target while an order may take effect.
func (e *engine) held() ferryid.LayerRange {
	if e.state == idle {
		return e.up.Layers
	}
	return e.target
}

// busy reports whether the engine must not be sent an order now.
func (e *engine) busy(now time.Time) bool {
	return e.state != idle || now.Before(e.until)
}

// OrderOutcome is the outcome of an order.
type OrderOutcome int

// The outcomes of an order.
const (
	// Begun means that the engine has begun the order or already holds the layers.
	Begun OrderOutcome = iota
	// Refused means that the engine certainly did not begin the order.
	Refused
	// Unknown means that the engine may have begun the order or may still begin it.
	Unknown
)

// RecordOutcome records the outcome of an order.
func (c *Core) RecordOutcome(s Send, outcome OrderOutcome, now time.Time) {
	e := c.engines[ferryid.UpstreamName(s.Upstream.Name)]
	if e == nil || !e.up.SameProcess(s.Upstream) || e.state != sent {
		return
	}
	switch outcome {
	case Begun:
		e.state, e.outcomeUnknown = begun, false
		e.until = now.Add(c.loadTime(s.Layers) + orderVisibleTimeout)
		if e.up.Layers == e.target {
			e.state = idle
		}
	case Refused:
		e.state, e.until = idle, now.Add(orderRetryDelay)
		if e.outcomeUnknown {
			e.state = doubtful
		}
	case Unknown:
		e.state, e.until, e.outcomeUnknown = doubtful, now.Add(orderRetryDelay), true
	}
}

// loadTime returns the longest time to load a range, with all engines loading at once.
func (c *Core) loadTime(r ferryid.LayerRange) time.Duration {
	t := time.Duration(float64(c.model.LoadTime) * float64(r.Len()) / float64(c.model.Layers))
	if c.model.LoadsAtOnce > 0 {
		t *= time.Duration(1 + len(c.engines)/c.model.LoadsAtOnce)
	}
	return t
}
