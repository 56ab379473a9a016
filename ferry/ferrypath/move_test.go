package ferrypath

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"cactusferry.dev/ferry/ferrydiscovery"
	"cactusferry.dev/ferry/ferryid"
)

var lost = []ferryid.UpstreamName{"lost"}

// movingRuns returns n runs over the engine lost, whose layers are held by b1, b2 and b3 too. These have reported free
// memory for the given numbers of runs.
func movingRuns(t *testing.T, n, entries int, free ...int64) (c *Chooser, runs []*Run, report func()) {
	t.Helper()
	list := []*ferrydiscovery.Upstream{upstream("a1", "a", 0, 2), upstream("lost", "a", 2, 5), upstream("a3", "a", 5, 8)}
	c, clock := chooser(list)
	c.opts.Random = rand.NewPCG(1, 2)
	for range n {
		run, err := c.Pick(small)
		assert.NilError(t, err)
		runs = append(runs, run)
	}
	c.SetEntries(map[ferryid.DomainName]int{"a": entries})
	c.Set(model(), append(list, upstream("b1", "a", 2, 5), upstream("b2", "a", 2, 5), upstream("b3", "a", 2, 5)))
	report = func() {
		for i, streams := range free {
			c.Report([]string{"b1", "b2", "b3"}[i], Condition{Pace: 1 + float64(i)/10, Room: streams * 60 * 3}, clock.Now())
		}
	}
	report()
	return c, runs, report
}

// TestPlannedMovesAreCounted has an entry plan all of its moves before the first is carried out. Each would else find
// the same engine with the room of all.
func TestPlannedMovesAreCounted(t *testing.T) {
	c, runs, _ := movingRuns(t, 12, 1, 10, 7, 4)
	count := map[string]int{}
	var moves []*Move
	for _, run := range runs {
		m, err := run.PlanMove(lost, nil)
		assert.NilError(t, err)
		count[m.Path().Hops()[1].Upstream.Name]++
		moves = append(moves, m)
	}
	assert.Assert(t, count["b1"] <= 10 && count["b2"] <= 7 && count["b3"] <= 4, "%v", count)
	for i, m := range moves {
		if i%2 == 0 {
			m.Cancelled()
			continue
		}
		m.Done()
	}
	for _, run := range runs {
		run.Done()
	}
	for name, e := range c.byName {
		assert.Assert(t, e.held == 0 && e.running == 0, "%s holds %d of %d runs", name, e.held, e.running)
	}
}

// TestMoveOfEndedRunIsNotCounted has a run end while it is moved. Its memory would else count on the new engine for good.
func TestMoveOfEndedRunIsNotCounted(t *testing.T) {
	c, runs, _ := movingRuns(t, 1, 1, 100, 100, 100)
	m, err := runs[0].PlanMove(lost, nil)
	assert.NilError(t, err)
	runs[0].Done()
	m.Done()
	for name, e := range c.byName {
		assert.Assert(t, e.held == 0 && e.running == 0, "%s holds %d of %d runs", name, e.held, e.running)
	}
}

// TestMovesAreAsBeforeWithRoom has moves take the path of Detour while the engines have much more memory than they need.
func TestMovesAreAsBeforeWithRoom(t *testing.T) {
	_, runs, _ := movingRuns(t, 5, 3, 200, 200, 200)
	for _, run := range runs {
		to, err := run.Detour(lost)
		assert.NilError(t, err)
		m, err := run.PlanMove(lost, nil)
		assert.NilError(t, err)
		assert.Equal(t, text(m.Path()), text(to))
		m.Done()
	}
}

// TestMovesAreWeightedByFreeMemory has many entries move one run each. Without a random choice all take the same engine.
func TestMovesAreWeightedByFreeMemory(t *testing.T) {
	count := map[string]int{}
	for seed := range uint64(300) {
		c, runs, _ := movingRuns(t, 1, 300, 400, 400, 1200)
		c.opts.Random = rand.NewPCG(seed, 0)
		m, err := runs[0].PlanMove(lost, nil)
		assert.NilError(t, err)
		count[m.Path().Hops()[1].Upstream.Name]++
	}
	assert.Assert(t, count["b1"] >= 35 && count["b1"] <= 110 && count["b2"] >= 35 && count["b2"] <= 110 && count["b3"] >= 130, "%v", count)
}

// TestSpreadMovesStayInTheirDomain has an engine of another failure domain have most of the free memory. A move there
// would transfer the run's whole state.
func TestSpreadMovesStayInTheirDomain(t *testing.T) {
	for seed := range uint64(50) {
		c, runs, _ := movingRuns(t, 1, 300, 400, 400, 400)
		c.opts.Random = rand.NewPCG(seed, 0)
		list := []*ferrydiscovery.Upstream{upstream("far", "b", 2, 5)}
		for _, e := range c.byName {
			list = append(list, e.up)
		}
		c.Set(model(), list)
		c.Report("far", Condition{Pace: 1, Room: 1 << 40}, c.opts.Clock.Now())
		m, err := runs[0].PlanMove(lost, nil)
		assert.NilError(t, err)
		assert.Equal(t, m.Path().Crossings(), 0, text(m.Path()))
	}
}

// TestRefusedMoveCountsAgainstRoom has an engine refuse a move. Other runs must not be ordered there until it has
// reported again or some time has passed.
func TestRefusedMoveCountsAgainstRoom(t *testing.T) {
	for _, tt := range []struct {
		name     string
		address  string
		refusals int
		avoided  bool
	}{
		{"named", "b1:1", 1, true},
		{"not named", "", 1, false},
		{"not named twice", "", 2, true},
		{"unknown address", "b9:1", 2, true},
	} {
		t.Run(tt.name, func(t *testing.T) {
			c, runs, report := movingRuns(t, 6, 1, 100, 50, 50)
			clock := c.opts.Clock.(interface{ Advance(time.Duration) })
			next := func(i int) (*Move, string) {
				m, err := runs[i].PlanMove(lost, nil)
				assert.NilError(t, err)
				return m, m.Path().Hops()[1].Upstream.Name
			}
			for i := range tt.refusals {
				m, name := next(i)
				assert.Equal(t, name, "b1")
				assert.Equal(t, m.Refused(tt.address), ferryid.UpstreamName("b1"))
			}
			clock.Advance(time.Millisecond)
			m, name := next(3)
			assert.Equal(t, name != "b1", tt.avoided)
			m.Cancelled()
			clock.Advance(moveRefusalTTL - time.Millisecond)
			m, name = next(3)
			assert.Equal(t, name, "b1", "refusal not forgotten")
			m.Refused("b1:1")
			clock.Advance(time.Second)
			m, name = next(4)
			assert.Assert(t, name != "b1")
			m.Cancelled()
			report()
			_, name = next(5)
			assert.Equal(t, name, "b1", "a later report must end the exclusion")
		})
	}
}

// TestRefusedMoveWithoutOtherEngine has the first engine be the one at fault.
func TestRefusedMoveWithoutOtherEngine(t *testing.T) {
	_, runs, _ := movingRuns(t, 1, 1, 10, 10, 10)
	m, err := runs[0].PlanMove(lost, []ferryid.UpstreamName{"b1", "b2"})
	assert.NilError(t, err)
	assert.Equal(t, text(m.Path()), "a1[0,2) b3[2,5) a3[5,8)")
	assert.Equal(t, m.Refused("a1:1"), ferryid.UpstreamName(""))
	_, err = runs[0].PlanMove(lost, []ferryid.UpstreamName{"b1", "b2", "b3"})
	assert.ErrorIs(t, err, ErrNoPath)
}
