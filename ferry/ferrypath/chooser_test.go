package ferrypath

import (
	"errors"
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"cactusferry.dev/ferry/ferryconfig"
	"cactusferry.dev/ferry/ferrydiscovery"
	"cactusferry.dev/ferry/ferryid"
	"cactusferry.dev/ferry/ferryplatform"
	"cactusferry.dev/ferry/ferryrapid"
)

func TestMain(m *testing.M) {
	ferryrapid.Main(m, ferryrapid.Settings{Seed: 11, Checks: 200, Steps: 40})
}

// model has 8 layers. An accelerator that holds 4 of them has memory for 20,000 tokens times layers.
func model() *ferryconfig.Model {
	delays := []ferryconfig.Delay{{From: "a", To: "b", OneWay: time.Millisecond}}
	return &ferryconfig.Model{
		Layers: 8, LayerSize: 100, TokenBytes: 80000, StepTime: time.Millisecond, RequestTime: 10 * time.Microsecond, UsualPrompt: 100, UsualAnswer: 20, Delays: delays,
		Accelerators: []ferryconfig.Accelerator{{Name: "card", Memory: 600, StepFactor: 1, ReadFactor: 1}},
	}
}

func upstream(name string, domain ferryid.DomainName, from, to ferryid.Layer) *ferrydiscovery.Upstream {
	return &ferrydiscovery.Upstream{Instance: ferryplatform.Instance{
		Name: name, Address: name + ":1", FailureDomain: domain, State: ferryplatform.StateLive, Accelerator: "card",
		Layers: ferryid.LayerRange{From: from, To: to},
	}}
}

// twoDomains returns two failure domains that hold the whole model each; a has two
// engines for the first layers.
func twoDomains() []*ferrydiscovery.Upstream {
	return []*ferrydiscovery.Upstream{
		upstream("a1", "a", 0, 4), upstream("a2", "a", 0, 4), upstream("a3", "a", 4, 8),
		upstream("b1", "b", 0, 4), upstream("b2", "b", 4, 8),
	}
}

func chooser(list []*ferrydiscovery.Upstream) (*Chooser, *clockwork.FakeClock) {
	clock := clockwork.NewFakeClock()
	c := NewChooser(Options{Clock: clock, Domain: "a"})
	c.Set(model(), list)
	c.SetEntries(map[ferryid.DomainName]int{"a": 1})
	return c, clock
}

func text(p *Path) string {
	var parts []string
	for _, h := range p.Hops() {
		parts = append(parts, h.Upstream.Name+h.Layers.String())
	}
	return strings.Join(parts, " ")
}

var small = Work{Prompt: 50, Answer: 10}

func TestPick(t *testing.T) {
	for _, tt := range []struct {
		name   string
		change func(c *Chooser, now time.Time)
		work   Work
		want   string
		err    error
	}{
		{"own failure domain preferred", func(*Chooser, time.Time) {}, small, "a1[0,4) a3[4,8)", nil},
		{"avoids an engine that is down", func(c *Chooser, _ time.Time) { c.MarkDown("a1") }, small, "a2[0,4) a3[4,8)", nil},
		{"avoids an engine excluded by the request", func(*Chooser, time.Time) {}, Work{Prompt: 50, Answer: 10, Avoid: []ferryid.UpstreamName{"a1"}}, "a2[0,4) a3[4,8)", nil},
		{"other domain when its own lacks layers", func(c *Chooser, _ time.Time) { c.MarkDown("a3") }, small, "b1[0,4) b2[4,8)", nil},
		{"avoids a slow engine", func(c *Chooser, now time.Time) {
			c.Report("a3", Condition{Pace: 5, Room: 20000}, now)
		}, small, "b1[0,4) b2[4,8)", nil},
		{"avoids an engine without free memory", func(c *Chooser, now time.Time) {
			c.Report("a3", Condition{Pace: 1, Used: 19900, Room: 20000}, now)
		}, small, "b1[0,4) b2[4,8)", nil},
		{"prefers an engine below the preferred fill level", func(c *Chooser, now time.Time) {
			c.Report("a1", Condition{Pace: 1, Used: 17000, Room: 20000}, now)
			c.Report("a2", Condition{Pace: 1.5, Used: 100, Room: 20000}, now)
		}, small, "a2[0,4) a3[4,8)", nil},
		{"prefers the faster engine when both are above the fill level", func(c *Chooser, now time.Time) {
			c.Report("a1", Condition{Pace: 1, Used: 17000, Room: 20000}, now)
			c.Report("a2", Condition{Pace: 1.5, Used: 17000, Room: 20000}, now)
		}, small, "a1[0,4) a3[4,8)", nil},
		{"no free memory in any domain", func(c *Chooser, now time.Time) {
			for _, name := range []string{"a3", "b2"} {
				c.Report(name, Condition{Pace: 1, Used: 19900, Room: 20000}, now)
			}
		}, small, "", ErrNoRoom},
		{"layers without an engine", func(c *Chooser, _ time.Time) {
			c.MarkDown("a3")
			c.MarkDown("b2")
		}, small, "", ErrNoPath},
		{"uses an engine again once it answers", func(c *Chooser, _ time.Time) {
			c.MarkDown("a1")
			c.MarkUp("a1")
			c.MarkDown("a2")
		}, small, "a1[0,4) a3[4,8)", nil},
	} {
		t.Run(tt.name, func(t *testing.T) {
			c, clock := chooser(twoDomains())
			tt.change(c, clock.Now())
			run, err := c.Pick(tt.work)
			assert.Assert(t, errors.Is(err, tt.err), "%v", err)
			if err == nil {
				assert.Equal(t, text(run.Path()), tt.want)
			}
		})
	}
}

// TestRunsAreDistributedEvenly checks that unfinished runs are distributed evenly over engines with the same
// layers.
func TestRunsAreDistributedEvenly(t *testing.T) {
	c, _ := chooser(twoDomains()[:3])
	first := map[string]int{}
	for range 10 {
		run, err := c.Pick(small)
		assert.NilError(t, err)
		first[run.Path().First().Name]++
	}
	assert.DeepEqual(t, first, map[string]int{"a1": 5, "a2": 5})
}

func TestReportAge(t *testing.T) {
	c, clock := chooser(twoDomains()[:3])
	run, err := c.Pick(small)
	assert.NilError(t, err)
	assert.Equal(t, run.ReportAge(), Unreported)
	for i, name := range []string{"a1", "a2", "a3"} {
		c.Report(name, Condition{Pace: 1, Room: 20000}, clock.Now().Add(time.Duration(i)*-time.Second))
	}
	run, err = c.Pick(small)
	assert.NilError(t, err)
	assert.Equal(t, run.ReportAge(), 2*time.Second)
	clock.Advance(reportTTL)
	run, err = c.Pick(small)
	assert.NilError(t, err)
	assert.Equal(t, run.ReportAge(), Unreported)
}

func TestDetour(t *testing.T) {
	list := append(twoDomains(), upstream("a4", "a", 3, 8))
	c, _ := chooser(list)
	c.MarkDown("a2")
	c.MarkDown("a4")
	run, err := c.Pick(small)
	assert.NilError(t, err)
	c.MarkUp("a4")
	assert.Equal(t, text(run.Path()), "a1[0,4) a3[4,8)")
	to, err := run.Detour([]ferryid.UpstreamName{"a3"})
	assert.NilError(t, err)
	assert.Equal(t, text(to), "a1[0,4) a4[4,8)")
	run.SwitchTo(to)
	assert.Equal(t, c.byName["a3"].running, 0)
	assert.Equal(t, c.byName["a4"].running, 1)
	to, err = run.Detour([]ferryid.UpstreamName{"a3", "a4"})
	assert.NilError(t, err)
	assert.Equal(t, text(to), "a1[0,4) b2[4,8)")
	_, err = run.Detour([]ferryid.UpstreamName{"a3", "a4", "b2"})
	assert.Assert(t, errors.Is(err, ErrNoPath))
	run.Done()
	assert.Equal(t, c.byName["a4"].running, 0)
	assert.Equal(t, c.byName["a4"].held, int64(0))
}

func TestEnginesWithoutProgressSlowOrLeaving(t *testing.T) {
	c, clock := chooser(twoDomains()[:3])
	run, err := c.Pick(small)
	assert.NilError(t, err)
	assert.DeepEqual(t, run.WithoutProgress(clock.Now()), []int{0, 1})
	run.Progress(clock.Now())
	assert.Equal(t, len(run.WithoutProgress(clock.Now())), 0)
	c.Report("a3", Condition{Pace: slowPace, Room: 20000}, clock.Now())
	assert.DeepEqual(t, run.Slow(), []ferryid.UpstreamName{"a3"})
	assert.Equal(t, len(run.Leaving()), 0)
	smaller := upstream("a3", "a", 5, 8)
	c.Set(model(), []*ferrydiscovery.Upstream{twoDomains()[0], smaller})
	assert.DeepEqual(t, run.Leaving(), []ferryid.UpstreamName{"a3"})
	c.Set(model(), nil)
	run.Failed(0) // must not panic or count for an engine that is no longer listed
	_, err = c.Pick(small)
	assert.Assert(t, errors.Is(err, ErrNoPath))
}

// pathModel runs random sequences of engine changes and runs against a Chooser.
type pathModel struct {
	c     *Chooser
	clock *clockwork.FakeClock
	list  []*ferrydiscovery.Upstream
	runs  []*Run
	next  int
}

// TestHistories checks that each path runs each layer once and in order on engines that hold them, that each
// engine's count equals the runs on it, and that ErrNoPath means that the usable engines lack layers.
func TestHistories(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		m := &pathModel{}
		m.c, m.clock = chooser(nil)
		rt.Repeat(map[string]func(*rapid.T){
			"come":  m.addEngine,
			"go":    m.removeEngine,
			"pick":  m.pick,
			"end":   m.end,
			"move":  m.move,
			"state": m.setDown,
			"":      m.check,
		})
	})
}

func (m *pathModel) addEngine(rt *rapid.T) {
	from := rapid.IntRange(0, 7).Draw(rt, "from")
	to := rapid.IntRange(from+1, 8).Draw(rt, "to")
	domain := rapid.SampledFrom([]ferryid.DomainName{"a", "b"}).Draw(rt, "domain")
	m.next++
	m.list = append(m.list, upstream(fmt.Sprintf("e%d", m.next), domain, ferryid.Layer(from), ferryid.Layer(to)))
	m.c.Set(model(), m.list)
}

func (m *pathModel) removeEngine(rt *rapid.T) {
	if len(m.list) == 0 {
		return
	}
	i := rapid.IntRange(0, len(m.list)-1).Draw(rt, "engine")
	m.list = slices.Delete(slices.Clone(m.list), i, i+1)
	m.c.Set(model(), m.list)
}

func (m *pathModel) setDown(rt *rapid.T) {
	if len(m.list) == 0 {
		return
	}
	name := rapid.SampledFrom(m.list).Draw(rt, "engine").Name
	if rapid.Bool().Draw(rt, "down") {
		m.c.MarkDown(name)
		return
	}
	m.c.MarkUp(name)
}

// covered reports whether the engines that are not down hold all layers.
func (m *pathModel) covered() bool {
	var held [8]bool
	for _, u := range m.list {
		if m.c.IsDown(u.Name) {
			continue
		}
		for l := u.Layers.From; l < u.Layers.To; l++ {
			held[l] = true
		}
	}
	return !slices.Contains(held[:], false)
}

func (m *pathModel) pick(rt *rapid.T) {
	run, err := m.c.Pick(small)
	if err != nil {
		if errors.Is(err, ErrNoPath) && m.covered() {
			rt.Fatalf("Pick: no path although the usable engines hold all layers")
		}
		return
	}
	if !m.covered() {
		rt.Fatalf("Pick: path %s although the usable engines lack layers", text(run.Path()))
	}
	m.runs = append(m.runs, run)
}

func (m *pathModel) end(rt *rapid.T) {
	if len(m.runs) == 0 {
		return
	}
	i := rapid.IntRange(0, len(m.runs)-1).Draw(rt, "run")
	switch rapid.IntRange(0, 3).Draw(rt, "how") {
	case 0:
		m.runs[i].Done()
	case 1:
		m.runs[i].Cancelled()
	case 2:
		m.runs[i].Refused(0)
	default:
		m.runs[i].Failed(len(m.runs[i].Path().Hops()) - 1)
	}
	m.runs = slices.Delete(m.runs, i, i+1)
}

func (m *pathModel) move(rt *rapid.T) {
	if len(m.runs) == 0 {
		return
	}
	run := rapid.SampledFrom(m.runs).Draw(rt, "run")
	hops := run.Path().Hops()
	without := hops[rapid.IntRange(0, len(hops)-1).Draw(rt, "without")].Upstream.Name
	to, err := run.Detour([]ferryid.UpstreamName{ferryid.UpstreamName(without)})
	if err != nil {
		return
	}
	if to.Hops()[0] != hops[0] {
		rt.Fatalf("Detour: the first hop changed from %s to %s", text(run.Path()), text(to))
	}
	if without != hops[0].Upstream.Name && strings.Contains(text(to)+" ", without+"[") {
		rt.Fatalf("Detour: path %s contains the excluded engine %s", text(to), without)
	}
	run.SwitchTo(to)
}

func (m *pathModel) check(rt *rapid.T) {
	running := map[*ferrydiscovery.Upstream]int{}
	for _, run := range m.runs {
		next := ferryid.Layer(0)
		for _, h := range run.Path().Hops() {
			if h.Layers.From != next || h.Layers.To <= next || !containsRange(h.Upstream.Layers, h.Layers) {
				rt.Fatalf("path %s does not run layers in order on engines that hold them", text(run.Path()))
			}
			next = h.Layers.To
			running[h.Upstream]++
		}
		if next != 8 {
			rt.Fatalf("path %s does not end at layer 8", text(run.Path()))
		}
	}
	for _, e := range m.c.engines {
		if e.running != running[e.up] {
			rt.Fatalf("engine %s counts %d runs, want %d", e.up.Name, e.running, running[e.up])
		}
	}
}

// TestConcurrentEntriesDoNotOverfillAnEngine guards against an engine that runs out of memory because all
// entries of a domain prefer it between two of its reports: it is the fastest of its layers and already
// rather full.
func TestConcurrentEntriesDoNotOverfillAnEngine(t *testing.T) {
	const entries, each = 25, 3
	list := append(twoDomains()[:3], upstream("a4", "a", 4, 8))
	work := Work{Prompt: 100, Answer: 20}
	held := map[string]int64{"a3": 17000}
	for range entries {
		c, clock := chooser(list)
		c.SetEntries(map[ferryid.DomainName]int{"a": entries})
		c.Report("a3", Condition{Pace: 1, Used: held["a3"], Room: 20000}, clock.Now())
		c.Report("a4", Condition{Pace: 1.8, Used: 1000, Room: 20000}, clock.Now())
		for range each {
			run, err := c.Pick(work)
			assert.NilError(t, err)
			held[run.Path().Hops()[1].Upstream.Name+" later"] += memoryNeed(work, run.Path().Hops()[1])
		}
	}
	assert.Assert(t, held["a3"]+held["a3 later"] <= 20000, "%d of 20000 tokens times layers on the faster engine", held["a3"]+held["a3 later"])
	assert.Assert(t, held["a4 later"] > 0)
}

// listed returns upstreams as a table of them lists these.
func listed(clock clockwork.Clock, list []*ferrydiscovery.Upstream) *ferrydiscovery.View {
	table := ferrydiscovery.NewTable(clock)
	for _, u := range list {
		u.Service, u.Version = "s", 1
		table.Apply([]ferrydiscovery.Change{{Upstream: *u}})
	}
	return table.View()
}

func TestEnginesThatWantNoRequests(t *testing.T) {
	for _, tt := range []struct {
		name string
		// seconds is for how long engines want no requests.
		seconds map[string]int
		want    string
		err     error
		// available is the number of seconds until a path is available.
		available int
	}{
		{"none", nil, "a1[0,4) a3[4,8)", nil, 0},
		{"one of two", map[string]int{"a1": 5}, "a2[0,4) a3[4,8)", nil, 0},
		{"other domain", map[string]int{"a3": 5}, "b1[0,4) b2[4,8)", nil, 0},
		{"across domains", map[string]int{"a3": 5, "b1": 5}, "", nil, 0},
		{"all", map[string]int{"a1": 5, "a2": 4, "a3": 3, "b1": 8, "b2": 2}, "", ErrNoPath, 4},
		{"all last engines", map[string]int{"a3": 3, "b2": 9}, "", ErrNoPath, 3},
	} {
		t.Run(tt.name, func(t *testing.T) {
			c, clock := chooser(nil)
			v := listed(clock, twoDomains())
			c.Set(model(), v.Of("s"))
			for name, n := range tt.seconds {
				v.Get(name).Defer(clock.Now().Add(time.Duration(n) * time.Second))
			}
			run, err := c.Pick(small)
			assert.Assert(t, errors.Is(err, tt.err), "%v", err)
			if err == nil {
				for _, h := range run.Path().Hops() {
					assert.Assert(t, tt.seconds[h.Upstream.Name] == 0, h.Upstream.Name)
				}
			}
			if tt.want != "" {
				assert.Equal(t, text(run.Path()), tt.want)
			}
			at := c.AvailableAt()
			if tt.available == 0 {
				assert.Assert(t, at.IsZero())
				return
			}
			assert.Equal(t, at.Sub(clock.Now()), time.Duration(tt.available)*time.Second)
			clock.Advance(at.Sub(clock.Now()) - 1)
			_, err = c.Pick(small)
			assert.Assert(t, errors.Is(err, ErrNoPath))
			clock.Advance(1)
			_, err = c.Pick(small)
			assert.NilError(t, err)
			assert.Assert(t, c.AvailableAt().IsZero())
		})
	}
}

// TestDetourKeepsEnginesThatWantNoRequests has engines of the present path ask for time. The run stays on them, and
// no other engine that asked is added.
func TestDetourKeepsEnginesThatWantNoRequests(t *testing.T) {
	c, clock := chooser(nil)
	v := listed(clock, []*ferrydiscovery.Upstream{
		upstream("a1", "a", 0, 3), upstream("a2", "a", 3, 6), upstream("a3", "a", 3, 6), upstream("a4", "a", 6, 8), upstream("a5", "a", 6, 8), upstream("a6", "a", 6, 8),
	})
	c.Set(model(), v.Of("s"))
	for _, name := range []string{"a3", "a5", "a6"} {
		v.Get(name).Defer(clock.Now().Add(time.Second))
	}
	run, err := c.Pick(small)
	assert.NilError(t, err)
	assert.Equal(t, text(run.Path()), "a1[0,3) a2[3,6) a4[6,8)")
	clock.Advance(time.Second)
	for _, name := range []string{"a1", "a2", "a5"} {
		v.Get(name).Defer(clock.Now().Add(time.Minute))
	}
	p, err := run.Detour([]ferryid.UpstreamName{"a4"})
	assert.NilError(t, err)
	assert.Equal(t, text(p), "a1[0,3) a2[3,6) a6[6,8)")
}
