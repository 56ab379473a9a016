package ferrynode

import (
	"context"
	"sync"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/fxamacker/cbor/v2"

	"cactusferry.dev/ferry/ferrydocument"
	"cactusferry.dev/ferry/ferryid"
	"cactusferry.dev/ferry/ferrylimit"
	"cactusferry.dev/ferry/ferrypeer"
	"cactusferry.dev/ferry/ferryservice"
)

const (
	askLimit     ferrypeer.AskKind = 4
	limitTimeout                   = time.Second
	limitSweep                     = time.Minute
)

// limits holds customers' limits over all entries.
type limits struct {
	mu      sync.Mutex
	rates   map[ferrylimit.Key]ferrylimit.Units
	shares  *ferrylimit.Shares
	counter *ferrylimit.Counter
	used    chan struct{}
}

func newLimits() *limits {
	l := &limits{rates: map[ferrylimit.Key]ferrylimit.Units{}, used: make(chan struct{}, 1)}
	l.shares = ferrylimit.NewShares(l.rate)
	l.counter = ferrylimit.NewCounter(l.rate)
	return l
}

// rate is a customer's limit in calls a second; the caller holds the lock.
func (l *limits) rate(k ferrylimit.Key) ferrylimit.Units {
	return l.rates[k]
}

// setDocument takes a document's limits.
func (l *limits) setDocument(f *ferrydocument.InForce) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for k := range l.rates {
		if k.Service == f.Document.Service {
			delete(l.rates, k)
		}
	}
	for _, cu := range f.Document.Customers {
		if cu.RequestsPerSecond > 0 {
			k := ferrylimit.Key{Service: f.Document.Service, Customer: cu.Name}
			l.rates[k] = ferrylimit.Units(cu.RequestsPerSecond)
		}
	}
}

// allow takes calls from a customer's limit, and says when to come back if there is none left.
func (n *Node) allow(d *ferryservice.Document, cu ferryservice.Customer, cost float64) (time.Duration, bool) {
	if cu.RequestsPerSecond == 0 {
		return 0, true
	}
	n.limits.mu.Lock()
	defer n.limits.mu.Unlock()
	k := ferrylimit.Key{Service: d.Service, Customer: cu.Name}
	ok, after := n.limits.shares.Allow(k, ferrylimit.Units(cost), n.clock.Now())
	select {
	case n.limits.used <- struct{}{}:
	default:
	}
	return after, ok
}

// awaitUse waits while there is nothing to ask for or to give back.
func (l *limits) awaitUse(ctx context.Context) {
	for ctx.Err() == nil {
		l.mu.Lock()
		quiet := l.shares.Quiet()
		l.mu.Unlock()
		if !quiet {
			return
		}
		select {
		case <-ctx.Done():
		case <-l.used:
		}
	}
}

// shareLimits asks the counting entries for what the customers want here, as soon as there is something to ask.
func (n *Node) shareLimits(ctx context.Context) {
	n.limits.awaitUse(ctx)
	live := n.liveIncarnations()
	n.limits.mu.Lock()
	asks := n.limits.shares.Asks(n.clock.Now())
	n.limits.shares.Unanswered(max(1, len(live)), n.clock.Now())
	n.limits.mu.Unlock()
	byCounter := map[ferryid.Incarnation][]ferrylimit.Ask{}
	for _, a := range asks {
		id := n.self
		if len(live) > 0 {
			id = ferrylimit.CounterOf(a.Key, live)
		}
		byCounter[id] = append(byCounter[id], a)
	}
	for id, as := range byCounter {
		go n.askLimits(ctx, id, as)
	}
}

func (n *Node) askLimits(ctx context.Context, id ferryid.Incarnation, asks []ferrylimit.Ask) {
	ctx, cancel := context.WithTimeout(ctx, limitTimeout)
	defer cancel()
	var grants []ferrylimit.Grant
	if id == n.self {
		grants = n.countLimits(asks)
	} else if err := (claimPeers{n}).askPeer(ctx, id, askLimit, asks, &grants); err != nil {
		n.log.Debug().Err(err).Msg("customers' limits")
		return
	}
	n.limits.mu.Lock()
	defer n.limits.mu.Unlock()
	for _, g := range grants {
		n.limits.shares.Granted(g)
	}
}

func (n *Node) countLimits(asks []ferrylimit.Ask) []ferrylimit.Grant {
	n.limits.mu.Lock()
	defer n.limits.mu.Unlock()
	return n.limits.counter.Answer(asks, n.clock.Now())
}

// answerLimits grants what the customers that this entry counts for have left.
func (n *Node) answerLimits(_ context.Context, _ ferrypeer.Member, body []byte) ([]byte, error) {
	var asks []ferrylimit.Ask
	if err := cbor.Unmarshal(body, &asks); err != nil {
		return nil, merry.Prepend(err, "asks for limits")
	}
	return encode(n.countLimits(asks)), nil
}

// sweepLimits forgets customers that have been idle.
func (n *Node) sweepLimits(context.Context) {
	n.limits.mu.Lock()
	defer n.limits.mu.Unlock()
	n.limits.counter.Sweep(n.clock.Now())
	n.limits.shares.Sweep(n.clock.Now())
}
