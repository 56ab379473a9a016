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
	tickEvery   = 100 * time.Millisecond
	sampleEvery = time.Second
	// maxOvertime is how long after the last arrival a run is given up.
	maxOvertime = 15 * time.Minute
	// noticeEntryLoss is how long callers take to see that their entry is gone and go to another.
	noticeEntryLoss = 500 * time.Millisecond
)

// Policy is what an experiment compares.
type Policy struct {
	Name        string                   `json:"Name"`
	Queue       ferryservice.QueuePolicy `json:"Queue"`
	Route       ferryservice.RoutePolicy `json:"Route"`
	WaitingList bool                     `json:"WaitingList"`
	ExcessShare float64                  `json:"ExcessShare,omitempty"`
}

// The two policies of every comparison.
var (
	Baseline = Policy{Name: "baseline", Queue: ferryservice.QueueFifo, Route: ferryservice.RouteRandom}
	Now      = Policy{Name: "now", Queue: ferryservice.QueueFair, Route: ferryservice.RouteLeast}
)

// simulation is one run: arrivals, the cores, and fake runners.
type simulation struct {
	w       *ferryworkload.Workload
	policy  Policy
	units   []*unit
	entries []*entry
	events  eventHeap
	seq     int
	now     time.Duration
	open    int
	result  *Result
}

// Run plays the arrivals with the policy until all calls have ended.
func Run(w *ferryworkload.Workload, arrivals []ferryworkload.Arrival, p Policy) *Result {
	s := &simulation{w: w, policy: p, result: NewResult(w, p)}
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
	s.open = len(arrivals)
	for i := range arrivals {
		c := &call{Sample: Sample{Arrival: &arrivals[i]}, id: ferryid.RequestID(fmt.Sprintf("%08d", i))}
		c.entry = s.entries[(i*7919)%len(s.entries)]
		s.after(arrivals[i].At, submit{call: c})
		s.result.Offer(c.Arrival)
	}
	for i := range s.w.Faults {
		s.after(time.Duration(s.w.Faults[i].At), fault{index: i})
	}
	s.after(tickEvery, tick{})
	s.after(sampleEvery, sample{})
	if s.w.Reports.Every > 0 {
		s.after(time.Duration(s.w.Reports.Every), gather{})
	}
}

func (s *simulation) handle(a action) {
	switch a := a.(type) {
	case submit:
		s.live(a.call.entry).submit(s, a.call)
	case wake:
		s.milestone(a)
	case tick:
		for _, e := range s.entries {
			if e.alive {
				e.tick(s)
			}
		}
		s.again(tickEvery, a)
	case sample:
		s.sample()
		s.again(sampleEvery, a)
	case gather:
		s.gather()
		s.again(time.Duration(s.w.Reports.Every), a)
	case deliver:
		for _, e := range s.entries {
			if e.alive {
				e.deliver(s, a)
			}
		}
	case reshare:
		s.reshare()
	case fault:
		s.fault(s.w.Faults[a.index])
	}
}

// again repeats an action until the last call has ended or the run is given up.
func (s *simulation) again(d time.Duration, a action) {
	if s.open > 0 && s.now < time.Duration(s.w.Duration)+maxOvertime {
		s.after(d, a)
	}
}

func (s *simulation) time() time.Time {
	return epoch.Add(s.now)
}

// live is the entry, or the next one that is alive.
func (s *simulation) live(e *entry) *entry {
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
	s.after(time.Duration(s.w.Reports.Delay), d)
}

// begin puts a call on a unit.
func (s *simulation) begin(u *unit, c *call, priority int) {
	u.advance(s.now)
	c.job = &job{call: c, unit: u, priority: priority, at: -1}
	u.add(c.job)
	s.rewake(u)
}

// takeOff takes a call off its unit; what it has produced since the last look is kept by its caller.
func (s *simulation) takeOff(c *call) {
	u := c.job.unit
	u.advance(s.now)
	u.remove(c.job)
	c.job = nil
	s.rewake(u)
}

func (s *simulation) rewake(u *unit) {
	u.version++
	if len(u.jobs) > 0 {
		s.after(u.due(s.now)-s.now, wake{unit: u, version: u.version})
	}
}

// milestone handles the job of a unit that is due: its prompt is read, or it has produced more.
func (s *simulation) milestone(w wake) {
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
		s.takeOff(c)
		c.entry.done(s, c)
		s.finish(c, s.inTime(c))
		return
	}
	j.step = min(progressStep, left)
	j.next = u.served + j.step
	heap.Fix(&u.jobs, j.at)
	s.rewake(u)
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
	s.open--
	s.result.Resumes += c.resumes
	c.Unloaded = s.unloaded(c)
	s.result.Record(&c.Sample)
	c.pieces = nil
}

// refused sends a call's caller away, to come back when it was told to if it still cares.
func (s *simulation) refused(c *call, r *ferryqueue.Refusal) {
	s.result.Refuse(c.Arrival, s.now-c.Submitted)
	if s.policy.WaitingList && c.deadline() > s.now {
		c.entry.list = append(c.entry.list, c)
		return
	}
	back := s.now + r.RetryAfter
	if c.attempts <= s.w.Retry.Attempts && back < c.Arrival.At+time.Duration(s.w.Retry.Patience) {
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
		// On the virtual clock what is frozen or drained is gone at once.
		switch f.Kind {
		case ferryworkload.FaultKill, ferryworkload.FaultFreeze:
			s.kill(s.units[i])
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
	s.rewake(u)
}

func (s *simulation) kill(u *unit) {
	u.advance(s.now)
	u.alive = false
	jobs := append(append([]*job{}, u.jobs...), u.queue...)
	u.jobs, u.queue, u.prefixes = nil, nil, nil
	u.version++
	for _, j := range jobs {
		j.call.job = nil
		j.call.entry.broken(s, j.call)
	}
	for _, e := range s.entries {
		if e.alive {
			e.pump(s)
		}
	}
}

// killEntry loses an entry: its callers come to another one, and streams resume from what they have.
func (s *simulation) killEntry(e *entry) {
	e.alive = false
	ids := sortedIDs(e.calls)
	for _, id := range ids {
		c := e.calls[id]
		if c.job != nil {
			s.takeOff(c)
			c.resumes++
		}
		if c.produced == 0 || c.Arrival.Kind.Repeatable {
			s.after(noticeEntryLoss, submit{call: c})
			continue
		}
		s.finish(c, Failed)
	}
	for _, c := range e.list {
		s.after(noticeEntryLoss, submit{call: c})
	}
	e.calls, e.list = map[ferryid.RequestID]*call{}, nil
	s.after(noticeEntryLoss, reshare{})
}

// reshare gives the slots of a lost entry to those that are left.
func (s *simulation) reshare() {
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
