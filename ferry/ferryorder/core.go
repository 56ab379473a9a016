package ferryorder

import (
	"time"

	"cactusferry.dev/ferry/ferryid"
)

// orderTimeout is how long an order may take to show in the engine's report before it is sent again.
const orderTimeout = 30 * time.Second

// engineState is the state of one engine as known to the core.
type engineState struct {
	wanted   WantedEngine
	report   Report
	read     bool // a report was received under the current fencing number
	pending  bool // an order is outstanding
	sentAt   time.Time
	sent     Target
	group    int
	turn     turn // of the last order or accepted report; earlier reads are ignored
	nextRead time.Time
	interval time.Duration
}

// Core decides which orders to send, from the wanted state and the engines' reports; it performs no I/O.
type Core struct {
	wanted    Wanted
	fence     ferryid.Fence
	engines   map[ferryid.UpstreamName]*engineState
	bucket    bucket
	pace      Pace     // used if the wanted state has none
	checksums []uint64 // checksums of the groups, computed on demand
	turn      turn
}

// NewCore returns a core; it needs a wanted state, a fencing number and reports before it sends orders.
func NewCore(p Pace) *Core {
	return &Core{engines: map[ferryid.UpstreamName]*engineState{}, bucket: bucket{pace: p}, pace: p}
}

// SetWanted sets the wanted state; the state of an older generation is ignored.
func (c *Core) SetWanted(w Wanted) {
	if w.Generation < c.wanted.Generation {
		return
	}
	c.wanted = w
	c.checksums = nil
	c.bucket.pace = c.pace
	if w.Pace.LayersPerSecond > 0 {
		c.bucket.pace = w.Pace
	}
	old := c.engines
	c.engines = map[ferryid.UpstreamName]*engineState{}
	for i, r := range w.Engines {
		n := &engineState{}
		if o, ok := old[r.Name]; ok && o.wanted.Address == r.Address {
			n = o
		}
		n.wanted = r
		n.group = i / GroupSize
		c.engines[r.Name] = n
	}
}

// SetFence starts a tenure; reports and orders under another fencing number are discarded.
func (c *Core) SetFence(f ferryid.Fence) {
	if f == c.fence {
		return
	}
	c.fence = f
	c.turn++
	for _, r := range c.engines {
		r.read = false
		r.pending = false
		r.turn = c.turn
		r.nextRead = time.Time{}
		r.interval = 0
	}
}

// ApplyReport records an engine's report. A pending order must show in the report before the next one is sent.
func (c *Core) ApplyReport(name ferryid.UpstreamName, rep Report, now time.Time) {
	r, ok := c.engines[name]
	if !ok {
		return
	}
	r.report = rep
	r.read = true
	if r.pending && (rep.Target == r.sent && rep.Ready || now.Sub(r.sentAt) >= orderTimeout) {
		r.pending = false
	}
	c.schedule(r, now)
}

// OrderRefused records that an order had no effect; the engine is read again before the next order.
func (c *Core) OrderRefused(name ferryid.UpstreamName) {
	if r, ok := c.engines[name]; ok {
		r.read = false
		r.pending = false
		r.turn = c.turn
	}
}

// ReadFailed records that an engine's report could not be read; reads are repeated with exponential backoff.
func (c *Core) ReadFailed(name ferryid.UpstreamName, now time.Time) {
	if r, ok := c.engines[name]; ok {
		r.read = false
		r.interval = min(max(2*r.interval, defaultInterval), c.idleInterval())
		r.nextRead = now.Add(r.interval)
	}
}

// Send is an order to be sent.
type Send struct {
	Name    ferryid.UpstreamName
	Address string
	Order   Order
}

// Blocked is an engine that differs from its wanted state but gets no order, with the reason.
type Blocked struct {
	Name   ferryid.UpstreamName
	Reason Reason
}

// Reason is the reason for which an order is blocked.
type Reason string

// The reasons for which an order is blocked.
const (
	// ReasonLastCopy means that the engine is the only one in service for some of its layers.
	ReasonLastCopy Reason = "LastCopy"
	// ReasonPace means that the limit on the rate of loading weights from the store is exhausted.
	ReasonPace Reason = "Pace"
	// ReasonUnread means that the engine has not reported under this fencing number.
	ReasonUnread Reason = "Unread"
	// ReasonPending means that an order is outstanding.
	ReasonPending Reason = "Pending"
)

// Next returns the orders to send now and the blocked engines; the caller must check its lease before each send.
func (c *Core) Next(now time.Time) ([]Send, []Blocked) {
	var out []Send
	var blocked []Blocked
	if c.fence == 0 {
		return nil, nil
	}
	cover := c.coverage()
	for _, w := range c.wanted.Engines {
		r := c.engines[w.Name]
		if r.read && !r.pending && r.report.Target == w.Target {
			continue
		}
		if reason := c.blockReason(r, cover, now); reason != "" {
			blocked = append(blocked, Blocked{w.Name, reason})
			continue
		}
		cover.remove(r)
		c.recordOrder(r, now)
		o := Order{Fence: c.fence, Service: c.wanted.Service, Target: w.Target}
		out = append(out, Send{w.Name, w.Address, o})
	}
	return out, blocked
}

// recordOrder records that an order is sent to the engine; reads started earlier are ignored from then on.
func (c *Core) recordOrder(r *engineState, now time.Time) {
	r.pending = true
	r.sentAt = now
	r.sent = r.wanted.Target
	r.turn = c.turn
	r.interval = minInterval
	r.nextRead = now.Add(r.interval)
}

func (c *Core) blockReason(r *engineState, cover *coverage, now time.Time) Reason {
	switch {
	case r.pending:
		return ReasonPending
	case !r.read:
		return ReasonUnread
	case !cover.canLeave(r):
		return ReasonLastCopy
	}
	to := r.wanted.Target
	if to.loads(r.report.Target) && !c.bucket.take(to.Layers.Len(), now) {
		return ReasonPace
	}
	return ""
}
