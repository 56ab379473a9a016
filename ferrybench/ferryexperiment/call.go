package ferryexperiment

import (
	"time"

	"cactusferry.dev/ferry/ferryid"
	"cactusferry.dev/ferry/ferryroute"
)

// call is the state of one arrival until its end.
type call struct {
	Sample
	id        ferryid.RequestID
	entry     *entry
	job       *job
	dispatch  *ferryroute.Dispatch
	predicted ferryid.Tokens
	class     ferryid.ClassName
	attempts  int
	produced  float64
	resumes   int
}

func (c *call) remaining() float64 {
	return max(1, float64(c.predicted)-c.produced)
}

func (c *call) deadline() time.Duration {
	if c.Arrival.Kind.Deadline == 0 {
		return 0
	}
	return c.Arrival.At + time.Duration(c.Arrival.Kind.Deadline)
}
