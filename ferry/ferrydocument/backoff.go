package ferrydocument

import (
	"math/rand/v2"
	"time"
)

const (
	// fleetRetriesPerSecond limits the retries of all entries together in an outage.
	fleetRetriesPerSecond = 20
	minBackoff            = 500 * time.Millisecond
	maxBackoff            = 2 * time.Second
	maxDoublings          = 4
)

// backoff returns the jittered pause before retry n, counted from 0. Its base grows with the number of live
// entries, to keep the retry rate of all entries together constant.
func backoff(live, n int, rnd *rand.Rand) time.Duration {
	base := max(minBackoff, time.Duration(live)*time.Second/fleetRetriesPerSecond)
	d := min(base<<min(n, maxDoublings), max(maxBackoff, base))
	return d/2 + time.Duration(rnd.Int64N(int64(d)))
}
