package ferrybalance

import (
	"math"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"cactusferry.dev/ferry/ferrydiscovery"
	"cactusferry.dev/ferry/ferryhealth"
	"cactusferry.dev/ferry/ferryid"
)

// Options tune a Balancer; Domain should be set.
type Options struct {
	Clock clockwork.Clock
	// Domain is the failure domain of this entry, whose upstreams cost no bytes between domains.
	Domain ferryid.DomainName
}

// Balancer chooses among the upstreams of one service; all methods may be called from any goroutine.
type Balancer struct {
	opts Options

	mu    sync.Mutex
	rows  []*row
	names map[ferryid.UpstreamName]*row
}

// row is what this entry knows of one upstream.
type row struct {
	up      *ferrydiscovery.Upstream
	running int
	latency ewma
	failing ewma
	health  ferryhealth.Health
	report  Load
	at      time.Time
}

// Load is what an upstream says of itself in its answers.
type Load struct {
	Running, Waiting, Slots int
}

// New returns a balancer without upstreams.
func New(opts Options) *Balancer {
	if opts.Clock == nil {
		opts.Clock = clockwork.NewRealClock()
	}
	return &Balancer{opts: opts, names: map[ferryid.UpstreamName]*row{}}
}

// SetUpstreams takes the upstreams of the service; what is known of one that still runs is kept.
func (b *Balancer) SetUpstreams(list []*ferrydiscovery.Upstream) {
	b.mu.Lock()
	defer b.mu.Unlock()
	old := b.names
	b.names = make(map[ferryid.UpstreamName]*row, len(list))
	b.rows = b.rows[:0]
	for _, u := range list {
		r := old[ferryid.UpstreamName(u.Name)]
		if r == nil || !r.up.SameRun(u) {
			r = &row{}
		}
		r.up = u
		b.names[ferryid.UpstreamName(u.Name)] = r
		b.rows = append(b.rows, r)
	}
}

// Call is one call that this entry has given to an upstream; it is ended by exactly one of its methods.
type Call struct {
	Upstream *ferrydiscovery.Upstream

	balancer *Balancer
	row      *row
	started  time.Time
}

// Pick chooses an upstream for a call and counts it there, or returns nil where there is none left.
//
// A call that must not repeat keeps away from upstreams with recent failures more than one that can be sent again.
func (b *Balancer) Pick(avoid []ferryid.UpstreamName, repeatable bool) *Call {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.opts.Clock.Now()
	best := b.least(now, avoid, repeatable, false)
	if best == nil {
		best = b.least(now, avoid, repeatable, true)
	}
	if best == nil {
		return nil
	}
	best.health.Chosen(now)
	best.running++
	return &Call{Upstream: best.up, balancer: b, row: best, started: now}
}

// least returns the cheapest upstream, of those that are out only as a last resort.
func (b *Balancer) least(now time.Time, avoid []ferryid.UpstreamName, repeatable, lastResort bool) *row {
	var best *row
	least := math.Inf(1)
	for _, r := range b.rows {
		if !r.up.Ready() || avoids(avoid, r.up) || (!lastResort && !r.health.Usable(now, repeatable)) {
			continue
		}
		c := b.cost(r, now, repeatable)
		if c < least {
			best, least = r, c
		}
	}
	return best
}

func avoids(avoid []ferryid.UpstreamName, u *ferrydiscovery.Upstream) bool {
	for _, name := range avoid {
		if string(name) == u.Name {
			return true
		}
	}
	return false
}

const (
	// usualLatency is assumed until an upstream has answered.
	usualLatency = 20 * time.Millisecond
	// leastLatency keeps costs apart where calls take no time worth measuring.
	leastLatency = time.Millisecond
	// remoteCost is what a call to another failure domain costs more, for its delay and bytes.
	remoteCost = time.Millisecond
	// reportAge is how long an upstream's word on its load is believed.
	reportAge = 300 * time.Millisecond
	// failureCost is what a failure costs a call that can be sent again, and unsafeFailureCost one that cannot.
	failureCost       = 200 * time.Millisecond
	unsafeFailureCost = 2 * time.Second
	// jitter spreads similar costs over the upstreams, and with them a caller's second try: what fails at one may be a matter of that one and the request.
	jitter = 0.5
)

// cost is the time that a call is expected to cost at an upstream, in seconds.
func (b *Balancer) cost(r *row, now time.Time, repeatable bool) float64 {
	base := max(r.latency.or(b.quickest()), leastLatency.Seconds())
	slots := float64(max(1, r.up.Slots))
	load := float64(r.running)
	if now.Sub(r.at) < reportAge {
		load = max(load, float64(r.report.Running+r.report.Waiting))
	}
	c := base * (1 + load/slots)
	if load >= slots {
		c += base * (load + 1 - slots) / slots
	}
	if r.up.FailureDomain != b.opts.Domain {
		c += remoteCost.Seconds()
	}
	price := failureCost
	if !repeatable {
		price = unsafeFailureCost
	}
	c += r.failing.or(0) * price.Seconds()
	if r.up.Warming > 0 {
		c += base / 2
	}
	return c * (1 + jitter*rand.Float64())
}

// quickest is the least latency of the upstreams that have answered; one that has not is taken to be as quick, so that it is tried.
func (b *Balancer) quickest() float64 {
	least := usualLatency.Seconds()
	for _, r := range b.rows {
		least = min(least, r.latency.or(least))
	}
	return least
}

// Done ends a call that the upstream answered in full.
func (c *Call) Done(load *Load) {
	c.end(func(r *row, now time.Time) {
		r.latency.add(now.Sub(c.started).Seconds())
		r.failing.add(0)
		r.health.Succeeded()
		if load != nil {
			r.report, r.at = *load, now
		}
	})
}

// Failed ends a call that the upstream failed or broke off.
func (c *Call) Failed() {
	c.end(func(r *row, now time.Time) {
		r.failing.add(1)
		r.health.Failed(now)
	})
}

// Unreachable ends a call for which no connection could be had.
func (c *Call) Unreachable() {
	c.end(func(r *row, now time.Time) {
		r.failing.add(1)
		r.health.Unreachable(now)
	})
}

// Refused ends a call that the upstream refused unrun for want of room.
func (c *Call) Refused() {
	c.end(func(r *row, now time.Time) { r.health.Refused(now) })
}

// Cancelled ends a call that the caller or this entry gave up.
func (c *Call) Cancelled() {
	c.end(func(*row, time.Time) {})
}

func (c *Call) end(f func(*row, time.Time)) {
	b := c.balancer
	b.mu.Lock()
	defer b.mu.Unlock()
	c.row.running--
	f(c.row, b.opts.Clock.Now())
}

// Usable counts the upstreams that may be chosen now.
func (b *Balancer) Usable() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.opts.Clock.Now()
	n := 0
	for _, r := range b.rows {
		if r.up.Ready() && r.health.Usable(now, true) {
			n++
		}
	}
	return n
}

// Known counts the upstreams that take work, whether they answer or not.
func (b *Balancer) Known() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	n := 0
	for _, r := range b.rows {
		if r.up.Ready() {
			n++
		}
	}
	return n
}
