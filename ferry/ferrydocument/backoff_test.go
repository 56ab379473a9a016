package ferrydocument

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestBackoffBoundsRetryRateOfAllEntries(t *testing.T) {
	tests := []struct {
		live int
		// longest is the upper bound of one pause.
		longest time.Duration
	}{
		{1, 3 * time.Second},
		{9, 3 * time.Second},
		{50, 3750 * time.Millisecond},
		{350, 26250 * time.Millisecond},
	}
	for _, tt := range tests {
		rnd := rand.New(rand.NewPCG(1, 0))
		var sum, longest time.Duration
		const n = 10000
		for range n {
			d := backoff(tt.live, maxDoublings, rnd)
			sum += d
			longest = max(longest, d)
		}
		rate := float64(tt.live) / (sum / n).Seconds()
		assert.Assert(t, rate <= 1.05*fleetRetriesPerSecond, "%d live: %.1f retries a second", tt.live, rate)
		assert.Assert(t, longest <= tt.longest, "%d live: %s", tt.live, longest)
		t.Logf("%d live: %.1f retries a second in all, longest pause %s", tt.live, rate, longest)
	}
}
