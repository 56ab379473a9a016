package ferryexperiment

import (
	"slices"
	"time"

	"cactusferry.dev/ferry/ferryid"
	"cactusferry.dev/ferry/ferryroute"
	"cactusferry.dev/ferrybench/ferryworkload"
)

// Outcome is the result of a call from the view of its caller.
type Outcome int

// The outcomes of calls.
const (
	Open Outcome = iota
	InTime
	Late
	Refused
	Expired
	Failed
)

// Sample is the record of one call. Times are relative to the start of the run; First is zero if no token
// arrived.
type Sample struct {
	Arrival      *ferryworkload.Arrival
	Outcome      Outcome
	Started      bool
	Submitted    time.Duration
	Admitted     time.Duration
	First        time.Duration
	End          time.Duration
	Unloaded     time.Duration
	workBySecond []secondWork
}

// secondWork is the work of a call that was served in one second.
type secondWork struct {
	second int32
	work   float32
}

// Serve records work served for the call, which is counted as in time if the call meets its deadline.
func (x *Sample) Serve(now time.Duration, work float64) {
	sec := int32(now / time.Second)
	if n := len(x.workBySecond); n > 0 && x.workBySecond[n-1].second == sec {
		x.workBySecond[n-1].work += float32(work)
		return
	}
	x.workBySecond = append(x.workBySecond, secondWork{second: sec, work: float32(work)})
}

// unloaded returns the duration of the call on an otherwise idle runner of mean speed.
func (s *simulation) unloaded(c *call) time.Duration {
	sum := 0.0
	for _, u := range s.units {
		sum += u.spec.StreamRate
	}
	return time.Duration(c.Arrival.Work() / (sum / float64(len(s.units))) * float64(time.Second))
}

// sample records the state of all units and queues; it runs once per second.
func (s *simulation) sample() {
	x := s.result.second(s.now - 1)
	for _, e := range s.entries {
		x.Waiting += e.queue.Waiting()
		s.recordSlow(e)
	}
	for _, u := range s.units {
		n, _ := u.outstanding()
		x.Outstanding = append(x.Outstanding, n)
		if u.alive {
			x.Bound += u.factor * min(u.spec.Rate, float64(u.spec.Slots)*u.spec.StreamRate)
		}
	}
}

// recordSlow records when any entry first excluded each upstream as slow.
func (s *simulation) recordSlow(e *entry) {
	for _, c := range e.table.Snapshot().All() {
		if _, ok := s.result.SlowFound[string(c.Name)]; !ok && c.State == ferryroute.StateSlow {
			s.result.SlowFound[string(c.Name)] = s.now
		}
	}
}

// close computes the quantiles and sums the queue counters of all entries.
func (s *simulation) close() {
	s.result.Close()
	sum := &s.result.Queue
	for _, e := range s.entries {
		n := e.queue.Counts()
		sum.Enqueued += n.Enqueued
		sum.Started += n.Started
		sum.Finished += n.Finished
		sum.Refused += n.Refused
		sum.Evicted += n.Evicted
		sum.Expired += n.Expired
		sum.Reclassified += n.Reclassified
		sum.Requeued += n.Requeued
		sum.Served += n.Served
		sum.Repeated += n.Repeated
	}
}

func sortedIDs(m map[ferryid.RequestID]*call) []ferryid.RequestID {
	ids := make([]ferryid.RequestID, 0, len(m))
	for id := range m {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}
