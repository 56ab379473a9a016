package ferryforward

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"cactusferry.dev/ferry/ferryexchange"
	"cactusferry.dev/ferry/ferrypath"
)

const (
	// aliveAge and deadAge are how long the result of a probe is used for other streams over the same engine.
	aliveAge = 50 * time.Millisecond
	deadAge  = 150 * time.Millisecond
	// maxProbes bounds the results that are kept.
	maxProbes = 1024
)

// probeTimes are how long an engine may take to accept a connection, once and once more since an opening packet may be lost:
// links between domains take a millisecond.
var probeTimes = []time.Duration{15 * time.Millisecond, 25 * time.Millisecond}

const (
	// lateBy is how much later than its time a probe may end on a machine that keeps up; timers are late by less than a millisecond there.
	lateBy = 5 * time.Millisecond
	// slowProbeTime is what an engine gets while this machine does not keep up, so that the machine's own slowness is not taken for the engine's.
	slowProbeTime = 200 * time.Millisecond
	// slowFor is how long the machine counts as slow after a probe ended late.
	slowFor = time.Second
)

// prober tells whether engines still answer; many streams that suspect the same one share a probe.
type prober struct {
	client *ferryexchange.Client
	clock  clockwork.Clock
	mu     sync.Mutex
	probes map[string]*probe
	// slowUntil is how long this machine counts as slow.
	slowUntil time.Time
}

// probe is one question to an address; done is closed when it is answered.
type probe struct {
	done  chan struct{}
	at    time.Time
	alive bool
}

func newProber(c *ferryexchange.Client, clock clockwork.Clock) *prober {
	return &prober{client: c, clock: clock, probes: map[string]*probe{}}
}

// slow reports whether this machine has not kept up lately.
func (p *prober) slow() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.clock.Now().Before(p.slowUntil)
}

// dead returns which of the hops at the given indices have engines that do not answer. If none of those answers, another engine of the
// path is asked too: if that one does not answer either, the trouble is probably this entry's own, and it returns none.
func (p *prober) dead(hops []ferrypath.Hop, at []int) []int {
	probes := make([]*probe, len(at))
	for k, i := range at {
		probes[k] = p.ask(hops[i].Upstream.Address)
	}
	var dead []int
	for k, i := range at {
		<-probes[k].done
		if !probes[k].alive {
			dead = append(dead, i)
		}
	}
	if len(dead) == len(at) && !p.otherAnswers(hops, at) {
		return nil
	}
	return dead
}

// otherAnswers reports whether the first engine of the path that is not among the given ones answers.
func (p *prober) otherAnswers(hops []ferrypath.Hop, but []int) bool {
	for i := range hops {
		if !slices.Contains(but, i) {
			pr := p.ask(hops[i].Upstream.Address)
			<-pr.done
			return pr.alive
		}
	}
	return false
}

// ask returns a recent probe of the address, or begins one.
func (p *prober) ask(address string) *probe {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.clock.Now()
	if pr := p.probes[address]; pr != nil && pr.recent(now) {
		return pr
	}
	if len(p.probes) >= maxProbes {
		clear(p.probes)
	}
	pr := &probe{done: make(chan struct{}), at: now}
	p.probes[address] = pr
	go func() {
		defer close(pr.done)
		pr.alive = p.answers(address)
	}()
	return pr
}

// answers tries an address a few times, and once for longer if this machine turns out to be slow.
func (p *prober) answers(address string) bool {
	if !p.slow() {
		for _, d := range probeTimes {
			if p.try(address, d) {
				return true
			}
		}
	}
	return p.slow() && p.try(address, slowProbeTime)
}

// try opens a connection and notes whether this machine was late to see that it did not come.
func (p *prober) try(address string, most time.Duration) bool {
	began := p.clock.Now()
	ctx, cancel := clockwork.WithTimeout(context.Background(), p.clock, most)
	defer cancel()
	err := p.client.Probe(ctx, address)
	if now := p.clock.Now(); now.Sub(began) > most+lateBy {
		p.mu.Lock()
		p.slowUntil = now.Add(slowFor)
		p.mu.Unlock()
	}
	return err == nil
}

// recent reports whether the probe is under way or its result can still be used.
func (pr *probe) recent(now time.Time) bool {
	select {
	case <-pr.done:
	default:
		return true
	}
	if pr.alive {
		return now.Sub(pr.at) < aliveAge
	}
	return now.Sub(pr.at) < deadAge
}
