package ferrychoice_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"cactusferry.dev/ferry/ferrysubset"
	"cactusferry.dev/ferrybench/ferrychoice"
)

// TestSubsetIsNearCompleteView checks that entries that read a subset of the engines serve at least 90 % of
// the work of a single entry with a complete view, and more than entries that use all engines and exchange
// reports.
func TestSubsetIsNearCompleteView(t *testing.T) {
	base := ferrychoice.Config{
		Entries: 30, Engines: 150, Parts: 4, Domains: 7, Subset: ferrysubset.Config{AllUpTo: 150}, Slots: 4,
		Duration: 20 * time.Second, Seed: 1, Reports: ferrychoice.Shared,
	}
	one, sub := base, base
	one.Entries, one.Reports = 1, ferrychoice.None
	sub.Subset, sub.Reports, sub.ReadsPerSecond = ferrysubset.Default, ferrychoice.Direct, float64(ferrysubset.Default.ReadsPerSecond)
	share := func(cfg ferrychoice.Config) float64 {
		r, err := ferrychoice.Run(cfg)
		assert.NilError(t, err)
		assert.Equal(t, r.Failed, 0)
		return r.Utilization
	}
	complete, all, subset := share(one), share(base), share(sub)
	t.Logf("shares of the capacity: one entry with a complete view %.3f, all engines %.3f, subsets %.3f", complete, all, subset)
	assert.Assert(t, subset >= 0.9*complete)
	assert.Assert(t, subset > all)
}
