package ferrysubset_test

import (
	"fmt"
	"math"
	"slices"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"cactusferry.dev/ferry/ferryid"
	"cactusferry.dev/ferry/ferrysubset"
)

// fleet is a set of entries and engines; engine i holds part i modulo the number of parts of the layers.
type fleet struct {
	entries []ferryid.EntryName
	engines []ferrysubset.Candidate
}

func fleetOf(entries, engines, parts, domains int) fleet {
	var f fleet
	for i := range entries {
		f.entries = append(f.entries, ferryid.EntryName(fmt.Sprintf("entry-%03d", i)))
	}
	for i := range engines {
		from := ferryid.Layer(i % parts * 8)
		f.engines = append(f.engines, ferrysubset.Candidate{
			Name:   ferryid.UpstreamName(fmt.Sprintf("engine-%04d", i)),
			Domain: ferryid.DomainName(fmt.Sprintf("domain-%d", i/parts%domains)),
			Layers: ferryid.LayerRange{From: from, To: from + 8},
		})
	}
	return f
}

func drawFleet(t *rapid.T) fleet {
	return fleetOf(rapid.IntRange(1, 120).Draw(t, "entries"), rapid.IntRange(1, 500).Draw(t, "engines"),
		rapid.IntRange(1, 6).Draw(t, "parts"), rapid.IntRange(1, 8).Draw(t, "domains"))
}

func (f fleet) subsets() [][]int {
	c := ferrysubset.New(ferrysubset.Default)
	var out [][]int
	for _, e := range f.entries {
		out = append(out, c.Choose(e, f.entries, f.engines, nil))
	}
	return out
}

// assignments returns the pairs of an entry and an engine that it uses.
func (f fleet) assignments() map[string]bool {
	out := map[string]bool{}
	for i, s := range f.subsets() {
		for _, e := range s {
			out[string(f.entries[i])+" "+string(f.engines[e].Name)] = true
		}
	}
	return out
}

func differences(a, b map[string]bool) int {
	n := 0
	for k := range a {
		if !b[k] {
			n++
		}
	}
	for k := range b {
		if !a[k] {
			n++
		}
	}
	return n
}

func (f fleet) withWork() int {
	n := 0
	for _, e := range f.engines {
		if !e.Excluded {
			n++
		}
	}
	return n
}

// check asserts that a subset spans the failure domains and has enough candidates of each layer
// range, from enough domains.
func (f fleet) check(t assert.TestingT, subset []int) {
	type key struct {
		layers ferryid.LayerRange
		domain ferryid.DomainName
	}
	count := func(of []int) (ranges map[ferryid.LayerRange]int, spans map[ferryid.LayerRange]int, domains map[ferryid.DomainName]bool) {
		ranges, spans, domains = map[ferryid.LayerRange]int{}, map[ferryid.LayerRange]int{}, map[ferryid.DomainName]bool{}
		seen := map[key]bool{}
		for _, i := range of {
			e := f.engines[i]
			if e.Excluded || e.Unreachable {
				continue
			}
			ranges[e.Layers]++
			domains[e.Domain] = true
			if k := (key{e.Layers, e.Domain}); !seen[k] {
				seen[k] = true
				spans[e.Layers]++
			}
		}
		return ranges, spans, domains
	}
	var all []int
	for i := range f.engines {
		all = append(all, i)
	}
	ranges, spans, domains := count(all)
	gotRanges, gotSpans, gotDomains := count(subset)
	assert.Equal(t, len(gotDomains), len(domains))
	for r, n := range ranges {
		assert.Assert(t, gotRanges[r] >= min(ferrysubset.Default.PerRange, n), "%v: %d of %d", r, gotRanges[r], n)
		assert.Assert(t, gotSpans[r] >= min(ferrysubset.Default.PerRange, spans[r]), "%v: %d domains of %d", r, gotSpans[r], spans[r])
	}
}

// TestSubsetsCoverAndBalance checks that each engine is used by enough entries, that each subset has whole
// pipelines across the failure domains, and that no subset is far larger than the mean.
func TestSubsetsCoverAndBalance(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := drawFleet(t)
		for i := range f.engines {
			f.engines[i].Excluded = rapid.IntRange(0, 9).Draw(t, "out") == 0
			f.engines[i].Unreachable = rapid.IntRange(0, 9).Draw(t, "lost") == 0
		}
		cfg := ferrysubset.Default
		entryCounts := make([]int, len(f.engines))
		mean := float64(len(f.engines))
		if n := f.withWork(); !cfg.UsesAll(len(f.entries), n) {
			mean *= max(float64(cfg.Entries)/float64(len(f.entries)), float64(cfg.Size)/float64(n))
		}
		// Six standard deviations above the mean, and what complete pipelines may need.
		most := mean + 6*math.Sqrt(mean) + float64(6*cfg.PerRange+8)
		for _, s := range f.subsets() {
			f.check(t, s)
			assert.Assert(t, float64(len(s)) <= most, "subset of %d engines, the mean is %v", len(s), mean)
			for _, i := range s {
				entryCounts[i]++
			}
		}
		for i, n := range entryCounts {
			assert.Assert(t, n >= min(cfg.Entries, len(f.entries)), "engine %d is used by %d entries only", i, n)
		}
	})
}

// TestMembershipChangeMovesFewAssignments checks that an entry that leaves, or an engine that gets no more work,
// changes few assignments besides its own.
func TestMembershipChangeMovesFewAssignments(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := fleetOf(rapid.IntRange(20, 120).Draw(t, "entries"), rapid.IntRange(80, 500).Draw(t, "engines"), 4, 8)
		before := f.assignments()
		held := float64(len(before)) / float64(len(f.entries))
		after := f
		i := rapid.IntRange(0, len(f.entries)-1).Draw(t, "entry")
		after.entries = slices.Delete(slices.Clone(f.entries), i, i+1)
		moved := differences(before, after.assignments())
		// Its assignments move to others. To keep the mean, up to as many more are added or removed.
		assert.Assert(t, float64(moved) <= 4*held+30, "%d assignments changed, an entry has %v", moved, held)

		after = f
		after.engines = slices.Clone(f.engines)
		after.engines[rapid.IntRange(0, len(f.engines)-1).Draw(t, "engine")].Excluded = true
		copies := float64(len(before)) / float64(len(f.engines))
		moved = differences(before, after.assignments())
		assert.Assert(t, float64(moved) <= 4*copies+30, "%d assignments changed, an engine has %v", moved, copies)
	})
}

func TestSmallFleetsUseAllEngines(t *testing.T) {
	for _, tt := range []struct{ entries, engines, want int }{
		{9, 24, 24}, {350, 24, 24}, {4, 1600, 1600}, {1, 1000, 1000}, {0, 40, 40}, {4, 40, 40},
	} {
		f := fleetOf(tt.entries, tt.engines, 4, 3)
		got := ferrysubset.New(ferrysubset.Default).Choose("entry-000", f.entries, f.engines, nil)
		assert.Equal(t, len(got), tt.want, "%+v", tt)
	}
}

// TestPlannedSize checks that, at the planned size, each engine still has entries after the loss of a
// failure domain of entries, and each entry whole pipelines after the loss of a failure domain of engines.
func TestPlannedSize(t *testing.T) {
	f := fleetOf(350, 1600, 4, 8)
	entryCounts := make([]int, len(f.engines))
	least, most := math.MaxInt, 0
	for i, s := range f.subsets() {
		least, most = min(least, len(s)), max(most, len(s))
		if i%8 == 0 {
			continue
		}
		for _, e := range s {
			entryCounts[e]++
		}
	}
	t.Logf("subsets of %d to %d engines; without one of eight domains an engine has %d to %d entries", least, most, slices.Min(entryCounts), slices.Max(entryCounts))
	assert.Assert(t, slices.Min(entryCounts) >= 1)
	before := f.assignments()
	less := fleetOf(349, 1600, 4, 8)
	t.Logf("%d assignments, %d of them change when one entry leaves", len(before), differences(before, less.assignments()))
	for i := range f.engines {
		f.engines[i].Excluded = f.engines[i].Domain == "domain-3"
	}
	for _, s := range f.subsets() {
		f.check(t, s)
	}
}

func TestChooseAllocatesNothing(t *testing.T) {
	f := fleetOf(100, 457, 4, 8)
	c := ferrysubset.New(ferrysubset.Default)
	buf := c.Choose("entry-007", f.entries, f.engines, nil)
	assert.Equal(t, testing.AllocsPerRun(10, func() { buf = c.Choose("entry-007", f.entries, f.engines, buf[:0]) }), 0.0)
}

func BenchmarkChoose(b *testing.B) {
	f := fleetOf(350, 1600, 4, 8)
	c := ferrysubset.New(ferrysubset.Default)
	var buf []int
	b.ReportAllocs()
	for b.Loop() {
		buf = c.Choose("entry-007", f.entries, f.engines, buf[:0])
	}
}

func TestRotation(t *testing.T) {
	var rotation ferrysubset.Rotation
	assert.DeepEqual(t, rotation.Next(5, 3, nil), []int{0, 1, 2})
	assert.DeepEqual(t, rotation.Next(5, 3, nil), []int{3, 4, 0})
	assert.DeepEqual(t, rotation.Next(2, 3, nil), []int{1, 0})
	assert.Equal(t, len(rotation.Next(0, 3, nil)), 0)
}
