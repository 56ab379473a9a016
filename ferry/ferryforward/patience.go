package ferryforward

import (
	"time"

	"cactusferry.dev/ferry/ferryconfig"
)

// Patience describes how long callers wait for the next event of a stream before they disconnect: Least, or the
// given multiples of the route's objectives if one of them is longer.
type Patience struct {
	Least time.Duration
	// Objectives and Gaps multiply the route's objectives for the first event and between events.
	Objectives, Gaps float64
}

// defaultPatience applies if the configuration sets none.
var defaultPatience = Patience{Least: 2 * time.Second, Objectives: 4, Gaps: 8}

// of returns the patience of the callers of a route.
func (p Patience) of(r *ferryconfig.Route) time.Duration {
	return max(p.Least, shareOf(r.Objective, p.Objectives), shareOf(r.GapObjective, p.Gaps))
}

func (s *callerStream) patience() time.Duration { return s.cfg.Patience.of(s.r.route) }

func shareOf(d time.Duration, share float64) time.Duration {
	return time.Duration(float64(d) * share)
}
