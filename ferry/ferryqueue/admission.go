package ferryqueue

import (
	"context"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"

	"cactusferry.dev/ferry/ferryid"
	"cactusferry.dev/ferry/ferryoutcome"
	"cactusferry.dev/ferry/ferryservice"
)

const (
	// inboxSize is the number of buffered messages; when full, new calls are refused and other messages block.
	inboxSize = 4096
	// tickInterval is how often the loop checks deadlines and preemption and publishes its view
	// without a message.
	tickInterval = 100 * time.Millisecond
	// publishInterval is how often the view is published under load.
	publishInterval = 10 * time.Millisecond
	// maxViewAge is the age beyond which a view is too old to refuse calls by it.
	maxViewAge = 2 * tickInterval
)

// Admission runs the queue of one service in a single goroutine; its methods may be called from
// any goroutine.
type Admission struct {
	clock         clockwork.Clock
	inbox         chan message
	ended         chan struct{}
	view          atomic.Pointer[view]
	refused       atomic.Uint64
	refusedTokens atomic.Int64
}

// NewAdmission returns an Admission; it admits nothing until Run is called.
func NewAdmission(clock clockwork.Clock) *Admission {
	a := &Admission{clock: clock, inbox: make(chan message, inboxSize), ended: make(chan struct{})}
	a.view.Store(&view{})
	return a
}

// Run runs the queue until the context ends, then refuses the calls that still wait as NotRun.
func (a *Admission) Run(ctx context.Context, cfg Config) {
	loop := newAdmissionLoop(a, cfg)
	tick := a.clock.NewTicker(tickInterval)
	defer tick.Stop()
	defer close(a.ended)
	loop.publish()
	for {
		select {
		case <-ctx.Done():
			loop.refuseAll()
			return
		case <-tick.Chan():
			loop.tick()
			if loop.goIdle() {
				tick.Stop()
			}
		case m := <-a.inbox:
			loop.handle(m)
			if loop.resumeTicks() {
				tick.Reset(tickInterval)
			}
		}
		loop.startAndRefuse()
		loop.publishIfDue()
	}
}

// Acquire waits until the item may run; its error is a *ferryoutcome.Problem with the outcome NotRun.
func (a *Admission) Acquire(ctx context.Context, it Item) (*Grant, error) {
	if it.Arrived.IsZero() {
		it.Arrived = a.clock.Now()
	}
	if p := a.refuseByView(&it); p != nil {
		return nil, p
	}
	m := acquire{item: it, reply: make(chan acquireResult, 1), preempt: make(chan struct{}, 1)}
	select {
	case a.inbox <- m:
	case <-a.ended:
		return nil, draining()
	default:
		a.refused.Add(1)
		return nil, ferryoutcome.New(ferryoutcome.KindOverloaded, ferryoutcome.NotRun, "this entry has too many calls to look at").WithRetryAfter(withJitter(time.Second))
	}
	return a.wait(ctx, m.item.ID, m.reply, m.preempt)
}

// SetCapacity sets how many calls may run at once on this entry.
func (a *Admission) SetCapacity(n int) {
	a.post(setCapacity{n: n})
}

// SetDocument applies the configuration of a service document.
func (a *Admission) SetDocument(d *ferryservice.Document) {
	a.post(setDocument{document: d})
}

// Snapshot returns the state last published. While Run runs and any call waits or runs,
// the state is at most a tenth of a second old.
func (a *Admission) Snapshot() Snapshot {
	s := a.view.Load().snapshot
	s.RefusedEarly = a.refused.Load()
	return s
}

// refuseByView refuses by the published view, without a message to the loop.
func (a *Admission) refuseByView(it *Item) *ferryoutcome.Problem {
	v := a.view.Load()
	retry, full := v.refuses(it, a.clock.Now())
	if !full {
		return nil
	}
	a.refused.Add(1)
	a.refusedTokens.Add(int64(max(1, it.Predicted)))
	return ferryoutcome.New(ferryoutcome.KindOverloaded, ferryoutcome.NotRun, "the service has more work than it can do in time").WithRetryAfter(withJitter(retry))
}

func (a *Admission) wait(ctx context.Context, id ferryid.RequestID, reply chan acquireResult, preempt chan struct{}) (*Grant, error) {
	select {
	case ans := <-reply:
		return a.newGrant(id, ans, preempt)
	case <-ctx.Done():
		a.post(cancel{id: id, reply: reply})
		return nil, ferryoutcome.New(ferryoutcome.KindTimeout, ferryoutcome.NotRun, "the caller went away or its time ran out while the call waited").WithCause(ctx.Err())
	case <-a.ended:
	}
	select {
	case ans := <-reply:
		return a.newGrant(id, ans, preempt)
	default:
		return nil, draining()
	}
}

func (a *Admission) newGrant(id ferryid.RequestID, ans acquireResult, preempt chan struct{}) (*Grant, error) {
	if ans.problem != nil {
		return nil, ans.problem
	}
	return &Grant{Class: ans.class, Predicted: ans.predicted, admission: a, id: id, preempt: preempt}, nil
}

// post delivers a message that must not be dropped; it blocks unless the loop has ended.
func (a *Admission) post(m message) {
	select {
	case a.inbox <- m:
	case <-a.ended:
	}
}

func draining() *ferryoutcome.Problem {
	return ferryoutcome.New(ferryoutcome.KindDraining, ferryoutcome.NotRun, "this entry is stopping")
}

func withJitter(d time.Duration) time.Duration {
	return time.Duration(float64(d) * (1 + retryJitter*(rand.Float64()-0.5)))
}

// Grant is the permission to run one call; Done must be called at its end.
type Grant struct {
	Class     ferryid.ClassName
	Predicted ferryid.Tokens
	admission *Admission
	id        ferryid.RequestID
	preempt   chan struct{}
	done      atomic.Bool
}

// Done releases the slot and reports how many tokens the call produced; further calls do nothing.
func (g *Grant) Done(n ferryid.Tokens) {
	if g.done.CompareAndSwap(false, true) {
		g.admission.post(finish{id: g.id, tokens: n})
	}
}

// Progress reports how many tokens the call has produced so far; the report is dropped while the
// loop is busy.
func (g *Grant) Progress(n ferryid.Tokens) {
	select {
	case g.admission.inbox <- progress{id: g.id, tokens: n}:
	default:
	}
}

// Preempted returns a channel that receives when the call should be cancelled upstream and resumed later.
func (g *Grant) Preempted() <-chan struct{} {
	return g.preempt
}

// Resume releases the slot after a preemption and waits for another; the tokens produced so far are kept.
func (g *Grant) Resume(ctx context.Context) error {
	reply := make(chan acquireResult, 1)
	g.admission.post(requeue{id: g.id, reply: reply})
	_, err := g.admission.wait(ctx, g.id, reply, g.preempt)
	if err != nil {
		g.done.Store(true)
	}
	return err
}
