package ferryforward

import (
	"context"
	"sync"
	"time"

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

// prober tells whether engines still answer; many streams that suspect the same one share a probe.
type prober struct {
	client *ferryexchange.Client
	mu     sync.Mutex
	probes map[string]*probe
}

// probe is one question to an address; done is closed when it is answered.
type probe struct {
	done  chan struct{}
	at    time.Time
	alive bool
}

func newProber(c *ferryexchange.Client) *prober {
	return &prober{client: c, probes: map[string]*probe{}}
}

// dead returns which of the hops at the given indices have engines that do not answer. If nothing answers, the trouble is probably
// this entry's own, and it returns none.
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
	if len(dead) == len(hops) {
		return nil
	}
	return dead
}

// ask returns a recent probe of the address, or begins one.
func (p *prober) ask(address string) *probe {
	p.mu.Lock()
	defer p.mu.Unlock()
	if pr := p.probes[address]; pr != nil && pr.recent() {
		return pr
	}
	if len(p.probes) >= maxProbes {
		clear(p.probes)
	}
	pr := &probe{done: make(chan struct{}), at: time.Now()}
	p.probes[address] = pr
	go func() {
		defer close(pr.done)
		for _, d := range probeTimes {
			ctx, cancel := context.WithTimeout(context.Background(), d)
			err := p.client.Probe(ctx, address)
			cancel()
			if pr.alive = err == nil; pr.alive {
				return
			}
		}
	}()
	return pr
}

// recent reports whether the probe is under way or its result can still be used.
func (pr *probe) recent() bool {
	select {
	case <-pr.done:
	default:
		return true
	}
	if pr.alive {
		return time.Since(pr.at) < aliveAge
	}
	return time.Since(pr.at) < deadAge
}
