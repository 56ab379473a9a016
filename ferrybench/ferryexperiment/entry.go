package ferryexperiment

import (
	"time"

	"cactusferry.dev/ferry/ferryid"
	"cactusferry.dev/ferry/ferryqueue"
	"cactusferry.dev/ferry/ferryroute"
	"cactusferry.dev/ferry/ferryservice"
	"cactusferry.dev/ferrybench/ferryworkload"
)

// retryBurstShare is how many retries an entry may make before any first try, as a share of its slots.
const retryBurstShare = 0.25

// minRetryShare is the share of first tries that may be retried where the workload states none.
const minRetryShare = 0.1

// maxPreemptsPerTick bounds how many running calls one tick takes off.
const maxPreemptsPerTick = 4

// entry is one entry instance: the cores that the daemon runs, and the calls that are with it.
type entry struct {
	index     int
	alive     bool
	queue     *ferryqueue.Queue
	table     *ferryroute.Table
	predictor *ferryqueue.Predictor
	budget    *ferryroute.Budget
	rand      ferryroute.Rand
	calls     map[ferryid.RequestID]*call
	list      []*call
}

func newEntry(s *simulation, index int) *entry {
	d := s.document()
	e := &entry{
		index:     index,
		alive:     true,
		table:     ferryroute.NewTable(s.w.Route),
		predictor: ferryqueue.NewPredictor(),
		rand:      ferryroute.Rand(s.w.Seed + uint64(index)),
		calls:     map[ferryid.RequestID]*call{},
	}
	e.table.SetDocument(d)
	e.table.SetShare(index, s.w.Entries)
	cfg := ferryqueue.ConfigOf(d)
	cfg.Seed = s.w.Seed + uint64(index)
	cfg.Length = max(1, cfg.Length/s.w.Entries)
	e.queue = ferryqueue.New(cfg)
	e.budget = ferryroute.NewBudget(max(s.w.Retry.Share, minRetryShare), retryBurstShare*float64(cfg.Capacity)/float64(s.w.Entries))
	e.setCapacity()
	return e
}

// setCapacity gives the entry its part of the slots that can be used now.
func (e *entry) setCapacity() {
	e.queue.SetCapacity(e.table.Snapshot().Slots())
}

// predict fills in the expected length in the way the workload asks for.
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
		c.predicted = e.predict(s.w, c)
	}
	if r := e.queue.Enqueue(e.item(s, c), s.time()); r != nil {
		s.refused(c, r)
		return
	}
	if c.attempts == 1 {
		e.budget.FirstTry()
	}
	e.calls[c.id] = c
	e.pump(s)
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
		it.Deadline = epoch.Add(d)
	}
	return it
}

// pump starts what may start.
func (e *entry) pump(s *simulation) {
	for {
		it, ok := e.queue.Next(s.time(), e.queue.Free())
		for _, r := range e.queue.Dropped() {
			c := e.calls[r.Item.ID]
			delete(e.calls, r.Item.ID)
			s.refused(c, &r)
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

// send tries units until one takes the call; a connection that is refused means that nothing ran.
func (e *entry) send(s *simulation, c *call) {
	w := &ferryroute.Work{Predicted: ferryid.Tokens(c.left()), Prefix: c.Arrival.Prefix}
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
	for _, c := range s.w.Classes {
		if c.Name == class {
			return c.Priority
		}
	}
	return 0
}

// tick is what the shells of the cores do without a message.
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
	e.pump(s)
	e.admitListed(s)
}

func (e *entry) preempt(s *simulation, c *call) {
	s.takeOff(c)
	c.dispatch.Cancel(s.time())
	e.queue.Requeue(c.id, s.time())
	c.resumes++
	e.pump(s)
}

// admitListed moves refused calls from the waiting list into the queue as long as it takes them.
func (e *entry) admitListed(s *simulation) {
	for len(e.list) > 0 {
		c := e.list[0]
		if d := c.deadline(); d > 0 && s.now > d {
			e.list = e.list[1:]
			s.finish(c, Refused)
			continue
		}
		c.entry, c.Submitted = e, s.now
		if e.queue.Enqueue(e.item(s, c), s.time()) != nil {
			return
		}
		e.list = e.list[1:]
		e.calls[c.id] = c
		e.pump(s)
	}
}

// progress tells both cores what a running call has produced.
func (e *entry) progress(s *simulation, c *call) {
	n := ferryid.Tokens(c.produced)
	c.dispatch.Progress(n, s.time())
	e.queue.Progress(c.id, n, s.time())
}

func (e *entry) done(s *simulation, c *call) {
	delete(e.calls, c.id)
	c.dispatch.Finish(c.Arrival.Tokens, s.time())
	e.queue.Done(c.id, c.Arrival.Tokens, s.time())
	e.predictor.Learn(c.Arrival.Customer, c.Arrival.Prompt, c.Arrival.Tokens)
	e.pump(s)
}

// broken is a unit that died under a call: what may be repeated waits for another slot and goes on from where it was.
func (e *entry) broken(s *simulation, c *call) {
	c.dispatch.Fail(ferryroute.FailureConnection, s.time())
	e.setCapacity()
	if !c.Arrival.Kind.Repeatable || !e.budgeted(c) {
		delete(e.calls, c.id)
		e.queue.Cancel(c.id)
		s.finish(c, Failed)
		return
	}
	c.resumes++
	e.queue.Requeue(c.id, s.time())
}

// budgeted lets streams that had begun resume always; other work is repeated within the budget.
func (e *entry) budgeted(c *call) bool {
	return c.produced > 0 || e.budget.Retry()
}

// deliver takes a late report of the units' loads.
func (e *entry) deliver(s *simulation, d deliver) {
	for i, l := range d.loads {
		r := ferryroute.Report{
			Upstream:          s.units[i].spec.Name,
			OutstandingTokens: l.tokens,
			RunningStreams:    float64(l.streams),
			At:                epoch.Add(d.at),
		}
		if err := e.table.Report(r, s.time()); err != nil {
			s.result.RefusedReports++
		}
	}
}

var epoch = time.Date(2026, 12, 4, 5, 0, 0, 0, time.UTC)
