package ferryforward

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"cactusferry.dev/ferry/ferryexchange"
	"cactusferry.dev/ferry/ferryguard"
	"cactusferry.dev/ferry/ferrypath"
)

const (
	// aliveTTL and deadTTL are how long a probe result is reused by other streams over the same engine.
	aliveTTL = 150 * time.Millisecond
	deadTTL  = 150 * time.Millisecond
	// maxProbes is the capacity of the result cache.
	maxProbes = 1024
)

// probeTimeouts are the connect timeouts of a probe. There are two attempts because a SYN may be lost; links
// between failure domains take about 1 ms.
var probeTimeouts = []time.Duration{15 * time.Millisecond, 25 * time.Millisecond}

const (
	// timerLateness is how late a probe's timeout may fire before this machine counts as overloaded. Timers
	// are late by less than 1 ms otherwise.
	timerLateness = 5 * time.Millisecond
	// hostOverloadProbeTimeout is the connect timeout while this machine is overloaded, so that its own delays
	// are not attributed to the engine.
	hostOverloadProbeTimeout = 200 * time.Millisecond
	// hostOverloadTTL is how long the machine counts as overloaded after a late timeout.
	hostOverloadTTL = time.Second
)

// prober checks the liveness of engines by TCP connects. Streams that suspect the same engine share a probe.
type prober struct {
	client *ferryexchange.Client
	clock  clockwork.Clock
	guard  *ferryguard.Guard
	mu     sync.Mutex
	probes map[string]*probe
	// hostOverloadedUntil is when this machine stops counting as overloaded.
	hostOverloadedUntil time.Time
}

// probe is one liveness check of an address; done is closed after alive has been set.
type probe struct {
	done  chan struct{}
	at    time.Time
	alive bool
}

func newProber(c *ferryexchange.Client, clock clockwork.Clock, guard *ferryguard.Guard) *prober {
	return &prober{client: c, clock: clock, guard: guard, probes: map[string]*probe{}}
}

// hostOverloaded reports whether this machine has recently been overloaded.
func (p *prober) hostOverloaded() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.clock.Now().Before(p.hostOverloadedUntil)
}

// deadHops returns the given indices of hops whose engines do not answer; answers to probes begun before the given
// time do not count. If none of them answers, one more
// engine of the path is probed: if that one does not answer either, the fault is probably on this
// entry's side and no hop is reported.
func (p *prober) deadHops(hops []ferrypath.Hop, indices []int, since time.Time) []int {
	probes := make([]*probe, len(indices))
	for k, i := range indices {
		probes[k] = p.probe(hops[i].Upstream.Address, since)
	}
	var dead []int
	for k, i := range indices {
		<-probes[k].done
		if !probes[k].alive {
			dead = append(dead, i)
		}
	}
	if len(dead) == len(indices) && !p.otherReachable(hops, indices) {
		return nil
	}
	return dead
}

// maxBeside is the number of other upstreams that are probed to tell a dead one from a fault of this entry.
const maxBeside = 8

// deadBeside reports whether an upstream does not answer a probe begun since the given time while another one does.
func (p *prober) deadBeside(address string, others []string, since time.Time) bool {
	if pr := p.probe(address, since); !pr.wait() {
		var beside []*probe
		for _, other := range others[:min(len(others), maxBeside)] {
			beside = append(beside, p.probe(other, time.Time{}))
		}
		return slices.ContainsFunc(beside, (*probe).wait)
	}
	return false
}

// wait returns the result of the probe.
func (pr *probe) wait() bool {
	<-pr.done
	return pr.alive
}

// otherReachable reports whether the first engine of the path outside the excluded hops answers.
func (p *prober) otherReachable(hops []ferrypath.Hop, excluded []int) bool {
	for i := range hops {
		if !slices.Contains(excluded, i) {
			pr := p.probe(hops[i].Upstream.Address, time.Time{})
			<-pr.done
			return pr.alive
		}
	}
	return false
}

// probe returns a recent probe of the address that was not answered before the given time, or starts one.
func (p *prober) probe(address string, since time.Time) *probe {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.clock.Now()
	if pr := p.probes[address]; pr != nil && pr.recent(now, since) {
		return pr
	}
	if len(p.probes) >= maxProbes {
		clear(p.probes)
	}
	pr := &probe{done: make(chan struct{}), at: now}
	p.probes[address] = pr
	p.guard.Go("engine probe", address, func() {
		defer close(pr.done)
		pr.alive = p.reachable(address)
	})
	return pr
}

// reachable connects with each of the usual timeouts, and with the longer one if this machine is overloaded.
func (p *prober) reachable(address string) bool {
	if !p.hostOverloaded() {
		for _, d := range probeTimeouts {
			if p.connect(address, d) {
				return true
			}
		}
	}
	return p.hostOverloaded() && p.connect(address, hostOverloadProbeTimeout)
}

// connect connects once and records whether the timeout fired late.
func (p *prober) connect(address string, timeout time.Duration) bool {
	began := p.clock.Now()
	ctx, cancel := clockwork.WithTimeout(context.Background(), p.clock, timeout)
	defer cancel()
	err := p.client.Probe(ctx, address)
	if now := p.clock.Now(); now.Sub(began) > timeout+timerLateness {
		p.mu.Lock()
		p.hostOverloadedUntil = now.Add(hostOverloadTTL)
		p.mu.Unlock()
	}
	return err == nil
}

// recent reports whether the probe is in progress or its result is fresh enough to be reused.
func (pr *probe) recent(now, since time.Time) bool {
	select {
	case <-pr.done:
	default:
		return true
	}
	if pr.alive {
		return now.Sub(pr.at) < aliveTTL && !pr.at.Before(since)
	}
	return now.Sub(pr.at) < deadTTL
}
