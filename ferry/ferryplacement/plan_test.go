package ferryplacement

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"
	"pgregory.net/rapid"

	"cactusferry.dev/ferry/ferryconfig"
	"cactusferry.dev/ferry/ferryid"
)

// accelerators are accelerators of very different sizes, as in mixed installations.
var accelerators = map[string]ferryconfig.Accelerator{
	"huge":  {Name: "huge", Memory: 72000, StepFactor: 1.4, ReadFactor: 1},
	"large": {Name: "large", Memory: 36000, StepFactor: 3.1, ReadFactor: 3.2},
	"mid":   {Name: "mid", Memory: 21600, StepFactor: 16, ReadFactor: 8.2},
	"small": {Name: "small", Memory: 14400, StepFactor: 15, ReadFactor: 15},
}

func model() *ferryconfig.Model {
	return &ferryconfig.Model{Layers: 80, LayerSize: 1750, TokenBytes: 590000, EngineTokens: 100000, LoadTime: 14 * time.Second, LoadsAtOnce: 6}
}

// fleet parses engines from a description such as "a: 2 large 4 mid; b: 1 huge".
func fleet(text string) []Engine {
	var out []Engine
	for _, part := range strings.Split(text, ";") {
		domain, rest, _ := strings.Cut(strings.TrimSpace(part), ":")
		words := strings.Fields(rest)
		for i := 0; i+1 < len(words); i += 2 {
			var n int
			_, _ = fmt.Sscan(words[i], &n)
			for k := range n {
				out = append(out, Engine{
					Name:   ferryid.UpstreamName(fmt.Sprintf("%s-%s-%02d", domain, words[i+1], k)),
					Domain: ferryid.DomainName(domain), Accelerator: accelerators[words[i+1]], Age: time.Minute,
				})
			}
		}
	}
	return out
}

const mixed = "a: 2 large 4 mid 7 small; b: 1 huge 1 large 5 mid 7 small; c: 1 large 8 mid 3 small"

// apply executes orders immediately.
func apply(engines []Engine, orders []Order) {
	for _, o := range orders {
		for i := range engines {
			if engines[i].Name == o.Engine {
				engines[i].Held, engines[i].Live = o.Layers, o.Layers
			}
		}
	}
}

// settle plans until there are no more orders, and fails if there still are some after 50 rounds.
func settle(t rapid.TB, m *ferryconfig.Model, engines []Engine, lacking map[ferryid.DomainName]time.Duration) {
	for range 50 {
		orders := Plan(Input{Model: m, Engines: engines, Lacking: lacking})
		if len(orders) == 0 {
			return
		}
		apply(engines, orders)
	}
	t.Fatalf("Plan still returns orders after 50 rounds")
}

func holders(engines []Engine, d ferryid.DomainName, layers int) []int {
	out := make([]int, layers)
	for _, e := range engines {
		for l := int(e.Held.From); l < int(e.Held.To) && (d == "" || e.Domain == d); l++ {
			out[l]++
		}
	}
	return out
}

func describe(engines []Engine) string {
	sorted := slices.Clone(engines)
	slices.SortFunc(sorted, func(a, b Engine) int {
		return cmp.Or(cmp.Compare(a.Domain, b.Domain), cmp.Compare(a.Held.From, b.Held.From), cmp.Compare(a.Name, b.Name))
	})
	var b strings.Builder
	for _, e := range sorted {
		fmt.Fprintf(&b, "%s %s\n", e.Name, e.Held)
	}
	return b.String()
}

func TestPlanForEmptyEngines(t *testing.T) {
	engines := fleet(mixed)
	settle(t, model(), engines, nil)
	golden.Assert(t, describe(engines), "fresh.golden")
	for _, d := range []ferryid.DomainName{"a", "b", "c"} {
		here := holders(engines, d, 80)
		assert.Assert(t, slices.Min(here) >= 1, "domain %s lacks layers, holders: %v", d, here)
		assert.Assert(t, here[0] >= firstHolders, "the first layers of domain %s have %d holders", d, here[0])
	}
}

// TestPlacementForScarceMemory guards against a placement that gives memory for requests away to further copies of the
// layers, or that leaves one layer with much less of it than the others.
func TestPlacementForScarceMemory(t *testing.T) {
	for _, text := range []string{"a: 3 huge 16 mid 14 small", "b: 2 huge 9 mid 24 small", "c: 4 huge 11 mid 10 small"} {
		spare := func(scarce bool) (least, mean float64) {
			m := model()
			m.EngineTokens = 50000
			engines := fleet(text)
			for range 4 {
				apply(engines, Plan(Input{Model: m, Engines: engines, FavorMemory: scarce}))
			}
			p := newPlan(Input{Model: m, Engines: engines})
			s := &spread{plan: p}
			s.count()
			least = math.Inf(1)
			for at := range m.Layers {
				least = min(least, float64(s.layers[at].spare()))
				mean += float64(s.layers[at].spare()) / float64(m.Layers)
			}
			return least, mean
		}
		before, _ := spare(false)
		least, mean := spare(true)
		assert.Assert(t, least > 1.2*before, "%s: %v, %v without the demand", text, least, before)
		assert.Assert(t, least > 0.8*mean, "%s: least %v, mean %v", text, least, mean)
	}
}

// TestScarceMemoryLeavesNoLayerWithoutHolder guards against a balance that takes the only holder from a layer, in failure
// domains that hold little more than one copy of the model.
func TestScarceMemoryLeavesNoLayerWithoutHolder(t *testing.T) {
	m := model()
	engines := fleet(mixed)
	apply(engines, Plan(Input{Model: m, Engines: engines, FavorMemory: true}))
	for _, d := range []ferryid.DomainName{"a", "b", "c"} {
		here := holders(engines, d, m.Layers)
		assert.Assert(t, slices.Min(here) >= 1, "domain %s lacks layers, holders: %v", d, here)
	}
}

// TestEveryPlanKeepsToMemory checks the orders for random fleets that lose and gain engines: at most one for
// each engine, none for a fixed engine, and no range beyond the engine's capacity.
func TestEveryPlanKeepsToMemory(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := model()
		m.Layers = rapid.IntRange(1, 120).Draw(t, "layers")
		kinds := []string{"huge", "large", "mid", "small"}
		add := func(i int) Engine {
			kind := rapid.SampledFrom(kinds).Draw(t, "kind")
			return Engine{
				Name: ferryid.UpstreamName(fmt.Sprintf("e%03d", i)), Domain: ferryid.DomainName(rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "domain")),
				Accelerator: accelerators[kind], Age: time.Minute,
			}
		}
		var engines []Engine
		for range rapid.IntRange(0, 40).Draw(t, "engines") {
			engines = append(engines, add(len(engines)))
		}
		lacking := map[ferryid.DomainName]time.Duration{"a": time.Minute, "b": time.Minute, "c": time.Minute}
		for round := range rapid.IntRange(1, 8).Draw(t, "rounds") {
			orders := Plan(Input{Model: m, Engines: engines, Lacking: lacking})
			seen := map[ferryid.UpstreamName]bool{}
			for _, o := range orders {
				assert.Assert(t, !seen[o.Engine], "more than one order for an engine")
				seen[o.Engine] = true
				i := slices.IndexFunc(engines, func(e Engine) bool { return e.Name == o.Engine })
				most := capacity(m, engines[i].Accelerator, minRequestShare)
				assert.Assert(t, o.Layers.Len() >= 1 && o.Layers.Len() <= most, "order of %s for an engine with capacity %d", o.Layers, most)
				assert.Assert(t, int(o.Layers.To) <= m.Layers)
				assert.Assert(t, !engines[i].Fixed)
			}
			apply(engines, orders)
			if len(engines) > 0 && rapid.Bool().Draw(t, "loss") {
				engines = slices.Delete(engines, 0, 1)
			}
			engines = append(engines, add(1000+round))
		}
	})
}

// TestNoOrderMakesAGap checks that the orders after losses leave no layer without a holder that had one.
func TestNoOrderMakesAGap(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := model()
		engines := fleet(mixed)
		settle(t, m, engines, nil)
		for range rapid.IntRange(1, 6).Draw(t, "losses") {
			i := rapid.IntRange(0, len(engines)-1).Draw(t, "lost")
			engines = slices.Delete(engines, i, i+1)
			before := map[ferryid.DomainName][]int{}
			lacking := map[ferryid.DomainName]time.Duration{}
			for _, d := range []ferryid.DomainName{"a", "b", "c"} {
				before[d] = holders(engines, d, m.Layers)
				lacking[d] = time.Minute
			}
			for range 5 {
				apply(engines, Plan(Input{Model: m, Engines: engines, Lacking: lacking}))
				for d, counts := range before {
					for l, n := range holders(engines, d, m.Layers) {
						assert.Assert(t, n > 0 || counts[l] == 0, "layer %d of domain %s lost its last holder", l, d)
					}
				}
			}
		}
	})
}

func TestLossesAreCovered(t *testing.T) {
	for _, tt := range []struct{ name, lost string }{
		{"largest engine", "b-huge-00"}, {"large engine", "c-large-00"}, {"holder of middle layers", "c-mid-04"}, {"holder of first layers", "a-small-06"},
	} {
		t.Run(tt.name, func(t *testing.T) {
			m := model()
			engines := fleet(mixed)
			settle(t, m, engines, nil)
			i := slices.IndexFunc(engines, func(e Engine) bool { return e.Name == ferryid.UpstreamName(tt.lost) })
			d := engines[i].Domain
			engines = slices.Delete(engines, i, i+1)
			settle(t, m, engines, map[ferryid.DomainName]time.Duration{d: time.Minute})
			missing := 0
			for _, n := range holders(engines, d, m.Layers) {
				if n == 0 {
					missing++
				}
			}
			assert.Equal(t, missing, 0, "domain %s lacks %d layers:\n%s", d, missing, describe(engines))
		})
	}
}

func TestNewEngineWaitsForTheOneItReplaces(t *testing.T) {
	m := model()
	engines := fleet(mixed)
	settle(t, m, engines, nil)
	newEngine := Engine{Name: "new", Domain: "c", Accelerator: accelerators["mid"], Age: time.Second}
	engines = append(engines, newEngine)
	assert.Equal(t, len(Plan(Input{Model: m, Engines: engines})), 0, "orders although no layer is missing")
	i := slices.IndexFunc(engines, func(e Engine) bool { return e.Name == "c-mid-04" })
	lost := engines[i].Held
	engines = slices.Delete(engines, i, i+1)
	orders := Plan(Input{Model: m, Engines: engines})
	assert.DeepEqual(t, orders, []Order{{Engine: "new", Layers: lost}})
}

func TestMissingLayersAreLoadedAlone(t *testing.T) {
	m := model()
	engines := fleet(mixed)
	settle(t, m, engines, nil)
	i := slices.IndexFunc(engines, func(e Engine) bool { return e.Name == "b-small-03" })
	gap := engines[i].Held
	engines = slices.Delete(engines, i, i+1)
	engines = append(engines, Engine{Name: "new", Domain: "b", Accelerator: accelerators["huge"], Age: time.Minute})
	for _, e := range engines {
		if e.Name != "new" && e.Domain == "b" {
			for l := e.Held.From; l < e.Held.To; l++ {
				if gap.Contains(l) {
					t.Skipf("the layers of %s have another holder", gap)
				}
			}
		}
	}
	orders := Plan(Input{Model: m, Engines: engines})
	assert.DeepEqual(t, orders[0], Order{Engine: "new", Layers: gap})
}

func BenchmarkPlan(b *testing.B) {
	m := model()
	engines := fleet("a: 4 large 11 mid 18 small; b: 1 huge 2 large 13 mid 17 small; c: 1 huge 2 large 20 mid 9 small")
	for b.Loop() {
		Plan(Input{Model: m, Engines: engines})
	}
}
