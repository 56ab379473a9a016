package ferryexperiment

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"cactusferry.dev/ferry/ferryservice"
	"cactusferry.dev/ferrybench/ferryworkload"
)

func smallWorkload() *ferryworkload.Workload {
	return &ferryworkload.Workload{
		Name: "small", Seed: 3, Duration: ferryworkload.Duration(30 * time.Second), Entries: 1, QueueLength: 50,
		Runners:   ferryworkload.Runners{{Name: "a", Count: 3, Rate: 100, StreamRate: 20, Slots: 8}, {Name: "b", Count: 3, Rate: 50, StreamRate: 20, Slots: 4}},
		Customers: ferryworkload.Customers{{Name: "x", Share: 1, Load: 1}, {Name: "y", Share: 1, Load: 3}},
		Kinds: ferryworkload.Kinds{
			{Name: "short", Weight: 0.9, Prompt: 50, Tokens: 20, Spread: 0.4, Deadline: ferryworkload.Duration(10 * time.Second), Repeatable: true},
			{Name: "change", Weight: 0.05, Prompt: 5, Tokens: 5, Deadline: ferryworkload.Duration(5 * time.Second)},
			{Name: "long", Weight: 0.05, Prompt: 50, Tokens: 400, Straggler: true, Repeatable: true},
		},
		Classes: ferryservice.Classes{{Name: "short", MaxTokens: 64, ReservedShare: 0.5}, {Name: "long", Priority: 1, Deadline: ferryservice.Duration(time.Minute)}},
		Phases:  ferryworkload.Phases{{Load: 0.8}},
	}
}

// checkTotals checks that every call ended exactly once and that no second served much more work than the
// bound.
func checkTotals(t assert.TestingT, w *ferryworkload.Workload, n int, r *Result) {
	g := r.All
	assert.Equal(t, g.InTime+g.Late+g.Refused+g.Expired+g.Failed, n)
	for i := range r.Seconds {
		assert.Assert(t, r.Seconds[i].Served <= 1.25*w.Bound()+200, "second %d: served %v tokens, more than the bound allows", i, r.Seconds[i].Served)
	}
}

func TestRunsAreRepeatable(t *testing.T) {
	for _, p := range []Policy{Baseline, Present} {
		w := smallWorkload()
		a, b := Run(w, w.Arrivals(), p), Run(w, w.Arrivals(), p)
		assert.Equal(t, a.All.InTime, b.All.InTime)
		assert.Equal(t, a.All.Answer.P99, b.All.Answer.P99)
		checkTotals(t, w, len(w.Arrivals()), a)
	}
}

func TestStreamsOfUnitShareItsRate(t *testing.T) {
	u := &unit{spec: ferryworkload.Unit{Rate: 100, StreamRate: 40, Slots: 4}, alive: true, factor: 1}
	s := &simulation{workload: smallWorkload()}
	for _, want := range []float64{40, 40, 100.0 / 3, 25, 25} {
		s.begin(u, &call{Sample: Sample{Arrival: &ferryworkload.Arrival{Kind: &s.workload.Kinds[0], Tokens: 10}}}, 0)
		assert.Equal(t, u.speed(), want)
	}
	assert.Equal(t, len(u.queue), 1)
}

func TestPrefixCacheIsBounded(t *testing.T) {
	u := &unit{spec: ferryworkload.Unit{Prefixes: 2}}
	k := &ferryworkload.Kind{Shared: 80}
	read := func(p uint64) int {
		return int(u.prefillTokens(&call{Sample: Sample{Arrival: &ferryworkload.Arrival{Kind: k, Prompt: 100, Prefix: p}}}))
	}
	got := []int{read(1), read(1), read(2), read(3), read(1), read(3)}
	assert.DeepEqual(t, got, []int{100, 20, 100, 100, 100, 20})
}

func TestNonRepeatableWorkIsNeverSentTwice(t *testing.T) {
	w := smallWorkload()
	w.Kinds[1].Weight = 5
	w.Faults = ferryworkload.Faults{{At: ferryworkload.Duration(10 * time.Second), Kind: ferryworkload.FaultKill, Count: 3}}
	r := Run(w, w.Arrivals(), Present)
	assert.Assert(t, r.Kind("change").Failed > 0)
	assert.Equal(t, r.Kind("long").Failed, 0)
}

// TestTotalsUnderRandomFaults checks the totals of checkTotals under random faults.
func TestTotalsUnderRandomFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := smallWorkload()
		w.Seed = uint64(rapid.IntRange(1, 1000).Draw(t, "seed"))
		w.Entries = rapid.IntRange(1, 3).Draw(t, "entries")
		w.Phases[0].Load = rapid.Float64Range(0.2, 3).Draw(t, "load")
		w.Reports = ferryworkload.Reports{Every: ferryworkload.Duration(time.Second), Delay: ferryworkload.Duration(2 * time.Second)}
		w.Retry = ferryworkload.Retry{Attempts: 2, Patience: ferryworkload.Duration(8 * time.Second)}
		kinds := []ferryworkload.FaultKind{ferryworkload.FaultKill, ferryworkload.FaultSlow, ferryworkload.FaultHeal}
		for i := range rapid.IntRange(0, 5).Draw(t, "faults") {
			w.Faults = append(w.Faults, ferryworkload.Fault{
				At:    ferryworkload.Duration(time.Duration(i+2) * 4 * time.Second),
				Kind:  rapid.SampledFrom(kinds).Draw(t, "kind"),
				First: rapid.IntRange(0, 4).Draw(t, "first"), Count: 1, Factor: 0.1,
			})
		}
		if w.Entries > 1 {
			w.Faults = append(w.Faults, ferryworkload.Fault{At: ferryworkload.Duration(15 * time.Second), Kind: ferryworkload.FaultKillEntry, Count: 1})
		}
		as := w.Arrivals()
		p := rapid.SampledFrom([]Policy{Baseline, Present, {Name: "list", Queue: ferryservice.QueueFair, Route: ferryservice.RouteLeast, WaitingList: true}}).Draw(t, "policy")
		checkTotals(t, w, len(as), Run(w, as, p))
	})
}
