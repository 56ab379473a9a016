package ferryexperiment

import (
	"slices"
	"time"

	"cactusferry.dev/ferry/ferryid"
	"cactusferry.dev/ferry/ferryroute"
	"cactusferry.dev/ferrybench/ferryworkload"
)

// Outcome is how a call ended for its caller.
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

// Sample is one call that has ended; times are from the start of the run, First is zero without any token.
type Sample struct {
	Arrival   *ferryworkload.Arrival
	Outcome   Outcome
	Started   bool
	Submitted time.Duration
	Admitted  time.Duration
	First     time.Duration
	End       time.Duration
	Unloaded  time.Duration
	pieces    []piece
}

// piece is the work that a call got in one second.
type piece struct {
	second int32
	work   float32
}

// Serve notes work that the call got, to count as in time if it ends so.
func (x *Sample) Serve(now time.Duration, work float64) {
	sec := int32(now / time.Second)
	if n := len(x.pieces); n > 0 && x.pieces[n-1].second == sec {
		x.pieces[n-1].work += float32(work)
		return
	}
	x.pieces = append(x.pieces, piece{second: sec, work: float32(work)})
}

// unloaded is how long the call takes alone on the mean runner.
func (s *simulation) unloaded(c *call) time.Duration {
	sum := 0.0
	for _, u := range s.units {
		sum += u.spec.StreamRate
	}
	return time.Duration(c.Arrival.Work() / (sum / float64(len(s.units))) * float64(time.Second))
}

// sample keeps the state of all runners and queues once a second.
func (s *simulation) sample() {
	x := s.result.second(s.now - 1)
	for _, e := range s.entries {
		x.Waiting += e.queue.Waiting()
		s.noteSlow(e)
	}
	for _, u := range s.units {
		n, _ := u.outstanding()
		x.Outstanding = append(x.Outstanding, n)
		if u.alive {
			x.Bound += u.factor * min(u.spec.Rate, float64(u.spec.Slots)*u.spec.StreamRate)
		}
	}
}

// noteSlow keeps when each upstream was first taken out for slowness by any entry.
func (s *simulation) noteSlow(e *entry) {
	for _, c := range e.table.Snapshot().All() {
		if _, ok := s.result.SlowFound[string(c.Name)]; !ok && c.State == ferryroute.StateSlow {
			s.result.SlowFound[string(c.Name)] = s.now
		}
	}
}

// close adds up what the entries' queues counted.
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
