package ferrypath

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"gotest.tools/v3/assert"

	"cactusferry.dev/ferry/ferryconfig"
	"cactusferry.dev/ferry/ferrydiscovery"
	"cactusferry.dev/ferry/ferryid"
)

// sharedLoad has 25 entries start 200 generations per second, each of which runs for 2 s, on engines of which all see
// the same reports each 0.5 s, and returns how many of the sends find an engine of their path full.
func sharedLoad(contended bool) (sent, full int) {
	const entries, step, seconds = 25, 5 * time.Millisecond, 20
	clock := clockwork.NewFakeClock()
	var list []*ferrydiscovery.Upstream
	for i := range 6 {
		head, tail := upstream(fmt.Sprint("head", i), "a", 0, 4), upstream(fmt.Sprint("tail", i), "a", 4, 8)
		if i < 2 {
			head.Accelerator, tail.Accelerator = "fast", "fast"
		}
		list = append(list, head, tail)
	}
	work := Work{Prompt: 100, Answer: 20}
	const need, room = 4 * 120, 100 * 4 * 120
	var choosers []*Chooser
	for i := range entries {
		c := NewChooser(Options{Clock: clock, Domain: "a", Random: rand.NewPCG(7, uint64(i))})
		m := model()
		m.ReportLag = 200 * time.Millisecond
		m.Accelerators = append(m.Accelerators, ferryconfig.Accelerator{Name: "fast", Memory: 600, StepFactor: 0.3, ReadFactor: 0.3})
		c.Set(m, list)
		c.SetEntries(map[ferryid.DomainName]int{"a": entries})
		c.SetContended(contended)
		choosers = append(choosers, c)
	}
	used := map[string]int64{}
	type running struct {
		run  *Run
		ends time.Time
	}
	var open []running
	random := rand.New(rand.NewPCG(7, 99))
	for at := time.Duration(0); at < seconds*time.Second; at += step {
		clock.Advance(step)
		for len(open) > 0 && !open[0].ends.After(clock.Now()) {
			for _, h := range open[0].run.Path().Hops() {
				used[h.Upstream.Name] -= need
			}
			open[0].run.Done()
			open = open[1:]
		}
		if at%(500*time.Millisecond) == 0 {
			for _, u := range list {
				for _, c := range choosers {
					c.Report(u.Name, Condition{Pace: 1, Running: int(used[u.Name] / need), Used: used[u.Name], Room: room}, clock.Now())
				}
			}
		}
		run, err := choosers[random.IntN(entries)].Pick(work)
		if err != nil {
			continue
		}
		sent++
		refused := -1
		for i, h := range run.Path().Hops() {
			if used[h.Upstream.Name]+need > room {
				refused = i
			}
		}
		if refused >= 0 {
			full++
			run.Refused(refused)
			continue
		}
		for _, h := range run.Path().Hops() {
			used[h.Upstream.Name] += need
		}
		open = append(open, running{run, clock.Now().Add(2 * time.Second)})
	}
	return sent, full
}

// TestEntriesSpreadBetweenReports guards against entries that all send to the same engines until the next report.
func TestEntriesSpreadBetweenReports(t *testing.T) {
	sent, full := sharedLoad(true)
	sentBefore, fullBefore := sharedLoad(false)
	t.Logf("engines refused %d of %d, without the forecast %d of %d", full, sent, fullBefore, sentBefore)
	assert.Assert(t, sent >= 3800, "%d sent", sent)
	// The stated target of design 0017 is 5 in 100.
	assert.Assert(t, 20*full < sent, "engines refused %d of %d", full, sent)
	assert.Assert(t, full < fullBefore, "engines refused %d, without the forecast %d", full, fullBefore)
}

// TestForecastWithoutReports guards against entries that trust a forecast made of nothing: without reports each engine
// is predicted to hold what the arrivals need.
func TestForecastWithoutReports(t *testing.T) {
	c, clock := chooser(twoDomains())
	c.opts.Random = rand.NewPCG(7, 1) // a2 gets 4 of 400 on the mean, and none with some seeds
	c.SetEntries(map[ferryid.DomainName]int{"a": 50})
	c.SetContended(true)
	firsts := map[string]int{}
	for range 400 {
		clock.Advance(20 * time.Millisecond)
		run, err := c.Pick(Work{Prompt: 100, Answer: 20})
		if err != nil {
			continue
		}
		firsts[run.Path().First().Name]++
		run.Done()
	}
	assert.Assert(t, firsts["a1"] > 0 && firsts["a2"] > 0, "%v", firsts)
}

// TestOverflowGoesElsewhereAndReturns guards against arrivals that stay in a failure domain which has lost half its
// engines, that leave it on paths over several domains, or that stay elsewhere when the engines are back.
func TestOverflowGoesElsewhereAndReturns(t *testing.T) {
	const perSecond, need, room = 110, 4 * 120, 100 * 4 * 120
	fleet := func(inA int) (list []*ferrydiscovery.Upstream) {
		for i := range 4 {
			if i < inA {
				list = append(list, upstream(fmt.Sprint("a-head", i), "a", 0, 4), upstream(fmt.Sprint("a-tail", i), "a", 4, 8))
			}
			list = append(list, upstream(fmt.Sprint("b-head", i), "b", 0, 4), upstream(fmt.Sprint("b-tail", i), "b", 4, 8))
		}
		return list
	}
	clock := clockwork.NewFakeClock()
	c := NewChooser(Options{Clock: clock, Domain: "a", Random: rand.NewPCG(7, 1)})
	c.SetEntries(map[ferryid.DomainName]int{"a": 1, "b": 1})
	c.SetContended(true)
	type running struct {
		run  *Run
		ends time.Time
	}
	var open []running
	used := map[string]int64{}
	// elsewhere applies the load for 8 s and returns which part of the last 4 s ran in the other domain.
	elsewhere := func(list []*ferrydiscovery.Upstream) float64 {
		c.Set(model(), list)
		sent, inB := 0, 0
		for i := range 8 * perSecond {
			clock.Advance(time.Second / perSecond)
			for len(open) > 0 && !open[0].ends.After(clock.Now()) {
				for _, h := range open[0].run.Path().Hops() {
					used[h.Upstream.Name] -= need
				}
				open[0].run.Done()
				open = open[1:]
			}
			if i%(perSecond/2) == 0 {
				for _, u := range list {
					c.Report(u.Name, Condition{Pace: 1, Running: int(used[u.Name] / need), Used: used[u.Name], Room: room}, clock.Now())
				}
			}
			run, err := c.Pick(Work{Prompt: 100, Answer: 20, Urgency: 1})
			assert.NilError(t, err)
			assert.Equal(t, run.Path().Crossings(), 0, "%s", text(run.Path()))
			for _, h := range run.Path().Hops() {
				used[h.Upstream.Name] += need
			}
			open = append(open, running{run, clock.Now().Add(2 * time.Second)})
			if i < 4*perSecond {
				continue
			}
			sent++
			if run.Path().First().FailureDomain == "b" {
				inB++
			}
		}
		return float64(inB) / float64(sent)
	}
	whole, half, again := elsewhere(fleet(4)), elsewhere(fleet(2)), elsewhere(fleet(4))
	t.Logf("in the other domain: %.3f with all engines, %.3f with half of them, %.3f with all again", whole, half, again)
	assert.Equal(t, whole, 0.0)
	assert.Assert(t, half > 0.1 && half < 0.6, "%v with half of the engines", half)
	assert.Equal(t, again, 0.0)
}

// TestReportsFromAClockAhead guards against reports that count as missing, so that nothing is refused, because the
// entry that read them has a clock which is ahead of this one's.
func TestReportsFromAClockAhead(t *testing.T) {
	c, clock := chooser(twoDomains())
	for _, u := range twoDomains() {
		c.Report(u.Name, Condition{Pace: 1, Used: 10000, Room: 20000}, clock.Now().Add(300*time.Millisecond))
	}
	r := c.Room()
	assert.Assert(t, r.Known && r.Fill == 0.5, "%+v", r)
}

// TestForecastOfEmptyWork guards against a forecast that divides by the size of generations when it is zero.
func TestForecastOfEmptyWork(t *testing.T) {
	c, clock := chooser(twoDomains())
	c.model.UsualPrompt, c.model.UsualAnswer = 0, 0
	c.SetContended(true)
	for _, u := range twoDomains() {
		c.Report(u.Name, Condition{Pace: 1, Used: 1000, Room: 20000}, clock.Now())
	}
	_, err := c.Pick(Work{})
	assert.NilError(t, err)
	f := c.updateForecast(clock.Now())
	assert.Equal(t, len(f.plans), forecastParts)
	for i := range c.loads {
		// The token time on an engine with one running generation is at least half of the model's step time.
		assert.Assert(t, c.engines[i].up.FailureDomain != "a" || c.loads[i].Rate <= 2000, "%v tokens per second", c.loads[i].Rate)
	}
}

// TestForecastIgnoresImpossibleWork guards against a request of impossible size that is sent to engines too small for it,
// and after which the forecast has no room, so that all less urgent requests are refused for seconds.
func TestForecastIgnoresImpossibleWork(t *testing.T) {
	c, clock := chooser(twoDomains())
	c.SetContended(true)
	for _, u := range twoDomains() {
		c.Report(u.Name, Condition{Pace: 1, Used: 1000, Room: 20000}, clock.Now())
	}
	for range 10 {
		clock.Advance(100 * time.Millisecond)
		run, err := c.Pick(Work{Prompt: 100, Answer: 20})
		assert.NilError(t, err)
		run.Done()
	}
	_, err := c.Pick(Work{Prompt: 1_000_000_000, Answer: 20})
	assert.ErrorIs(t, err, ErrNoRoom)
	clock.Advance(forecastInterval)
	assert.Assert(t, len(c.updateForecast(clock.Now()).plans) > 0)
}

// TestForecastOutlivesChanges guards against a forecast that is computed for each change of an engine, which takes
// milliseconds in large fleets, and against one whose paths use engines that have left or hold other layers now.
func TestForecastOutlivesChanges(t *testing.T) {
	c, clock := chooser(twoDomains())
	c.SetContended(true)
	m := c.model
	for _, u := range twoDomains() {
		c.Report(u.Name, Condition{Pace: 1, Used: 1000, Room: 20000}, clock.Now())
	}
	_, err := c.Pick(small)
	assert.NilError(t, err)
	at := c.forecast.at
	for _, list := range [][]*ferrydiscovery.Upstream{
		{upstream("a1", "a", 2, 6), upstream("a2", "a", 0, 4), upstream("a3", "a", 4, 8)},
		{upstream("a2", "a", 0, 4), upstream("a3", "a", 4, 8)},
		{upstream("a1", "a", 4, 8), upstream("a2", "a", 0, 4)},
	} {
		c.Set(m, list)
		for range 50 {
			run, err := c.Pick(small)
			assert.NilError(t, err)
			for _, h := range run.Path().Hops() {
				u := list[slices.IndexFunc(list, func(u *ferrydiscovery.Upstream) bool { return u.Name == h.Upstream.Name })]
				assert.Assert(t, h.Layers.From >= u.Layers.From && h.Layers.To <= u.Layers.To, "%s", text(run.Path()))
			}
			run.Done()
		}
		assert.Equal(t, c.forecast.at, at)
		clock.Advance(10 * time.Millisecond)
	}
	c.Set(model(), twoDomains())
	_, err = c.Pick(small)
	assert.NilError(t, err)
	assert.Assert(t, c.forecast.at.After(at), "the forecast of another model was kept")
}

// TestRepeatedPickIsNoArrival guards against streams that wait for room, ten attempts a second each, and so raise the
// expected arrivals until the forecast has no room for others.
func TestRepeatedPickIsNoArrival(t *testing.T) {
	c, clock := chooser(twoDomains())
	c.SetContended(true)
	for i := range 50 {
		clock.Advance(100 * time.Millisecond)
		run, err := c.Pick(Work{Prompt: 50, Answer: 10, Counted: i%10 != 0})
		assert.NilError(t, err)
		run.Done()
	}
	rate := c.arrivals.perSecond(clock.Now())
	assert.Assert(t, rate > 0.5 && rate < 1.5, "%v arrivals per second of 1", rate)
}
