package ferryorder

import (
	"time"

	"cactusferry.dev/ferry/ferryid"
)

// orderPatience is how long a given order may take to show in the engine's report before it is given again.
const orderPatience = 30 * time.Second

// runner is what the core knows of one engine.
type runner struct {
	wanted  Runner
	report  Report
	read    bool // a report came since this fencing number began
	pending bool // an order is outstanding
	sentAt  time.Time
	sent    Target
	group   int
	turn    turn // of the last order or believed report
	due     time.Time
	wait    time.Duration
}

// Core decides which orders to give, from the wanted state and what the engines report.
type Core struct {
	wanted  Wanted
	fence   ferryid.Fence
	runners map[ferryid.UpstreamName]*runner
	bucket  bucket
	pace    Pace     // where the wanted state has none
	sums    []uint64 // of the groups, nil until they are needed
	turn    turn
}

// NewCore returns a core that gives no orders until it has a wanted state, a fencing number and reports.
func NewCore(p Pace) *Core {
	return &Core{runners: map[ferryid.UpstreamName]*runner{}, bucket: bucket{pace: p}, pace: p}
}

// SetWanted takes the wanted state of a newer document; an older one changes nothing.
func (c *Core) SetWanted(w Wanted) {
	if w.Generation < c.wanted.Generation {
		return
	}
	c.wanted = w
	c.sums = nil
	c.bucket.pace = c.pace
	if w.Pace.LayersPerSecond > 0 {
		c.bucket.pace = w.Pace
	}
	old := c.runners
	c.runners = map[ferryid.UpstreamName]*runner{}
	for i, r := range w.Runners {
		n := &runner{}
		if o, ok := old[r.Name]; ok && o.wanted.Address == r.Address {
			n = o
		}
		n.wanted = r
		n.group = i / GroupSize
		c.runners[r.Name] = n
	}
}

// SetFence begins a tenure: whatever was read or sent under another number is not believed any more.
func (c *Core) SetFence(f ferryid.Fence) {
	if f == c.fence {
		return
	}
	c.fence = f
	c.turn++
	for _, r := range c.runners {
		r.read = false
		r.pending = false
		r.turn = c.turn
		r.due = time.Time{}
		r.wait = 0
	}
}

// Reported takes what an engine says of itself; what an order asked for has to show before the next is given.
func (c *Core) Reported(name ferryid.UpstreamName, rep Report, now time.Time) {
	r, ok := c.runners[name]
	if !ok {
		return
	}
	r.report = rep
	r.read = true
	if r.pending && (rep.Target == r.sent && rep.Ready || now.Sub(r.sentAt) >= orderPatience) {
		r.pending = false
	}
	c.schedule(r, now)
}

// Refused takes an order that certainly had no effect; the engine is read again before the next.
func (c *Core) Refused(name ferryid.UpstreamName) {
	if r, ok := c.runners[name]; ok {
		r.read = false
		r.pending = false
		r.turn = c.turn
	}
}

// Unreadable notes that an engine's report could not be read; it is tried again less and less often.
func (c *Core) Unreadable(name ferryid.UpstreamName, now time.Time) {
	if r, ok := c.runners[name]; ok {
		r.read = false
		r.wait = min(max(2*r.wait, defaultInterval), c.quiet())
		r.due = now.Add(r.wait)
	}
}

// Send is one order to give now.
type Send struct {
	Name    ferryid.UpstreamName
	Address string
	Order   Order
}

// Blocked says why an engine that is not as wanted gets no order now.
type Blocked struct {
	Name   ferryid.UpstreamName
	Reason Reason
}

// Reason is why an order waits.
type Reason string

// The reasons for which an order waits.
const (
	// ReasonLastCopy means that the engine is the only one in service for some of its layers.
	ReasonLastCopy Reason = "LastCopy"
	// ReasonPace means that the weight store's rate is used up.
	ReasonPace Reason = "Pace"
	// ReasonUnread means that the engine has not reported under this fencing number.
	ReasonUnread Reason = "Unread"
	// ReasonPending means that an order is outstanding.
	ReasonPending Reason = "Pending"
)

// Next returns the orders to give now and what waits; the caller checks its lease before it sends each.
func (c *Core) Next(now time.Time) ([]Send, []Blocked) {
	var out []Send
	var waits []Blocked
	if c.fence == 0 {
		return nil, nil
	}
	cover := c.cover()
	for _, w := range c.wanted.Runners {
		r := c.runners[w.Name]
		if r.read && !r.pending && r.report.Target == w.Target {
			continue
		}
		if why := c.waits(r, cover, now); why != "" {
			waits = append(waits, Blocked{w.Name, why})
			continue
		}
		cover.remove(r)
		c.ordered(r, now)
		o := Order{Fence: c.fence, Service: c.wanted.Service, Target: w.Target}
		out = append(out, Send{w.Name, w.Address, o})
	}
	return out, waits
}

// ordered notes that the engine is given an order, after which no earlier reading counts.
func (c *Core) ordered(r *runner, now time.Time) {
	r.pending = true
	r.sentAt = now
	r.sent = r.wanted.Target
	r.turn = c.turn
	r.wait = quickInterval
	r.due = now.Add(r.wait)
}

func (c *Core) waits(r *runner, cover *coverage, now time.Time) Reason {
	switch {
	case r.pending:
		return ReasonPending
	case !r.read:
		return ReasonUnread
	case !cover.spare(r):
		return ReasonLastCopy
	}
	to := r.wanted.Target
	if to.loads(r.report.Target) && !c.bucket.take(to.Layers.Len(), now) {
		return ReasonPace
	}
	return ""
}
