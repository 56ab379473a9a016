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
	askLimit           ferrypeer.AskKind = 4
	limitTimeout                         = time.Second
	limitSweepInterval                   = time.Minute
)

// limits enforces the customers' rate limits across all entries.
type limits struct {
	mu      sync.Mutex
	rates   map[ferrylimit.Key]ferrylimit.Units
	shares  *ferrylimit.Shares
	counter *ferrylimit.Counter
	// demand is signalled by each call of a customer with a limit; it wakes awaitDemand.
	demand chan struct{}
}

func newLimits() *limits {
	l := &limits{rates: map[ferrylimit.Key]ferrylimit.Units{}, demand: make(chan struct{}, 1)}
	l.shares = ferrylimit.NewShares(l.rate)
	l.counter = ferrylimit.NewCounter(l.rate)
	return l
}

// rate returns a customer's limit in calls per second; the caller holds l.mu.
func (l *limits) rate(k ferrylimit.Key) ferrylimit.Units {
	return l.rates[k]
}

// setDocument replaces the limits of the document's service.
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

// allow charges a call to the customer's limit. If the limit is exhausted it returns false and the time to wait.
func (n *Node) allow(d *ferryservice.Document, cu ferryservice.Customer, cost float64) (time.Duration, bool) {
	if cu.RequestsPerSecond == 0 {
		return 0, true
	}
	n.limits.mu.Lock()
	defer n.limits.mu.Unlock()
	k := ferrylimit.Key{Service: d.Service, Customer: cu.Name}
	ok, after := n.limits.shares.Allow(k, ferrylimit.Units(cost), n.clock.Now())
	select {
	case n.limits.demand <- struct{}{}:
	default:
	}
	return after, ok
}

// awaitDemand blocks while there are no shares to request or to return.
func (l *limits) awaitDemand(ctx context.Context) {
	for ctx.Err() == nil {
		l.mu.Lock()
		idle := l.shares.Idle()
		l.mu.Unlock()
		if !idle {
			return
		}
		select {
		case <-ctx.Done():
		case <-l.demand:
		}
	}
}

// updateLimits waits for demand and requests shares of the limits from the counting entries.
func (n *Node) updateLimits(ctx context.Context) {
	n.limits.awaitDemand(ctx)
	live := n.liveIncarnations()
	n.limits.mu.Lock()
	asks := n.limits.shares.Asks(n.clock.Now())
	n.limits.shares.AddEvenShares(max(1, len(live)), n.clock.Now())
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
		go n.requestLimits(ctx, id, as)
	}
}

func (n *Node) requestLimits(ctx context.Context, id ferryid.Incarnation, asks []ferrylimit.Ask) {
	ctx, cancel := context.WithTimeout(ctx, limitTimeout)
	defer cancel()
	var grants []ferrylimit.Grant
	if id == n.self {
		grants = n.grantLimits(asks)
	} else if err := (peerClient{n}).askPeer(ctx, id, askLimit, asks, &grants); err != nil {
		n.log.Debug().Err(err).Msg("request for shares of customers' limits failed")
		return
	}
	n.limits.mu.Lock()
	defer n.limits.mu.Unlock()
	for _, g := range grants {
		n.limits.shares.Granted(g)
	}
}

func (n *Node) grantLimits(asks []ferrylimit.Ask) []ferrylimit.Grant {
	n.limits.mu.Lock()
	defer n.limits.mu.Unlock()
	return n.limits.counter.Answer(asks, n.clock.Now())
}

// answerLimits grants shares of the limits that this entry counts.
func (n *Node) answerLimits(_ context.Context, _ ferrypeer.Member, body []byte) ([]byte, error) {
	var asks []ferrylimit.Ask
	if err := cbor.Unmarshal(body, &asks); err != nil {
		return nil, merry.Prepend(err, "asks for limits")
	}
	return encode(n.grantLimits(asks)), nil
}

// sweepLimits removes the state of idle customers.
func (n *Node) sweepLimits(context.Context) {
	n.limits.mu.Lock()
	defer n.limits.mu.Unlock()
	n.limits.counter.PurgeIdle(n.clock.Now())
	n.limits.shares.PurgeIdle(n.clock.Now())
}
