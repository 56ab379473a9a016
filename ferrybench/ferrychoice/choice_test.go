package ferrychoice_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"cactusferry.dev/ferry/ferrysubset"
	"cactusferry.dev/ferrybench/ferrychoice"
)

// A subset that is read serves nearly what one entry that knows all does, and more than entries that all work all engines.
func TestSubsetIsNearOneThatKnowsAll(t *testing.T) {
	base := ferrychoice.Config{
		Entries: 30, Engines: 150, Parts: 4, Domains: 7, Subset: ferrysubset.Config{AllUpTo: 150}, Slots: 4,
		Duration: 20 * time.Second, Seed: 1, Reports: ferrychoice.PassedOn,
	}
	one, sub := base, base
	one.Entries, one.Reports = 1, ferrychoice.None
	sub.Subset, sub.Reports, sub.ReadsPerSecond = ferrysubset.Default, ferrychoice.Direct, float64(ferrysubset.Default.ReadsPerSecond)
	share := func(cfg ferrychoice.Config) float64 {
		r, err := ferrychoice.Run(cfg)
		assert.NilError(t, err)
		assert.Equal(t, r.Failed, 0)
		return r.Share
	}
	knowing, all, subset := share(one), share(base), share(sub)
	t.Logf("one that knows all %.3f, all engines %.3f, subsets %.3f of the capacity", knowing, all, subset)
	assert.Assert(t, subset >= 0.9*knowing)
	assert.Assert(t, subset > all)
}
