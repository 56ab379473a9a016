package ferrydocument

import (
	"math/rand/v2"
	"time"
)

const (
	// fleetRetriesPerSecond is the rate of retries of the whole fleet in an outage, whatever its size.
	fleetRetriesPerSecond = 20
	minBackoff            = 500 * time.Millisecond
	maxBackoff            = 2 * time.Second
	maxDoublings          = 4
)

// backoff returns a jittered pause before retry n, from 0; its base grows with the number of live entries, so the fleet's rate does not.
func backoff(live, n int, rnd *rand.Rand) time.Duration {
	base := max(minBackoff, time.Duration(live)*time.Second/fleetRetriesPerSecond)
	d := min(base<<min(n, maxDoublings), max(maxBackoff, base))
	return d/2 + time.Duration(rnd.Int64N(int64(d)))
}
