package ferryexperiment

import (
	"time"

	"cactusferry.dev/ferry/ferryid"
	"cactusferry.dev/ferry/ferryroute"
	"cactusferry.dev/ferrybench/ferryworkload"
)

// outcome is how a call ended for its caller.
type outcome int

const (
	outcomeOpen outcome = iota
	outcomeInTime
	outcomeLate
	outcomeRefused
	outcomeExpired
	outcomeFailed
)

// call is one arrival on its way.
type call struct {
	arrival   *ferryworkload.Arrival
	id        ferryid.RequestID
	entry     *entry
	job       *job
	dispatch  *ferryroute.Dispatch
	predicted ferryid.Tokens
	class     ferryid.ClassName
	attempts  int
	submitted time.Duration
	queued    bool
	started   bool
	admitted  time.Duration
	first     time.Duration
	hasFirst  bool
	produced  float64
	resumes   int
	outcome   outcome
	trace     []piece
}

// piece is the work that a call got in one second.
type piece struct {
	second int32
	work   float32
}

// serve notes work that the call got.
func (c *call) serve(now time.Duration, work float64) {
	sec := int32(now / time.Second)
	if n := len(c.trace); n > 0 && c.trace[n-1].second == sec {
		c.trace[n-1].work += float32(work)
		return
	}
	c.trace = append(c.trace, piece{second: sec, work: float32(work)})
}

func (c *call) left() float64 {
	return max(1, float64(c.predicted)-c.produced)
}

func (c *call) deadline() time.Duration {
	if c.arrival.Kind.Deadline == 0 {
		return 0
	}
	return c.arrival.At + time.Duration(c.arrival.Kind.Deadline)
}
