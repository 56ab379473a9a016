package ferryqueue

import (
	"time"

	"cactusferry.dev/ferry/ferryid"
	"cactusferry.dev/ferry/ferryoutcome"
	"cactusferry.dev/ferry/ferryservice"
)

// message is a message to the admission loop.
type message interface{ isMessage() }

type acquire struct {
	item    Item
	reply   chan acquireResult
	preempt chan struct{}
}

// cancel includes the reply channel, so that a refused duplicate can't cancel the call whose id it repeats.
type cancel struct {
	id    ferryid.RequestID
	reply chan acquireResult
}

type finish struct {
	id     ferryid.RequestID
	tokens ferryid.Tokens
}

type progress struct {
	id     ferryid.RequestID
	tokens ferryid.Tokens
}

type requeue struct {
	id    ferryid.RequestID
	reply chan acquireResult
}

type setCapacity struct{ n int }

type setDocument struct{ document *ferryservice.Document }

func (acquire) isMessage()     {}
func (cancel) isMessage()      {}
func (finish) isMessage()      {}
func (progress) isMessage()    {}
func (requeue) isMessage()     {}
func (setCapacity) isMessage() {}
func (setDocument) isMessage() {}

// acquireResult is the loop's reply to a waiting call.
type acquireResult struct {
	class     ferryid.ClassName
	predicted ferryid.Tokens
	problem   *ferryoutcome.Problem
}

// waiter is the caller's side of one item.
type waiter struct {
	reply    chan acquireResult
	preempt  chan struct{}
	customer ferryid.CustomerName
	prompt   ferryid.Tokens
}

// admissionLoop is the state of the goroutine that runs one queue.
type admissionLoop struct {
	admission *Admission
	queue     *Queue
	predictor *Predictor
	waiters   map[ferryid.RequestID]waiter
	capacity  int
	published time.Time
	idle      bool
}

func newAdmissionLoop(a *Admission, cfg Config) *admissionLoop {
	return &admissionLoop{admission: a, queue: New(cfg), predictor: NewPredictor(), waiters: map[ferryid.RequestID]waiter{}, capacity: -1}
}

func (o *admissionLoop) now() time.Time {
	return o.admission.clock.Now()
}

func (o *admissionLoop) handle(m message) {
	switch m := m.(type) {
	case acquire:
		o.enqueue(m)
	case cancel:
		o.cancel(m)
	case finish:
		o.finish(m)
	case progress:
		o.queue.Progress(m.id, m.tokens, o.now())
	case requeue:
		o.requeue(m)
	case setCapacity:
		o.capacity = m.n
		o.queue.SetCapacity(m.n)
	case setDocument:
		o.configure(m.document)
	}
}

func (o *admissionLoop) enqueue(m acquire) {
	if m.item.Predicted <= 0 {
		m.item.Predicted = o.predictor.Predict(m.item.Customer, m.item.Prompt, m.item.MaxTokens)
	}
	if r := o.queue.Enqueue(m.item, o.now()); r != nil {
		m.reply <- acquireResult{problem: r.Problem()}
		return
	}
	o.waiters[m.item.ID] = waiter{reply: m.reply, preempt: m.preempt, customer: m.item.Customer, prompt: m.item.Prompt}
}

func (o *admissionLoop) cancel(m cancel) {
	if o.waiters[m.id].reply != m.reply {
		return
	}
	o.queue.Cancel(m.id)
	delete(o.waiters, m.id)
}

func (o *admissionLoop) finish(m finish) {
	if !o.queue.Done(m.id, m.tokens, o.now()) {
		return
	}
	c := o.waiters[m.id]
	o.predictor.Learn(c.customer, c.prompt, m.tokens)
	delete(o.waiters, m.id)
}

func (o *admissionLoop) requeue(m requeue) {
	c, ok := o.waiters[m.id]
	if !ok || !o.queue.Requeue(m.id, o.now()) {
		m.reply <- acquireResult{problem: ferryoutcome.New(ferryoutcome.KindInternal, ferryoutcome.Ran, "the call is not running here")}
		return
	}
	c.reply = m.reply
	o.waiters[m.id] = c
}

func (o *admissionLoop) configure(d *ferryservice.Document) {
	cfg := ConfigOf(d)
	if o.capacity >= 0 {
		cfg.Capacity = o.capacity
	}
	o.queue.SetConfig(cfg, o.now())
}

func (o *admissionLoop) tick() {
	now := o.now()
	o.queue.Expire(now)
	id, ok := o.queue.Preempt(now)
	if !ok {
		return
	}
	select {
	case o.waiters[id].preempt <- struct{}{}:
	default:
	}
}

// goIdle reports whether no call waits or runs, so that ticks can stop; it then publishes a last time.
func (o *admissionLoop) goIdle() bool {
	o.idle = len(o.waiters) == 0
	if o.idle {
		o.publish()
	}
	return o.idle
}

// resumeTicks reports whether ticks were stopped and are needed again.
func (o *admissionLoop) resumeTicks() bool {
	if !o.idle || len(o.waiters) == 0 {
		return false
	}
	o.idle = false
	return true
}

// startAndRefuse grants the items that may start and refuses those that the queue dropped.
func (o *admissionLoop) startAndRefuse() {
	now := o.now()
	for {
		it, ok := o.queue.Next(now, o.queue.Free())
		if !ok {
			break
		}
		o.waiters[it.ID].reply <- acquireResult{class: it.Class, predicted: it.Predicted}
	}
	for _, r := range o.queue.Dropped() {
		o.waiters[r.Item.ID].reply <- acquireResult{problem: r.Problem()}
		delete(o.waiters, r.Item.ID)
	}
}

func (o *admissionLoop) refuseAll() {
	for id, c := range o.waiters {
		if e, ok := o.queue.entries[id]; ok && !e.running {
			c.reply <- acquireResult{problem: draining()}
		}
	}
}

func (o *admissionLoop) publishIfDue() {
	if o.now().Sub(o.published) >= publishInterval {
		o.publish()
	}
}

func (o *admissionLoop) publish() {
	o.published = o.now()
	refusedTokens := o.admission.refusedTokens.Swap(0)
	o.admission.view.Store(o.queue.view(o.published, ferryid.Tokens(refusedTokens)))
}
