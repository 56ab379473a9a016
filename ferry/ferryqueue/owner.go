package ferryqueue

import (
	"time"

	"cactusferry.dev/ferry/ferryid"
	"cactusferry.dev/ferry/ferryoutcome"
	"cactusferry.dev/ferry/ferryservice"
)

// message is what callers post to the owner of a queue.
type message interface{ isMessage() }

type acquire struct {
	item    Item
	reply   chan answer
	preempt chan struct{}
}

// cancel names the caller too, so that a refused duplicate can't cancel the call whose id it repeats.
type cancel struct {
	id    ferryid.RequestID
	reply chan answer
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
	reply chan answer
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

// answer is what the owner replies to a waiting call.
type answer struct {
	class     ferryid.ClassName
	predicted ferryid.Tokens
	problem   *ferryoutcome.Problem
}

// caller is the waiting side of one item.
type caller struct {
	reply    chan answer
	preempt  chan struct{}
	customer ferryid.CustomerName
	prompt   ferryid.Tokens
}

// owner is the state of the goroutine that owns one queue.
type owner struct {
	admission *Admission
	queue     *Queue
	predictor *Predictor
	callers   map[ferryid.RequestID]caller
	capacity  int
	published time.Time
	resting   bool
}

func newOwner(a *Admission, cfg Config) *owner {
	return &owner{admission: a, queue: New(cfg), predictor: NewPredictor(), callers: map[ferryid.RequestID]caller{}, capacity: -1}
}

func (o *owner) now() time.Time {
	return o.admission.clock.Now()
}

func (o *owner) handle(m message) {
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

func (o *owner) enqueue(m acquire) {
	if m.item.Predicted <= 0 {
		m.item.Predicted = o.predictor.Predict(m.item.Customer, m.item.Prompt, m.item.MaxTokens)
	}
	if r := o.queue.Enqueue(m.item, o.now()); r != nil {
		m.reply <- answer{problem: r.Problem()}
		return
	}
	o.callers[m.item.ID] = caller{reply: m.reply, preempt: m.preempt, customer: m.item.Customer, prompt: m.item.Prompt}
}

func (o *owner) cancel(m cancel) {
	if o.callers[m.id].reply != m.reply {
		return
	}
	o.queue.Cancel(m.id)
	delete(o.callers, m.id)
}

func (o *owner) finish(m finish) {
	if !o.queue.Done(m.id, m.tokens, o.now()) {
		return
	}
	c := o.callers[m.id]
	o.predictor.Learn(c.customer, c.prompt, m.tokens)
	delete(o.callers, m.id)
}

func (o *owner) requeue(m requeue) {
	c, ok := o.callers[m.id]
	if !ok || !o.queue.Requeue(m.id, o.now()) {
		m.reply <- answer{problem: ferryoutcome.New(ferryoutcome.KindInternal, ferryoutcome.Ran, "the call is not running here")}
		return
	}
	c.reply = m.reply
	o.callers[m.id] = c
}

func (o *owner) configure(d *ferryservice.Document) {
	cfg := ConfigOf(d)
	if o.capacity >= 0 {
		cfg.Capacity = o.capacity
	}
	o.queue.SetConfig(cfg, o.now())
}

func (o *owner) tick() {
	now := o.now()
	o.queue.Expire(now)
	id, ok := o.queue.Preempt(now)
	if !ok {
		return
	}
	select {
	case o.callers[id].preempt <- struct{}{}:
	default:
	}
}

// rest reports whether nothing needs the next tick; the state is published once more then.
func (o *owner) rest() bool {
	o.resting = len(o.callers) == 0
	if o.resting {
		o.publish()
	}
	return o.resting
}

// wake reports whether ticks are needed again.
func (o *owner) wake() bool {
	if !o.resting || len(o.callers) == 0 {
		return false
	}
	o.resting = false
	return true
}

// start grants what may run and answers what was dropped.
func (o *owner) start() {
	now := o.now()
	for {
		it, ok := o.queue.Next(now, o.queue.Free())
		if !ok {
			break
		}
		o.callers[it.ID].reply <- answer{class: it.Class, predicted: it.Predicted}
	}
	for _, r := range o.queue.Dropped() {
		o.callers[r.Item.ID].reply <- answer{problem: r.Problem()}
		delete(o.callers, r.Item.ID)
	}
}

func (o *owner) refuseAll() {
	for id, c := range o.callers {
		if e, ok := o.queue.entries[id]; ok && !e.running {
			c.reply <- answer{problem: stopped()}
		}
	}
}

func (o *owner) publishIfDue() {
	if o.now().Sub(o.published) >= publishEvery {
		o.publish()
	}
}

func (o *owner) publish() {
	o.published = o.now()
	missed := o.admission.missed.Swap(0)
	o.admission.view.Store(o.queue.view(o.published, ferryid.Tokens(missed)))
}
