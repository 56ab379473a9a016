package ferryplacement

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"cactusferry.dev/ferry/ferryconfig"
	"cactusferry.dev/ferry/ferryid"
)

// randomPool draws a model and the engines of one failure domain.
func randomPool(t *rapid.T) (*ferryconfig.Model, []Engine) {
	m := model()
	m.Layers = rapid.IntRange(1, 100).Draw(t, "layers")
	m.EngineTokens = rapid.SampledFrom([]int{0, 1, 10000, 50000, 100000, 300000}).Draw(t, "tokens")
	var engines []Engine
	for i := range rapid.IntRange(1, 24).Draw(t, "engines") {
		kind := rapid.SampledFrom([]string{"huge", "large", "mid", "small"}).Draw(t, "kind")
		engines = append(engines, Engine{Name: ferryid.UpstreamName(fmt.Sprintf("e%03d", i)), Domain: "a", Accelerator: accelerators[kind], Age: time.Minute})
	}
	return m, engines
}

// TestSpreadHoldsEveryLayer guards against a placement for scarce memory that takes the last holder of a layer away, that
// gives an engine more layers than its capacity, or that leaves less memory at the weakest layer than the placement
// without it.
func TestSpreadHoldsEveryLayer(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m, engines := randomPool(t)
		before := newPlan(Input{Model: m, Engines: engines})
		before.distribute(before.engines)
		without := &spread{plan: before}
		without.count()
		_, leastBefore, _ := without.weakest()

		p := newPlan(Input{Model: m, Engines: engines, FavorMemory: true})
		s := p.spreadForDemand(p.engines)
		if p.total(p.engines) >= m.Layers {
			for at := range s.layers {
				assert.Assert(t, len(s.layers[at].holders) > 0, "no engine holds layer %d", at)
			}
		}
		for _, e := range s.plan.engines {
			assert.Assert(t, e.Held.From >= 0 && int(e.Held.To) <= m.Layers, "%s holds %s of %d", e.Name, e.Held, m.Layers)
			assert.Assert(t, e.Held.Len() <= p.capacity(e), "%s holds %s, capacity %d", e.Name, e.Held, p.capacity(e))
		}
		_, least, _ := s.weakest()
		assert.Equal(t, s.least, least)
		assert.Assert(t, least >= leastBefore, "least memory %v, %v without the demand", least, leastBefore)
	})
}

// TestSpreadIsStable guards against a placement for scarce memory that the next plans change although no engine has
// joined or left: each further order makes an engine load layers and takes memory from requests.
func TestSpreadIsStable(t *testing.T) {
	for _, text := range []string{mixed, "a: 3 huge 16 mid 14 small", "a: 2 huge 9 mid 24 small", "a: 1 huge 2 large 12 mid 12 small", "a: 9 mid 6 small"} {
		for _, tokens := range []int{20000, 50000, 100000} {
			m := model()
			m.EngineTokens = tokens
			engines := fleet(text)
			in := Input{Model: m, Engines: engines, FavorMemory: true}
			apply(engines, Plan(in))
			assert.Equal(t, len(Plan(in)), 0, "%s, %d tokens", text, tokens)
		}
	}
}

// TestSpreadOverFailureDomains guards against a placement for scarce memory that leaves layers without a holder, or that
// never settles, where no failure domain can hold the model alone.
func TestSpreadOverFailureDomains(t *testing.T) {
	m := model()
	engines := fleet("a: 4 mid; b: 3 mid 1 small; c: 1 large 3 small")
	in := Input{Model: m, Engines: engines, FavorMemory: true}
	apply(engines, Plan(in))
	in.Lacking = map[ferryid.DomainName]time.Duration{"a": time.Minute, "b": time.Minute, "c": time.Minute}
	for round := range 20 {
		for l, n := range holders(engines, "", m.Layers) {
			assert.Assert(t, n > 0, "round %d: no engine holds layer %d:\n%s", round, l, describe(engines))
		}
		apply(engines, Plan(in))
	}
	assert.Equal(t, len(Plan(in)), 0)
}

// TestSpreadIsKept guards against a placement that is computed anew for each plan, which took most of the time of a
// placer's step, and against one that is kept although the engines or the model have changed.
func TestSpreadIsKept(t *testing.T) {
	engines := fleet("a: 9 mid 6 small")
	in := Input{Model: model(), Engines: engines, FavorMemory: true, spreads: map[ferryid.DomainName]*spread{}}
	spreadOf := func() *spread {
		p := newPlan(in)
		return p.spreadForDemand(p.engines)
	}
	first := spreadOf()
	assert.Assert(t, spreadOf() == first)
	in.Engines = engines[1:]
	fewer := spreadOf()
	assert.Assert(t, fewer != first)
	in.Model = model()
	assert.Assert(t, spreadOf() != fewer)
}

// TestBalanceOfFirstLayers guards against a balance that never moves engines to a weak layer near the first one, as the
// lowest range with that layer would begin before it.
func TestBalanceOfFirstLayers(t *testing.T) {
	m := model()
	m.Layers = 10
	engines := fleet("a: 6 mid")
	for i := range engines {
		engines[i].Held = ferryid.LayerRange{From: 5, To: 10}
		if i < 2 {
			engines[i].Held = ferryid.LayerRange{To: 5}
		}
	}
	s := &spread{plan: newPlan(Input{Model: m, Engines: engines})}
	s.count()
	_, before, _ := s.weakest()
	s.balance()
	assert.Equal(t, s.least, 2*before)
}

// BenchmarkSpreadForDemand plans for 1,600 engines in 8 failure domains that hold no layers.
func BenchmarkSpreadForDemand(b *testing.B) {
	m := model()
	m.EngineTokens = 50000
	var engines []Engine
	for i := range 8 {
		engines = append(engines, fleet(fmt.Sprintf("d%d: 16 huge 24 large 80 mid 80 small", i))...)
	}
	b.Run("fresh", func(b *testing.B) {
		for b.Loop() {
			Plan(Input{Model: m, Engines: engines, FavorMemory: true})
		}
	})
	apply(engines, Plan(Input{Model: m, Engines: engines, FavorMemory: true}))
	spreads := map[ferryid.DomainName]*spread{}
	b.Run("placed", func(b *testing.B) {
		for b.Loop() {
			Plan(Input{Model: m, Engines: engines, FavorMemory: true, spreads: spreads})
		}
	})
}
