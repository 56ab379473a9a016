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

// Options configures a Balancer; Domain should be set.
type Options struct {
	Clock clockwork.Clock
	// Domain is the failure domain of this entry; calls to its upstreams cause no traffic between domains.
	Domain ferryid.DomainName
}

// Balancer chooses among the upstreams of one service; it is safe for concurrent use.
type Balancer struct {
	opts Options

	mu     sync.Mutex
	states []*upstreamState
	byName map[ferryid.UpstreamName]*upstreamState
}

// upstreamState is this entry's state of one upstream.
type upstreamState struct {
	up          *ferrydiscovery.Upstream
	running     int
	latency     ewma
	failureRate ewma
	health      ferryhealth.Health
	load        Load
	loadAt      time.Time
}

// Load is the load that an upstream reports in its answers, in requests and slots.
type Load struct {
	Running, Waiting, Slots int
}

// New returns a Balancer without upstreams.
func New(opts Options) *Balancer {
	if opts.Clock == nil {
		opts.Clock = clockwork.NewRealClock()
	}
	return &Balancer{opts: opts, byName: map[ferryid.UpstreamName]*upstreamState{}}
}

// SetUpstreams replaces the upstreams of the service; the state of an upstream is kept until it restarts.
func (b *Balancer) SetUpstreams(list []*ferrydiscovery.Upstream) {
	b.mu.Lock()
	defer b.mu.Unlock()
	old := b.byName
	b.byName = make(map[ferryid.UpstreamName]*upstreamState, len(list))
	b.states = b.states[:0]
	for _, u := range list {
		state := old[ferryid.UpstreamName(u.Name)]
		if state == nil || !state.up.SameProcess(u) {
			state = &upstreamState{}
		}
		state.up = u
		b.byName[ferryid.UpstreamName(u.Name)] = state
		b.states = append(b.states, state)
	}
}

// Call is one call assigned to an upstream; the caller must end it by exactly one of its methods.
type Call struct {
	Upstream *ferrydiscovery.Upstream

	balancer *Balancer
	state    *upstreamState
	started  time.Time
	// ended is guarded by the balancer's mutex.
	ended bool
}

// Pick chooses an upstream for a call and counts the call as running there, or returns nil if none is left.
// An upstream that wants no requests for now is not chosen.
//
// Recent failures of an upstream weigh more for a call that cannot be retried.
func (b *Balancer) Pick(avoid []ferryid.UpstreamName, repeatable bool) *Call {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.opts.Clock.Now()
	best := b.cheapest(now, avoid, repeatable, false)
	if best == nil {
		best = b.cheapest(now, avoid, repeatable, true)
	}
	if best == nil {
		return nil
	}
	best.health.Chosen(now)
	best.running++
	return &Call{Upstream: best.up, balancer: b, state: best, started: now}
}

// cheapest returns the upstream with the lowest cost; as a last resort it also considers ejected upstreams.
func (b *Balancer) cheapest(now time.Time, avoid []ferryid.UpstreamName, repeatable, lastResort bool) *upstreamState {
	var best *upstreamState
	least := math.Inf(1)
	for _, state := range b.states {
		if !state.up.Ready() || state.up.Deferred(now) || excluded(avoid, state.up) || (!lastResort && !state.health.Usable(now, repeatable)) {
			continue
		}
		c := b.cost(state, now, repeatable)
		if c < least {
			best, least = state, c
		}
	}
	return best
}

func excluded(avoid []ferryid.UpstreamName, u *ferrydiscovery.Upstream) bool {
	for _, name := range avoid {
		if string(name) == u.Name {
			return true
		}
	}
	return false
}

const (
	// defaultLatency is assumed until an upstream has answered.
	defaultLatency = 20 * time.Millisecond
	// minLatency keeps load effective in the cost of calls with negligible latency.
	minLatency = time.Millisecond
	// remoteCost is the extra cost of a call to another failure domain, for its delay and traffic.
	remoteCost = time.Millisecond
	// loadTTL is how long a reported load is used.
	loadTTL = 300 * time.Millisecond
	// failureCost is the cost of a failure for a call that can be retried, and unsafeFailureCost for one that
	// cannot.
	failureCost       = 200 * time.Millisecond
	unsafeFailureCost = 2 * time.Second
	// jitter is the largest relative random surcharge. It spreads calls over upstreams of similar cost, and
	// also a caller's retries, since a failure may depend on the combination of request and upstream.
	jitter = 0.5
)

// cost returns the expected cost of a call at an upstream, in seconds.
func (b *Balancer) cost(state *upstreamState, now time.Time, repeatable bool) float64 {
	base := max(state.latency.valueOr(b.lowestLatency()), minLatency.Seconds())
	slots := float64(max(1, state.up.Slots))
	load := float64(state.running)
	if now.Sub(state.loadAt) < loadTTL {
		load = max(load, float64(state.load.Running+state.load.Waiting))
	}
	c := base * (1 + load/slots)
	if load >= slots {
		c += base * (load + 1 - slots) / slots
	}
	if state.up.FailureDomain != b.opts.Domain {
		c += remoteCost.Seconds()
	}
	failurePenalty := failureCost
	if !repeatable {
		failurePenalty = unsafeFailureCost
	}
	c += state.failureRate.valueOr(0) * failurePenalty.Seconds()
	if state.up.Warming > 0 {
		c += base / 2
	}
	return c * (1 + jitter*rand.Float64())
}

// lowestLatency returns the lowest mean latency, at most defaultLatency. It is assumed for upstreams without
// answers so far, so that they are tried.
func (b *Balancer) lowestLatency() float64 {
	least := defaultLatency.Seconds()
	for _, state := range b.states {
		least = min(least, state.latency.valueOr(least))
	}
	return least
}

// Done ends a call with a complete answer; load may be nil.
func (c *Call) Done(load *Load) {
	c.end(func(r *upstreamState, now time.Time) {
		r.latency.add(now.Sub(c.started).Seconds())
		r.failureRate.add(0)
		r.health.Succeeded()
		if load != nil {
			r.load, r.loadAt = *load, now
		}
	})
}

// Failed ends a call that the upstream failed or aborted.
func (c *Call) Failed() {
	c.end(func(r *upstreamState, now time.Time) {
		r.failureRate.add(1)
		r.health.Failed(now)
	})
}

// Unreachable ends a call for which no connection could be opened.
func (c *Call) Unreachable() {
	c.end(func(r *upstreamState, now time.Time) {
		r.failureRate.add(1)
		r.health.Unreachable(now)
		r.up.RecordUnreachable()
	})
}

// Refused ends a call that the upstream refused without running it, for lack of capacity.
func (c *Call) Refused() {
	c.end(func(r *upstreamState, now time.Time) { r.health.Refused(now) })
}

// Cancelled ends a call that the caller or this entry cancelled; it does not affect the upstream's state.
func (c *Call) Cancelled() {
	c.end(func(*upstreamState, time.Time) {})
}

func (c *Call) end(f func(*upstreamState, time.Time)) {
	b := c.balancer
	b.mu.Lock()
	defer b.mu.Unlock()
	if c.ended {
		return
	}
	c.ended = true
	c.state.running--
	f(c.state, b.opts.Clock.Now())
}

// AvailableAt returns the earliest time at which an upstream wants requests again, or zero unless all ready
// upstreams want none now.
func (b *Balancer) AvailableAt() time.Time {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.opts.Clock.Now()
	earliest := time.Time{}
	for _, state := range b.states {
		if !state.up.Ready() {
			continue
		}
		at := state.up.RetryAt()
		if !now.Before(at) {
			return time.Time{}
		}
		if earliest.IsZero() || at.Before(earliest) {
			earliest = at
		}
	}
	return earliest
}

// Usable returns the number of ready upstreams that are not ejected and want requests, without the given ones.
func (b *Balancer) Usable(except ...ferryid.UpstreamName) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.opts.Clock.Now()
	n := 0
	for _, state := range b.states {
		if state.up.Ready() && !state.up.Deferred(now) && state.health.Usable(now, true) && !excluded(except, state.up) {
			n++
		}
	}
	return n
}

// Known returns the number of ready upstreams, including ejected ones.
func (b *Balancer) Known() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	n := 0
	for _, state := range b.states {
		if state.up.Ready() {
			n++
		}
	}
	return n
}
