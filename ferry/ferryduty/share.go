package ferryduty

import (
	"math"
	"time"

	"github.com/cespare/xxhash/v2"

	"cactusferry.dev/ferry/ferryid"
)

const (
	// useOfTotal leaves room for entries whose view of the live count lags.
	useOfTotal = 0.8
	// readyWithin is the time over which the first calls after an outage are spread at the least.
	readyWithin  = time.Second
	mostDoubling = 3
)

// PerSecond is a rate of calls.
type PerSecond float64

// Share returns the rate of calls to the platform that one of the live entries may make, out of the total that the platform allows; live counts below one are taken as one.
func Share(total PerSecond, live int) PerSecond {
	return total * useOfTotal / PerSecond(max(1, live))
}

// Backoff returns how long one entry waits before its next try at the platform after the given number of failures in a row, from 1.
//
// The waits of all entries are spread evenly over a time in which their tries together stay within the
// total rate, and that time doubles with the failures up to eight times.
func Backoff(self ferryid.EntryName, total PerSecond, live, failures int) time.Duration {
	spread := time.Duration(float64(time.Second) / float64(Share(total, live)))
	spread = max(spread, readyWithin) << min(max(0, failures-1), mostDoubling)
	return spread/2 + time.Duration(unit(self, failures)*float64(spread))
}

// unit returns a number in [0, 1) that differs between entries and tries, and is the same each time.
func unit(self ferryid.EntryName, n int) float64 {
	h := xxhash.Sum64String(string(self)) ^ uint64(n)*0x9E3779B97F4A7C15
	h ^= h >> 29
	h *= 0xBF58476D1CE4E5B9
	h ^= h >> 32
	return float64(h>>11) / math.Exp2(53)
}
