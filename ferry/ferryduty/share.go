package ferryduty

import (
	"math"
	"time"

	"github.com/cespare/xxhash/v2"

	"cactusferry.dev/ferry/ferryid"
)

const (
	// rateUtilization leaves a margin for entries with an outdated live count.
	rateUtilization = 0.8
	// minSpread is the shortest time over which the first calls after an outage are spread.
	minSpread    = time.Second
	maxDoublings = 3
)

// PerSecond is a rate in calls per second.
type PerSecond float64

// Share returns one entry's share of the total rate of calls that the platform allows; a live count below one
// is taken as one.
func Share(total PerSecond, live int) PerSecond {
	return total * rateUtilization / PerSecond(max(1, live))
}

// Backoff returns the wait of one entry before its next call to the platform, after one or more consecutive
// failures.
//
// The waits of all entries are spread evenly over a time that keeps their calls within the total rate. That
// time doubles with each failure, up to a factor of eight.
func Backoff(self ferryid.EntryName, total PerSecond, live, failures int) time.Duration {
	spread := time.Duration(float64(time.Second) / float64(Share(total, live)))
	spread = max(spread, minSpread) << min(max(0, failures-1), maxDoublings)
	return spread/2 + time.Duration(hashFraction(self, failures)*float64(spread))
}

// hashFraction returns a deterministic pseudo-random number in [0, 1) for an entry and an attempt.
func hashFraction(self ferryid.EntryName, n int) float64 {
	h := xxhash.Sum64String(string(self)) ^ uint64(n)*0x9E3779B97F4A7C15
	h ^= h >> 29
	h *= 0xBF58476D1CE4E5B9
	h ^= h >> 32
	return float64(h>>11) / math.Exp2(53)
}
