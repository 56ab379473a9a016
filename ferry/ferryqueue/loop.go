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

func (loop *admissionLoop) now() time.Time {
	return loop.admission.clock.Now()
}

func (loop *admissionLoop) handle(m message) {
	switch m := m.(type) {
	case acquire:
		loop.enqueue(m)
	case cancel:
		loop.cancel(m)
	case finish:
		loop.finish(m)
	case progress:
		loop.queue.Progress(m.id, m.tokens, loop.now())
	case requeue:
		loop.requeue(m)
	case setCapacity:
		loop.capacity = m.n
		loop.queue.SetCapacity(m.n)
	case setDocument:
		loop.configure(m.document)
	}
}

func (loop *admissionLoop) enqueue(m acquire) {
	if m.item.Predicted <= 0 {
		m.item.Predicted = loop.predictor.Predict(m.item.Customer, m.item.Prompt, m.item.MaxTokens)
	}
	if r := loop.queue.Enqueue(m.item, loop.now()); r != nil {
		m.reply <- acquireResult{problem: r.Problem()}
		return
	}
	loop.waiters[m.item.ID] = waiter{reply: m.reply, preempt: m.preempt, customer: m.item.Customer, prompt: m.item.Prompt}
}

func (loop *admissionLoop) cancel(m cancel) {
	if loop.waiters[m.id].reply != m.reply {
		return
	}
	loop.queue.Cancel(m.id)
	delete(loop.waiters, m.id)
}

func (loop *admissionLoop) finish(m finish) {
	if !loop.queue.Done(m.id, m.tokens, loop.now()) {
		return
	}
	w := loop.waiters[m.id]
	loop.predictor.Learn(w.customer, w.prompt, m.tokens)
	delete(loop.waiters, m.id)
}

func (loop *admissionLoop) requeue(m requeue) {
	w, ok := loop.waiters[m.id]
	if !ok || !loop.queue.Requeue(m.id, loop.now()) {
		m.reply <- acquireResult{problem: ferryoutcome.New(ferryoutcome.KindInternal, ferryoutcome.Ran, "the call is not running here")}
		return
	}
	w.reply = m.reply
	loop.waiters[m.id] = w
}

func (loop *admissionLoop) configure(d *ferryservice.Document) {
	cfg := ConfigOf(d)
	if loop.capacity >= 0 {
		cfg.Capacity = loop.capacity
	}
	loop.queue.SetConfig(cfg, loop.now())
}

func (loop *admissionLoop) tick() {
	now := loop.now()
	loop.queue.Expire(now)
	id, ok := loop.queue.Preempt(now)
	if !ok {
		return
	}
	select {
	case loop.waiters[id].preempt <- struct{}{}:
	default:
	}
}

// goIdle reports whether no call waits or runs, so that ticks can stop; it then publishes a last time.
func (loop *admissionLoop) goIdle() bool {
	loop.idle = len(loop.waiters) == 0
	if loop.idle {
		loop.publish()
	}
	return loop.idle
}

// resumeTicks reports whether ticks were stopped and are needed again.
func (loop *admissionLoop) resumeTicks() bool {
	if !loop.idle || len(loop.waiters) == 0 {
		return false
	}
	loop.idle = false
	return true
}

// startAndRefuse grants the items that may start and refuses those that the queue dropped.
func (loop *admissionLoop) startAndRefuse() {
	now := loop.now()
	for {
		it, ok := loop.queue.Next(now, loop.queue.FreeSlots())
		if !ok {
			break
		}
		loop.waiters[it.ID].reply <- acquireResult{class: it.Class, predicted: it.Predicted}
	}
	for _, r := range loop.queue.Dropped() {
		loop.waiters[r.Item.ID].reply <- acquireResult{problem: r.Problem()}
		delete(loop.waiters, r.Item.ID)
	}
}

func (loop *admissionLoop) refuseAll() {
	for id, w := range loop.waiters {
		if e, ok := loop.queue.items[id]; ok && !e.running {
			w.reply <- acquireResult{problem: draining()}
		}
	}
}

func (loop *admissionLoop) publishIfDue() {
	if loop.now().Sub(loop.published) >= publishInterval {
		loop.publish()
	}
}

func (loop *admissionLoop) publish() {
	loop.published = loop.now()
	refusedTokens := loop.admission.refusedTokens.Swap(0)
	loop.admission.view.Store(loop.queue.view(loop.published, ferryid.Tokens(refusedTokens)))
}
