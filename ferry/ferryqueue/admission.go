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
	// inboxSize bounds the messages to the owner; a call that finds it full is refused, all else waits for room.
	inboxSize = 4096
	// tickEvery is how often deadlines, preemption and the published view are looked at without a message.
	tickEvery = 100 * time.Millisecond
	// publishEvery is how often the view is renewed under load.
	publishEvery = 10 * time.Millisecond
	// viewLifetime is how old a view may be to refuse by it.
	viewLifetime = 2 * tickEvery
)

// Admission is the duty that owns the queue of one service; its methods may be called from any goroutine.
type Admission struct {
	clock  clockwork.Clock
	inbox  chan message
	ended  chan struct{}
	view   atomic.Pointer[view]
	turned atomic.Uint64
	missed atomic.Int64
}

// NewAdmission returns the duty; nothing is admitted until Run is called.
func NewAdmission(clock clockwork.Clock) *Admission {
	a := &Admission{clock: clock, inbox: make(chan message, inboxSize), ended: make(chan struct{})}
	a.view.Store(&view{})
	return a
}

// Run owns the queue until the context ends; calls that still wait are then refused as NotRun.
func (a *Admission) Run(ctx context.Context, cfg Config) {
	o := newOwner(a, cfg)
	tick := a.clock.NewTicker(tickEvery)
	defer tick.Stop()
	defer close(a.ended)
	o.publish()
	for {
		select {
		case <-ctx.Done():
			o.refuseAll()
			return
		case <-tick.Chan():
			o.tick()
			if o.rest() {
				tick.Stop()
			}
		case m := <-a.inbox:
			o.handle(m)
			if o.wake() {
				tick.Reset(tickEvery)
			}
		}
		o.start()
		o.publishIfDue()
	}
}

// Acquire waits until the item may run; the error is a *ferryoutcome.Problem with the outcome NotRun.
func (a *Admission) Acquire(ctx context.Context, it Item) (*Grant, error) {
	if it.Arrived.IsZero() {
		it.Arrived = a.clock.Now()
	}
	if p := a.turnAway(&it); p != nil {
		return nil, p
	}
	m := acquire{item: it, reply: make(chan answer, 1), preempt: make(chan struct{}, 1)}
	select {
	case a.inbox <- m:
	case <-a.ended:
		return nil, stopped()
	default:
		a.turned.Add(1)
		return nil, ferryoutcome.New(ferryoutcome.KindOverloaded, ferryoutcome.NotRun, "this entry has too many calls to look at").After(jittered(time.Second))
	}
	return a.wait(ctx, m.item.ID, m.reply, m.preempt)
}

// SetCapacity sets how many calls may run at once on this entry.
func (a *Admission) SetCapacity(n int) {
	a.post(setCapacity{n: n})
}

// SetDocument puts a service document in force.
func (a *Admission) SetDocument(d *ferryservice.Document) {
	a.post(setDocument{document: d})
}

// Snapshot returns the state that was last published, at most a tenth of a second old while Run runs and any call waits or runs.
func (a *Admission) Snapshot() Snapshot {
	s := a.view.Load().snapshot
	s.TurnedAway = a.turned.Load()
	return s
}

// turnAway refuses by the published view, without a message to the owner.
func (a *Admission) turnAway(it *Item) *ferryoutcome.Problem {
	v := a.view.Load()
	retry, full := v.refuses(it, a.clock.Now())
	if !full {
		return nil
	}
	a.turned.Add(1)
	a.missed.Add(int64(max(1, it.Predicted)))
	return ferryoutcome.New(ferryoutcome.KindOverloaded, ferryoutcome.NotRun, "the service has more work than it can do in time").After(jittered(retry))
}

func (a *Admission) wait(ctx context.Context, id ferryid.RequestID, reply chan answer, preempt chan struct{}) (*Grant, error) {
	select {
	case ans := <-reply:
		return a.granted(id, ans, preempt)
	case <-ctx.Done():
		a.post(cancel{id: id, reply: reply})
		return nil, ferryoutcome.New(ferryoutcome.KindTimeout, ferryoutcome.NotRun, "the caller went away or its time ran out while the call waited").Because(ctx.Err())
	case <-a.ended:
	}
	select {
	case ans := <-reply:
		return a.granted(id, ans, preempt)
	default:
		return nil, stopped()
	}
}

func (a *Admission) granted(id ferryid.RequestID, ans answer, preempt chan struct{}) (*Grant, error) {
	if ans.problem != nil {
		return nil, ans.problem
	}
	return &Grant{Class: ans.class, Predicted: ans.predicted, admission: a, id: id, preempt: preempt}, nil
}

// post delivers a message that must not be lost, and gives up only when the owner has ended.
func (a *Admission) post(m message) {
	select {
	case a.inbox <- m:
	case <-a.ended:
	}
}

func stopped() *ferryoutcome.Problem {
	return ferryoutcome.New(ferryoutcome.KindDraining, ferryoutcome.NotRun, "this entry is stopping")
}

func jittered(d time.Duration) time.Duration {
	return time.Duration(float64(d) * (1 + retryJitter*(rand.Float64()-0.5)))
}

// Grant is the right to run one call; Done must be called once.
type Grant struct {
	Class     ferryid.ClassName
	Predicted ferryid.Tokens
	admission *Admission
	id        ferryid.RequestID
	preempt   chan struct{}
	done      atomic.Bool
}

// Done gives the slot back and tells how many tokens the call produced; later calls do nothing.
func (g *Grant) Done(n ferryid.Tokens) {
	if g.done.CompareAndSwap(false, true) {
		g.admission.post(finish{id: g.id, tokens: n})
	}
}

// Progress tells how many tokens the call has produced so far; it is left out while the owner is busy.
func (g *Grant) Progress(n ferryid.Tokens) {
	select {
	case g.admission.inbox <- progress{id: g.id, tokens: n}:
	default:
	}
}

// Preempted receives when the call should be cancelled at its upstream and resumed later.
func (g *Grant) Preempted() <-chan struct{} {
	return g.preempt
}

// Resume gives the slot back after a preemption and waits for another; the work done so far counts.
func (g *Grant) Resume(ctx context.Context) error {
	reply := make(chan answer, 1)
	g.admission.post(requeue{id: g.id, reply: reply})
	_, err := g.admission.wait(ctx, g.id, reply, g.preempt)
	if err != nil {
		g.done.Store(true)
	}
	return err
}
