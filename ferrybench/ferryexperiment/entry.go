package ferryexperiment

import (
	"time"

	"cactusferry.dev/ferry/ferryid"
	"cactusferry.dev/ferry/ferryqueue"
	"cactusferry.dev/ferry/ferryroute"
	"cactusferry.dev/ferry/ferryservice"
	"cactusferry.dev/ferrybench/ferryworkload"
)

// retryBurstShare is the initial retry budget of an entry as a share of its slots.
const retryBurstShare = 0.25

// minRetryShare is the minimum retry budget as a share of first tries; it applies if the workload sets less
// or none.
const minRetryShare = 0.1

// maxPreemptsPerTick is the maximum number of running calls that one tick preempts.
const maxPreemptsPerTick = 4

// entry is one entry instance: the queue, routing table, predictor and retry budget of ferryd, and its open
// calls.
type entry struct {
	index     int
	alive     bool
	queue     *ferryqueue.Queue
	table     *ferryroute.Table
	predictor *ferryqueue.Predictor
	budget    *ferryroute.RetryBudget
	rand      ferryroute.Rand
	calls     map[ferryid.RequestID]*call
	waiting   []*call
}

func newEntry(s *simulation, index int) *entry {
	d := s.document()
	e := &entry{
		index:     index,
		alive:     true,
		table:     ferryroute.NewTable(s.workload.Route),
		predictor: ferryqueue.NewPredictor(),
		rand:      ferryroute.Rand(s.workload.Seed + uint64(index)),
		calls:     map[ferryid.RequestID]*call{},
	}
	e.table.SetDocument(d)
	e.table.SetShare(index, s.workload.Entries)
	cfg := ferryqueue.ConfigOf(d)
	cfg.Seed = s.workload.Seed + uint64(index)
	cfg.Length = max(1, cfg.Length/s.workload.Entries)
	e.queue = ferryqueue.New(cfg)
	e.budget = ferryroute.NewRetryBudget(max(s.workload.Retry.Share, minRetryShare), retryBurstShare*float64(cfg.Capacity)/float64(s.workload.Entries))
	e.setCapacity()
	return e
}

// setCapacity sets the queue's capacity to the entry's share of the slots that are available now.
func (e *entry) setCapacity() {
	e.queue.SetCapacity(e.table.Snapshot().Slots())
}

// predict returns the expected length of a call by the prediction method of the workload.
func (e *entry) predict(w *ferryworkload.Workload, c *call) ferryid.Tokens {
	switch w.Prediction {
	case ferryworkload.PredictExact:
		return c.Arrival.Tokens
	case ferryworkload.PredictNone:
		return 1
	}
	return e.predictor.Predict(c.Arrival.Customer, c.Arrival.Prompt, c.Arrival.Kind.MaxTokens)
}

func (e *entry) submit(s *simulation, c *call) {
	c.entry, c.Submitted = e, s.now
	c.attempts++
	if c.predicted == 0 {
		c.predicted = e.predict(s.workload, c)
	}
	if r := e.queue.Enqueue(e.item(s, c), s.time()); r != nil {
		s.onRefusal(c, r)
		return
	}
	if c.attempts == 1 {
		e.budget.AddFirstTry()
	}
	e.calls[c.id] = c
	e.dispatchReady(s)
}

func (e *entry) item(s *simulation, c *call) ferryqueue.Item {
	it := ferryqueue.Item{
		ID:        c.id,
		Customer:  c.Arrival.Customer,
		Predicted: max(1, c.predicted-ferryid.Tokens(c.produced)),
		Arrived:   s.time(),
		Resumed:   c.produced > 0,
	}
	if d := c.deadline(); d > 0 {
		it.Deadline = startTime.Add(d)
	}
	return it
}

// dispatchReady drops expired calls and sends every call that the queue admits.
func (e *entry) dispatchReady(s *simulation) {
	for {
		it, ok := e.queue.Next(s.time(), e.queue.FreeSlots())
		for _, r := range e.queue.Dropped() {
			c := e.calls[r.Item.ID]
			delete(e.calls, r.Item.ID)
			s.onRefusal(c, &r)
		}
		if !ok {
			return
		}
		c := e.calls[it.ID]
		if !c.Started {
			c.Started, c.Admitted = true, s.now
		}
		c.class = it.Class
		e.send(s, c)
	}
}

// send tries units until one accepts the call. A retry is safe because nothing ran if the connection was
// refused.
func (e *entry) send(s *simulation, c *call) {
	w := &ferryroute.Work{Predicted: ferryid.Tokens(c.remaining()), Prefix: c.Arrival.Prefix}
	for {
		snap := e.table.Snapshot()
		i := ferryroute.Choose(snap, w, &e.rand)
		if i < 0 {
			e.queue.Cancel(c.id)
			delete(e.calls, c.id)
			s.finish(c, Failed)
			return
		}
		name := snap.At(i).Name
		c.dispatch = e.table.Start(name, w.Predicted, s.time())
		u := s.units[i]
		if u.alive {
			s.begin(u, c, s.priority(c.class))
			return
		}
		c.dispatch.Fail(ferryroute.FailureConnection, s.time())
		w.Avoid = append(w.Avoid, name)
	}
}

func (s *simulation) priority(class ferryid.ClassName) int {
	if s.policy.Queue == ferryservice.QueueFifo {
		return 0
	}
	for _, c := range s.workload.Classes {
		if c.Name == class {
			return c.Priority
		}
	}
	return 0
}

// tick runs the periodic work of ferryd: table and capacity updates, expiry, preemption and admission.
func (e *entry) tick(s *simulation) {
	now := s.time()
	e.table.Tick(now)
	e.setCapacity()
	e.queue.Expire(now)
	for range maxPreemptsPerTick {
		id, ok := e.queue.Preempt(now)
		if !ok {
			break
		}
		e.preempt(s, e.calls[id])
	}
	e.dispatchReady(s)
	e.admitWaiting(s)
}

func (e *entry) preempt(s *simulation, c *call) {
	s.detach(c)
	c.dispatch.Cancel(s.time())
	e.queue.Requeue(c.id, s.time())
	c.resumes++
	e.dispatchReady(s)
}

// admitWaiting moves refused calls from the waiting list to the queue until the queue refuses one.
func (e *entry) admitWaiting(s *simulation) {
	for len(e.waiting) > 0 {
		c := e.waiting[0]
		if d := c.deadline(); d > 0 && s.now > d {
			e.waiting = e.waiting[1:]
			s.finish(c, Refused)
			continue
		}
		c.entry, c.Submitted = e, s.now
		if e.queue.Enqueue(e.item(s, c), s.time()) != nil {
			return
		}
		e.waiting = e.waiting[1:]
		e.calls[c.id] = c
		e.dispatchReady(s)
	}
}

// progress reports the tokens that a running call has produced to the routing table and the queue.
func (e *entry) progress(s *simulation, c *call) {
	n := ferryid.Tokens(c.produced)
	c.dispatch.Progress(n, s.time())
	e.queue.Progress(c.id, n, s.time())
}

func (e *entry) onDone(s *simulation, c *call) {
	delete(e.calls, c.id)
	c.dispatch.Finish(c.Arrival.Tokens, s.time())
	e.queue.Done(c.id, c.Arrival.Tokens, s.time())
	e.predictor.Learn(c.Arrival.Customer, c.Arrival.Prompt, c.Arrival.Tokens)
	e.dispatchReady(s)
}

// onUnitFailure handles the failure of the unit of a call. Repeatable calls are requeued and resume after
// their last token if mayRetry allows it; others fail.
func (e *entry) onUnitFailure(s *simulation, c *call) {
	c.dispatch.Fail(ferryroute.FailureConnection, s.time())
	e.setCapacity()
	if !c.Arrival.Kind.Repeatable || !e.mayRetry(c) {
		delete(e.calls, c.id)
		e.queue.Cancel(c.id)
		s.finish(c, Failed)
		return
	}
	c.resumes++
	e.queue.Requeue(c.id, s.time())
}

// mayRetry reports whether a call may be retried. Streams that have begun may always resume; other calls use
// the retry budget.
func (e *entry) mayRetry(c *call) bool {
	return c.produced > 0 || e.budget.Retry()
}

// deliver passes a delayed report of the units' loads to the routing table.
func (e *entry) deliver(s *simulation, d deliver) {
	for i, l := range d.loads {
		r := ferryroute.Report{
			Upstream:          s.units[i].spec.Name,
			OutstandingTokens: l.tokens,
			RunningStreams:    float64(l.streams),
			At:                startTime.Add(d.at),
		}
		if err := e.table.Report(r, s.time()); err != nil {
			s.result.RefusedReports++
		}
	}
}

var startTime = time.Date(2026, 12, 4, 5, 0, 0, 0, time.UTC)
