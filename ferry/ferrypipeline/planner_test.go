package ferrypipeline_test

import (
	"errors"
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"cactusferry.dev/ferry/ferryengine"
	"cactusferry.dev/ferry/ferryid"
	"cactusferry.dev/ferry/ferrypipeline"
	"cactusferry.dev/ferry/ferryservice"
)

const planLayers = 6

// reachable reports whether any chain of the usable candidates covers the layers.
func reachable(cs ferrypipeline.Candidates, ok []bool) bool {
	next := ferryid.Layer(0)
	for {
		far := next
		for i, c := range cs {
			if ok[i] && c.Layers.From <= next {
				far = max(far, c.Layers.To)
			}
		}
		if far >= planLayers {
			return true
		}
		if far == next {
			return false
		}
		next = far
	}
}

func TestPlannerAgainstOracle(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var cs ferrypipeline.Candidates
		var loads []ferrypipeline.Load
		var excluded, ok []bool
		n := rapid.IntRange(1, 10).Draw(t, "candidates")
		for i := range n {
			from := rapid.IntRange(0, planLayers-1).Draw(t, "from")
			to := rapid.IntRange(from+1, planLayers).Draw(t, "to")
			cs = append(cs, ferrypipeline.Candidate{
				Name: ferryid.UpstreamName(fmt.Sprintf("e%d", i)), Address: fmt.Sprintf("a%d", i),
				Domain: ferryid.DomainName(rapid.SampledFrom([]string{"a", "b"}).Draw(t, "domain")),
				Layers: ferryid.LayerRange{From: ferryid.Layer(from), To: ferryid.Layer(to)},
			})
			l := ferrypipeline.Load{
				Rate:        ferryid.TokensPerSecond(rapid.SampledFrom([]int{0, 1, 10, 100}).Draw(t, "rate")),
				Outstanding: ferryid.Tokens(rapid.IntRange(0, 1000).Draw(t, "outstanding")),
				Avoid:       rapid.IntRange(0, 9).Draw(t, "avoid") == 0,
			}
			ex := rapid.IntRange(0, 9).Draw(t, "excluded") == 0
			loads = append(loads, l)
			excluded = append(excluded, ex)
			ok = append(ok, l.Rate > 0 && !l.Avoid && !ex)
		}
		p, err := ferrypipeline.NewPlanner(ferrypipeline.PlannerConfig{Layers: planLayers, Candidates: cs})
		assert.NilError(t, err)
		var plan ferrypipeline.Plan
		err = p.Choose(loads, excluded, 100, &plan)
		var none *ferrypipeline.NoChainError
		assert.Equal(t, errors.As(err, &none), !reachable(cs, ok), "%v", err)
		if err != nil {
			return
		}
		assert.NilError(t, plan.Check())
		for _, s := range plan.Stages {
			for i, c := range cs {
				if c.Name == s.Name {
					assert.Assert(t, ok[i], "%s is not usable but was chosen", s.Name)
					assert.Assert(t, c.Layers.From <= s.Layers.From && s.Layers.To <= c.Layers.To, "%s does not hold %s", s.Name, s.Layers)
				}
			}
		}
	})
}

func TestPlannerChoices(t *testing.T) {
	layers := func(from, to ferryid.Layer) ferryid.LayerRange { return ferryid.LayerRange{From: from, To: to} }
	cs := ferrypipeline.Candidates{
		{Name: "a", Domain: "x", Layers: layers(0, 4)},
		{Name: "b", Domain: "y", Layers: layers(0, 4)},
		{Name: "c", Domain: "x", Layers: layers(2, 6)},
	}
	links := ferrypipeline.LinkCosts{{"y", "x"}: 10 * time.Millisecond}
	for _, tt := range []struct {
		name  string
		loads []ferrypipeline.Load
		fixed ferryservice.Pipelines
		want  string
	}{
		{"equal rates: one failure domain, layers split evenly", []ferrypipeline.Load{{Rate: 100}, {Rate: 100}, {Rate: 100}}, nil, "a[0,3) c[3,6) "},
		{"slower engine gets fewer layers", []ferrypipeline.Load{{Rate: 100}, {Rate: 100}, {Rate: 50}}, nil, "a[0,4) c[4,6) "},
		{"outstanding work counts", []ferrypipeline.Load{{Rate: 100, Outstanding: 5000}, {Rate: 100}, {Rate: 100}}, nil, "b[0,3) c[3,6) "},
		{"link cost outweighs a little outstanding work", []ferrypipeline.Load{{Rate: 100, Outstanding: 20}, {Rate: 100}, {Rate: 100}}, nil, "a[0,3) c[3,6) "},
		{"fixed", []ferrypipeline.Load{{Rate: 100}, {Rate: 100}, {Rate: 100}}, ferryservice.Pipelines{{Name: "p", Stages: []ferryid.UpstreamName{"b", "c"}}}, "b[0,3) c[3,6) "},
	} {
		p, err := ferrypipeline.NewPlanner(ferrypipeline.PlannerConfig{Layers: planLayers, Candidates: cs, Links: links, Fixed: tt.fixed})
		assert.NilError(t, err)
		var plan ferrypipeline.Plan
		assert.NilError(t, p.Choose(tt.loads, nil, 100, &plan))
		got := ""
		for _, s := range plan.Stages {
			got += string(s.Name) + s.Layers.String() + " "
		}
		assert.Equal(t, got, tt.want, tt.name)
	}
}

func TestChooseDoesNotAllocate(t *testing.T) {
	cfg, loads := fleet48()
	p, err := ferrypipeline.NewPlanner(cfg)
	assert.NilError(t, err)
	var plan ferrypipeline.Plan
	assert.Equal(t, testing.AllocsPerRun(100, func() { _ = p.Choose(loads, nil, 100, &plan) }), 0.0)
}

func TestPoolCountsOwnWork(t *testing.T) {
	cfg, loads := fleet48()
	for i := range loads {
		loads[i].Outstanding = 0
	}
	pool, err := ferrypipeline.NewPool(cfg, loads, clockwork.NewFakeClock())
	assert.NilError(t, err)
	job := &ferrypipeline.Job{MaxTokens: 1000}
	a, err := pool.Pick(job, nil)
	assert.NilError(t, err)
	assert.NilError(t, pool.Set(cfg, loads))
	for i, l := range pool.Loads() {
		used := false
		for _, s := range a.Stages {
			used = used || s.Name == cfg.Candidates[i].Name
		}
		assert.Equal(t, l.Outstanding > 0, used)
	}
	pool.Done(a, 10)
	for _, l := range pool.Loads() {
		assert.Equal(t, l.Outstanding, ferryid.Tokens(0))
	}
}

// An engine that failed one job is avoided by other jobs for a time, unless no other engine holds its layers.
func TestPoolAvoidsSuspects(t *testing.T) {
	clock := clockwork.NewFakeClock()
	cfg := ferrypipeline.PlannerConfig{Layers: 4, Candidates: ferrypipeline.Candidates{
		{Name: "quick", Layers: ferryid.LayerRange{To: 4}}, {Name: "slow", Layers: ferryid.LayerRange{To: 4}},
	}}
	pool, err := ferrypipeline.NewPool(cfg, []ferrypipeline.Load{{Rate: 1000}, {Rate: 1}}, clock)
	assert.NilError(t, err)
	pick := func(exclude ...ferryid.UpstreamName) ferryid.UpstreamName {
		plan, err := pool.Pick(&ferrypipeline.Job{MaxTokens: 10}, exclude)
		assert.NilError(t, err)
		defer pool.Done(plan, 0)
		return plan.Stages[0].Name
	}
	assert.Equal(t, pick(), ferryid.UpstreamName("quick"))
	assert.Equal(t, pick("quick"), ferryid.UpstreamName("slow"))
	assert.Equal(t, pick(), ferryid.UpstreamName("slow"), "another job got the engine that just failed")
	assert.Equal(t, pick("slow"), ferryid.UpstreamName("quick"), "a suspected engine must be used if there is no other")
	clock.Advance(time.Second)
	assert.Equal(t, pick(), ferryid.UpstreamName("quick"))
	assert.Equal(t, pick("quick"), ferryid.UpstreamName("slow"))
	clock.Advance(time.Second)
	assert.Equal(t, pick(), ferryid.UpstreamName("slow"), "the second suspicion is no longer than the first")
}

// An engine without free slots ranks behind a slower one with free slots; among full ones the least overfull
// is first.
func TestPoolRespectsSlots(t *testing.T) {
	cfg := ferrypipeline.PlannerConfig{Layers: 4, Candidates: ferrypipeline.Candidates{
		{Name: "quick", Layers: ferryid.LayerRange{To: 4}}, {Name: "slow", Layers: ferryid.LayerRange{To: 4}},
	}}
	pool, err := ferrypipeline.NewPool(cfg, []ferrypipeline.Load{{Rate: 1000, Slots: 2}, {Rate: 100, Slots: 1}}, clockwork.NewFakeClock())
	assert.NilError(t, err)
	var plans []ferrypipeline.Plan
	var names []ferryid.UpstreamName
	for range 5 {
		plan, err := pool.Pick(&ferrypipeline.Job{MaxTokens: 10}, nil)
		assert.NilError(t, err)
		plans, names = append(plans, plan), append(names, plan.Stages[0].Name)
	}
	assert.DeepEqual(t, names, []ferryid.UpstreamName{"quick", "quick", "slow", "quick", "slow"})
	assert.NilError(t, pool.Set(cfg, pool.Loads()))
	for _, p := range plans {
		pool.Done(p, 10)
	}
	assert.Equal(t, pool.Loads()[0].Running+pool.Loads()[1].Running, 0)
	pool.SetSlots("quick", 0)
	for range 3 {
		plan, err := pool.Pick(&ferrypipeline.Job{MaxTokens: 10}, nil)
		assert.NilError(t, err)
		assert.Equal(t, plan.Stages[0].Name, ferryid.UpstreamName("quick"), "0 slots must mean unbounded")
	}
}

// Measured link times change the choice; invalid measurements are ignored.
func TestPoolMeasuresLinks(t *testing.T) {
	cfg := ferrypipeline.PlannerConfig{Layers: 4, Candidates: ferrypipeline.Candidates{
		{Name: "a", Address: "a", Domain: "x", Layers: ferryid.LayerRange{To: 2}},
		{Name: "b", Address: "b", Domain: "y", Layers: ferryid.LayerRange{From: 2, To: 4}},
		{Name: "c", Address: "c", Domain: "z", Layers: ferryid.LayerRange{From: 2, To: 4}},
	}}
	pool, err := ferrypipeline.NewPool(cfg, []ferrypipeline.Load{{Rate: 100}, {Rate: 101}, {Rate: 100}}, clockwork.NewFakeClock())
	assert.NilError(t, err)
	pick := func() ferrypipeline.Plan {
		plan, err := pool.Pick(&ferrypipeline.Job{MaxTokens: 10}, nil)
		assert.NilError(t, err)
		pool.Done(plan, 10)
		return plan
	}
	plan := pick()
	assert.Equal(t, plan.Stages[1].Name, ferryid.UpstreamName("b"))
	pool.Observe(plan, []ferryengine.StageTime{{Stage: "a", Steps: 10, HopMicros: 1e9}, {Stage: "another", Steps: 10}})
	pool.Observe(plan, []ferryengine.StageTime{{Stage: "a", Steps: 10, HopMicros: 1e9}})
	assert.Equal(t, pick().Stages[1].Name, ferryid.UpstreamName("b"))
	pool.Observe(plan, []ferryengine.StageTime{{Stage: "a", Steps: 10, HopMicros: 300000, HeldMicros: 400000}, {Stage: "b", Steps: 10, HeldMicros: 100000}})
	assert.Equal(t, pick().Stages[1].Name, ferryid.UpstreamName("c"))
	assert.NilError(t, pool.Set(cfg, pool.Loads()))
	assert.Equal(t, pick().Stages[1].Name, ferryid.UpstreamName("c"), "Set dropped the measured links")
}

func TestPoolReport(t *testing.T) {
	clock := clockwork.NewFakeClock()
	cfg := ferrypipeline.PlannerConfig{Layers: 4, Candidates: ferrypipeline.Candidates{
		{Name: "quick", Layers: ferryid.LayerRange{To: 4}}, {Name: "slow", Layers: ferryid.LayerRange{To: 4}},
	}}
	pool, err := ferrypipeline.NewPool(cfg, []ferrypipeline.Load{{Rate: 1000}, {Rate: 500}}, clock)
	assert.NilError(t, err)
	pick := func() ferrypipeline.Plan {
		plan, err := pool.Pick(&ferrypipeline.Job{MaxTokens: 100}, nil)
		assert.NilError(t, err)
		return plan
	}
	good := ferryengine.Load{Name: "quick", State: ferryengine.StateLive, TokensPerSecond: 1000, OutstandingTokens: 5000, At: clock.Now()}
	for _, tt := range []struct {
		name   string
		change func(l *ferryengine.Load)
	}{
		{"unknown", func(l *ferryengine.Load) { l.Name = "another" }},
		{"future", func(l *ferryengine.Load) { l.At = clock.Now().Add(time.Hour) }},
		{"negative", func(l *ferryengine.Load) { l.OutstandingTokens = -1 }},
		{"huge", func(l *ferryengine.Load) { l.OutstandingTokens = 1 << 60 }},
		{"not a number", func(l *ferryengine.Load) { l.TokensPerSecond = ferryid.TokensPerSecond(math.NaN()) }},
	} {
		bad := good
		tt.change(&bad)
		assert.Assert(t, pool.Report(bad) != nil, tt.name)
	}
	assert.Equal(t, pool.RefusedReports(), 5)
	first := pick()
	assert.Equal(t, first.Stages[0].Name, ferryid.UpstreamName("quick"), "a refused report changed the choice")
	assert.NilError(t, pool.Report(good))
	assert.Equal(t, pool.Loads()[0].Outstanding, ferryid.Tokens(5000), "own work counted twice")
	assert.Equal(t, pick().Stages[0].Name, ferryid.UpstreamName("slow"))
	pool.Done(first, 100)
	assert.Equal(t, pool.Loads()[0].Outstanding, ferryid.Tokens(4900))
	older := good
	older.At = clock.Now().Add(-time.Second)
	older.OutstandingTokens = 0
	assert.Assert(t, pool.Report(older) != nil)
	good.State = ferryengine.StateLeaving
	assert.NilError(t, pool.Report(good))
	assert.Assert(t, pool.Loads()[0].Avoid)
	good.State = ferryengine.StateLive
	assert.NilError(t, pool.Report(good))
	assert.Assert(t, pool.Loads()[0].Avoid, "a live report cleared Avoid of a leaving engine")
	pool.Avoid(good.Name, false)
	assert.Assert(t, !pool.Loads()[0].Avoid)
}

func TestPlace(t *testing.T) {
	r := rand.New(rand.NewPCG(1, 2))
	for range 200 {
		n := 1 + r.IntN(8)
		layers := ferryid.Layer(n + r.IntN(60))
		rates := make([]float64, n)
		for i := range rates {
			rates[i] = math.Pow(100, r.Float64())
		}
		placed, equal := ferrypipeline.Place(rates, layers), ferrypipeline.PlaceEqually(n, layers)
		next := ferryid.Layer(0)
		for _, p := range placed {
			assert.Assert(t, p.From == next && p.Len() > 0)
			next = p.To
		}
		assert.Equal(t, next, layers)
		assert.Assert(t, ferrypipeline.Bottleneck(rates, placed) >= ferrypipeline.Bottleneck(rates, equal)-1e-9)
	}
	assert.Assert(t, ferrypipeline.Place([]float64{1, 1}, 1) == nil)
}

// simulatePolicy assigns 5000 jobs to engines by a policy, all at once. It returns the token rate until the
// last engine finishes, as a fraction of the upper bound.
func simulatePolicy(b *testing.B, choose func(p *ferrypipeline.Planner, loads []ferrypipeline.Load, plan *ferrypipeline.Plan, tokens ferryid.Tokens)) float64 {
	cfg, loads := fleet48()
	p, err := ferrypipeline.NewPlanner(cfg)
	assert.NilError(b, err)
	index := map[ferryid.UpstreamName]int{}
	groups := map[ferryid.LayerRange]float64{}
	for i, c := range cfg.Candidates {
		index[c.Name] = i
		loads[i].Outstanding = 0
		groups[c.Layers] += float64(loads[i].Rate)
	}
	bound := math.Inf(1)
	for _, rate := range groups {
		bound = min(bound, rate)
	}
	r := rand.New(rand.NewPCG(3, 4))
	total := ferryid.Tokens(0)
	var plan ferrypipeline.Plan
	for range 5000 {
		tokens := ferryid.Tokens(20 + r.IntN(400))
		total += tokens
		choose(p, loads, &plan, tokens)
		for _, s := range plan.Stages {
			loads[index[s.Name]].Outstanding += ferryid.Tokens(float64(tokens) * s.Share)
		}
	}
	worst := 0.0
	for _, l := range loads {
		worst = max(worst, float64(l.Outstanding)/float64(l.Rate))
	}
	return float64(total) / worst / bound
}

func BenchmarkPolicies(b *testing.B) {
	r := rand.New(rand.NewPCG(5, 6))
	flat := make([]ferrypipeline.Load, 48)
	for _, tt := range []struct {
		name   string
		choose func(p *ferrypipeline.Planner, loads []ferrypipeline.Load, plan *ferrypipeline.Plan, tokens ferryid.Tokens)
	}{
		{"LeastWork", func(p *ferrypipeline.Planner, loads []ferrypipeline.Load, plan *ferrypipeline.Plan, tokens ferryid.Tokens) {
			_ = p.Choose(loads, nil, tokens, plan)
		}},
		{"Random", func(p *ferrypipeline.Planner, _ []ferrypipeline.Load, plan *ferrypipeline.Plan, tokens ferryid.Tokens) {
			for i := range flat {
				flat[i] = ferrypipeline.Load{Rate: ferryid.TokensPerSecond(1 + r.Float64())}
			}
			_ = p.Choose(flat, nil, tokens, plan)
		}},
		{"EqualShares", func(p *ferrypipeline.Planner, loads []ferrypipeline.Load, plan *ferrypipeline.Plan, tokens ferryid.Tokens) {
			for i := range flat {
				flat[i] = ferrypipeline.Load{Rate: 1, Outstanding: loads[i].Outstanding}
			}
			_ = p.Choose(flat, nil, tokens, plan)
		}},
	} {
		b.Run(tt.name, func(b *testing.B) {
			share := 0.0
			for b.Loop() {
				share = simulatePolicy(b, tt.choose)
			}
			b.ReportMetric(100*share, "%-of-bound")
		})
	}
}

func BenchmarkPlacement(b *testing.B) {
	rates := []float64{3200, 3200, 1600, 800, 400, 200, 64, 32}
	var placed, equal float64
	for b.Loop() {
		placed = float64(ferrypipeline.Bottleneck(rates, ferrypipeline.Place(rates, 64)))
		equal = float64(ferrypipeline.Bottleneck(rates, ferrypipeline.PlaceEqually(len(rates), 64)))
	}
	b.ReportMetric(placed, "placed-tokens/s")
	b.ReportMetric(equal, "equal-tokens/s")
}

// Measures the link time per token of chains of eight stages over three failure domains, with and without
// link costs in the choice.
func BenchmarkLinks(b *testing.B) {
	cfg, loads := fleet48()
	for pair := range cfg.Links {
		cfg.Links[pair] = 5 * time.Millisecond
	}
	withoutLinks := cfg
	withoutLinks.Links = nil
	for _, tt := range []struct {
		name string
		cfg  ferrypipeline.PlannerConfig
	}{{"Weighed", cfg}, {"Blind", withoutLinks}} {
		b.Run(tt.name, func(b *testing.B) {
			p, err := ferrypipeline.NewPlanner(tt.cfg)
			assert.NilError(b, err)
			r := rand.New(rand.NewPCG(7, 8))
			var plan ferrypipeline.Plan
			var paid time.Duration
			n := 0
			for b.Loop() {
				for i := range loads {
					loads[i] = ferrypipeline.Load{Rate: ferryid.TokensPerSecond(100 + r.IntN(5000)), Outstanding: ferryid.Tokens(r.IntN(500))}
				}
				if err := p.Choose(loads, nil, 200, &plan); err != nil {
					b.Fatal(err)
				}
				for i := 1; i < len(plan.Stages); i++ {
					paid += cfg.Links[[2]ferryid.DomainName{plan.Stages[i-1].Domain, plan.Stages[i].Domain}]
				}
				n++
			}
			b.ReportMetric(paid.Seconds()*1e3/float64(n), "ms-of-links/token")
		})
	}
}
