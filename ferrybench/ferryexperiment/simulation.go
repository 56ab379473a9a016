package ferryexperiment

import (
	"container/heap"
	"fmt"
	"time"

	"cactusferry.dev/ferry/ferryid"
	"cactusferry.dev/ferry/ferryqueue"
	"cactusferry.dev/ferry/ferryservice"
	"cactusferry.dev/ferrybench/ferryworkload"
)

const (
	tickInterval   = 100 * time.Millisecond
	sampleInterval = time.Second
	// maxOverrun is the time after the end of the workload at which periodic events stop, so that a run with
	// calls that never end terminates.
	maxOverrun = 15 * time.Minute
	// failoverDelay is the time until callers detect the loss of their entry and fail over to another.
	failoverDelay = 500 * time.Millisecond
)

// Policy is a queueing and routing policy under comparison.
type Policy struct {
	Name        string                   `json:"Name"`
	Queue       ferryservice.QueuePolicy `json:"Queue"`
	Route       ferryservice.RoutePolicy `json:"Route"`
	WaitingList bool                     `json:"WaitingList"`
	ExcessShare float64                  `json:"ExcessShare,omitempty"`
	// Admission is admission by rank, which only runs of package ferryshortage use.
	Admission bool `json:"Admission,omitempty"`
}

// The two policies of every comparison.
var (
	Baseline = Policy{Name: "baseline", Queue: ferryservice.QueueFifo, Route: ferryservice.RouteRandom}
	Present  = Policy{Name: "now", Queue: ferryservice.QueueFair, Route: ferryservice.RouteLeast, Admission: true}
)

// simulation is the state of one run: entries, simulated units and pending events.
type simulation struct {
	workload  *ferryworkload.Workload
	policy    Policy
	units     []*unit
	entries   []*entry
	events    eventHeap
	seq       int
	now       time.Duration
	openCalls int
	result    *Result
}

// Run simulates the arrivals under the policy and returns when all calls have ended or no event is left.
func Run(w *ferryworkload.Workload, arrivals []ferryworkload.Arrival, p Policy) *Result {
	s := &simulation{workload: w, policy: p, result: NewResult(w, p)}
	for i, u := range w.UnitList() {
		s.units = append(s.units, &unit{spec: u, index: i, alive: true, factor: 1})
	}
	for i := range w.Entries {
		s.entries = append(s.entries, newEntry(s, i))
	}
	s.schedule(arrivals)
	for len(s.events) > 0 {
		e := heap.Pop(&s.events).(event)
		s.now = e.at
		s.handle(e.do)
	}
	s.close()
	return s.result
}

func (s *simulation) schedule(arrivals []ferryworkload.Arrival) {
	s.openCalls = len(arrivals)
	for i := range arrivals {
		c := &call{Sample: Sample{Arrival: &arrivals[i]}, id: ferryid.RequestID(fmt.Sprintf("%08d", i))}
		c.entry = s.entries[(i*7919)%len(s.entries)]
		s.after(arrivals[i].At, submit{call: c})
		s.result.Offer(c.Arrival)
	}
	for i := range s.workload.Faults {
		s.after(time.Duration(s.workload.Faults[i].At), fault{index: i})
	}
	s.after(tickInterval, tick{})
	s.after(sampleInterval, sample{})
	if s.workload.Reports.Every > 0 {
		s.after(time.Duration(s.workload.Reports.Every), gather{})
	}
}

func (s *simulation) handle(a action) {
	switch a := a.(type) {
	case submit:
		s.liveEntry(a.call.entry).submit(s, a.call)
	case wake:
		s.onMilestone(a)
	case tick:
		for _, e := range s.entries {
			if e.alive {
				e.tick(s)
			}
		}
		s.repeat(tickInterval, a)
	case sample:
		s.sample()
		s.repeat(sampleInterval, a)
	case gather:
		s.gather()
		s.repeat(time.Duration(s.workload.Reports.Every), a)
	case deliver:
		for _, e := range s.entries {
			if e.alive {
				e.deliver(s, a)
			}
		}
	case redistribute:
		s.redistribute()
	case fault:
		s.fault(s.workload.Faults[a.index])
	}
}

// repeat repeats an action until the last call has ended or maxOverrun has passed.
func (s *simulation) repeat(d time.Duration, a action) {
	if s.openCalls > 0 && s.now < time.Duration(s.workload.Duration)+maxOverrun {
		s.after(d, a)
	}
}

func (s *simulation) time() time.Time {
	return startTime.Add(s.now)
}

// liveEntry returns the entry, or the next one that is alive.
func (s *simulation) liveEntry(e *entry) *entry {
	for range s.entries {
		if e.alive {
			return e
		}
		e = s.entries[(e.index+1)%len(s.entries)]
	}
	return e
}

func (s *simulation) gather() {
	d := deliver{at: s.now}
	for _, u := range s.units {
		tokens, streams := u.outstanding()
		d.loads = append(d.loads, unitLoad{tokens: tokens, streams: streams})
	}
	s.after(time.Duration(s.workload.Reports.Delay), d)
}

// begin starts a call on a unit or queues it there.
func (s *simulation) begin(u *unit, c *call, priority int) {
	u.advance(s.now)
	c.job = &job{call: c, unit: u, priority: priority, heapIndex: -1}
	u.add(c.job)
	s.scheduleWake(u)
}

// detach removes a call from its unit. The call keeps the tokens produced up to its last milestone.
func (s *simulation) detach(c *call) {
	u := c.job.unit
	u.advance(s.now)
	u.remove(c.job)
	c.job = nil
	s.scheduleWake(u)
}

func (s *simulation) scheduleWake(u *unit) {
	u.version++
	if len(u.jobs) > 0 {
		s.after(u.nextMilestone(s.now)-s.now, wake{unit: u, version: u.version})
	}
}

// onMilestone handles the due job of a unit: the prefill is complete, or another step of tokens was produced.
func (s *simulation) onMilestone(w wake) {
	u := w.unit
	if w.version != u.version {
		return
	}
	u.advance(s.now)
	j := u.jobs[0]
	c := j.call
	s.result.Serve(s.now, j.step)
	c.Serve(s.now, j.step)
	if j.prefill {
		j.prefill = false
		if c.First == 0 {
			c.First = s.now
		}
	} else {
		c.produced += j.step
	}
	left := float64(c.Arrival.Tokens) - c.produced
	if left <= 0 {
		s.detach(c)
		c.entry.onDone(s, c)
		s.finish(c, s.inTime(c))
		return
	}
	j.step = min(progressStep, left)
	j.next = u.served + j.step
	heap.Fix(&u.jobs, j.heapIndex)
	s.scheduleWake(u)
	c.entry.progress(s, c)
}

func (s *simulation) inTime(c *call) Outcome {
	if d := c.deadline(); d > 0 && s.now > d {
		return Late
	}
	return InTime
}

func (s *simulation) finish(c *call, o Outcome) {
	c.Outcome, c.End = o, s.now
	s.openCalls--
	s.result.Resumes += c.resumes
	c.Unloaded = s.unloaded(c)
	s.result.Record(&c.Sample)
	c.workBySecond = nil
}

// onRefusal handles a refusal: the call is put on the waiting list, retried after Retry-After within the
// caller's patience, or ended.
func (s *simulation) onRefusal(c *call, r *ferryqueue.Refusal) {
	s.result.Refuse(c.Arrival, s.now-c.Submitted)
	if s.policy.WaitingList && c.deadline() > s.now {
		c.entry.waiting = append(c.entry.waiting, c)
		return
	}
	retryAt := s.now + r.RetryAfter
	if c.attempts <= s.workload.Retry.Attempts && retryAt < c.Arrival.At+time.Duration(s.workload.Retry.Patience) {
		s.after(r.RetryAfter, submit{call: c})
		return
	}
	if c.deadline() > 0 && s.now >= c.deadline() {
		s.finish(c, Expired)
		return
	}
	s.finish(c, Refused)
}

func (s *simulation) fault(f ferryworkload.Fault) {
	for i := f.First; i < f.First+f.Count; i++ {
		// Freezes and drains are simulated as immediate losses.
		switch f.Kind {
		case ferryworkload.FaultKill, ferryworkload.FaultFreeze:
			s.killUnit(s.units[i])
		case ferryworkload.FaultSlow:
			s.setFactor(s.units[i], f.Factor)
		case ferryworkload.FaultHeal:
			s.units[i].alive = true
			s.setFactor(s.units[i], 1)
		case ferryworkload.FaultKillEntry, ferryworkload.FaultDrainEntry:
			s.killEntry(s.entries[i])
		}
	}
}

func (s *simulation) setFactor(u *unit, f float64) {
	u.advance(s.now)
	u.factor = f
	s.scheduleWake(u)
}

func (s *simulation) killUnit(u *unit) {
	u.advance(s.now)
	u.alive = false
	jobs := append(append([]*job{}, u.jobs...), u.queue...)
	u.jobs, u.queue, u.prefixes = nil, nil, nil
	u.version++
	for _, j := range jobs {
		j.call.job = nil
		j.call.entry.onUnitFailure(s, j.call)
	}
	for _, e := range s.entries {
		if e.alive {
			e.dispatchReady(s)
		}
	}
}

// killEntry removes an entry. Its callers fail over to another entry, and repeatable streams resume after
// their last token. Other calls that have produced tokens fail.
func (s *simulation) killEntry(e *entry) {
	e.alive = false
	ids := sortedIDs(e.calls)
	for _, id := range ids {
		c := e.calls[id]
		if c.job != nil {
			s.detach(c)
			c.resumes++
		}
		if c.produced == 0 || c.Arrival.Kind.Repeatable {
			s.after(failoverDelay, submit{call: c})
			continue
		}
		s.finish(c, Failed)
	}
	for _, c := range e.waiting {
		s.after(failoverDelay, submit{call: c})
	}
	e.calls, e.waiting = map[ferryid.RequestID]*call{}, nil
	s.after(failoverDelay, redistribute{})
}

// redistribute distributes the slots of a lost entry over the live entries.
func (s *simulation) redistribute() {
	var left []*entry
	for _, e := range s.entries {
		if e.alive {
			left = append(left, e)
		}
	}
	for i, e := range left {
		e.table.SetShare(i, len(left))
	}
}
