package ferryplacement

import (
	"fmt"
	"math"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"cactusferry.dev/ferry/ferryconfig"
	"cactusferry.dev/ferry/ferryid"
)

// boundModel has no costs but the steps: a stream holds 14,950 tokens on each layer for each second that one
// token takes, 10 ms through all layers.
func boundModel() *ferryconfig.Model {
	return &ferryconfig.Model{Layers: 10, LayerSize: 100, TokenBytes: 10000, StepTime: 10 * time.Millisecond}
}

var boundDemand = Demand{Prompt: 100, Answer: 101}

const layerUse = 14950 * 0.010

func boundEngine(name string, domain ferryid.DomainName, from, to int, memory, factor float64) Engine {
	return Engine{
		Name: ferryid.UpstreamName(name), Domain: domain, Held: ferryid.LayerRange{From: ferryid.Layer(from), To: ferryid.Layer(to)},
		Accelerator: ferryconfig.Accelerator{Name: ferryconfig.AcceleratorName(name), Memory: ferryconfig.Megabytes(memory), StepFactor: factor, ReadFactor: factor},
	}
}

// TestKnownBounds guards against a wrong bound for placements that can be calculated by hand. An engine with 1,000 MB
// beside its layers has memory for a million tokens times layers.
func TestKnownBounds(t *testing.T) {
	alone := 1e6 / (10 * layerUse)
	for _, tt := range []struct {
		name    string
		change  func(*ferryconfig.Model)
		engines []Engine
		want    float64
	}{
		{"one engine", nil, []Engine{boundEngine("a", "x", 0, 10, 2000, 1)}, alone},
		{"two engines in series", nil, []Engine{boundEngine("a", "x", 0, 5, 1500, 1), boundEngine("b", "x", 5, 10, 1500, 1)}, 2 * alone},
		{"the smaller of two in series", nil, []Engine{boundEngine("a", "x", 0, 5, 1500, 1), boundEngine("b", "x", 5, 10, 750, 1)}, alone / 2},
		{"a missing layer", nil, []Engine{boundEngine("a", "x", 0, 5, 1500, 1), boundEngine("b", "x", 6, 10, 1500, 1)}, 0},
		{"no memory for requests", nil, []Engine{boundEngine("a", "x", 0, 10, 1000, 1)}, 0},
		{"no engines", nil, nil, 0},
		{"a slow copy", nil, []Engine{boundEngine("a", "x", 0, 10, 2000, 1), boundEngine("b", "x", 0, 10, 2000, 10)}, 1.1 * alone},
		{"a slow copy behind links without a rate", func(m *ferryconfig.Model) { m.HandoverBytes, m.DomainLinkRate = 1e9, 1e-9 }, []Engine{boundEngine("a", "x", 0, 10, 2000, 1), boundEngine("b", "y", 0, 10, 2000, 10)}, 1.1 * alone},
		// 50 streams/s cross in each direction: 200 tokens of 500 bytes at 40 Mbit/s.
		{"halves of the model behind links", func(m *ferryconfig.Model) { m.HandoverBytes, m.DomainLinkRate = 500, 40 }, []Engine{boundEngine("a", "x", 0, 5, 1500, 1), boundEngine("b", "y", 5, 10, 1500, 1)}, 100},
		// Prefill of a prompt takes 100 ms; 1,000 streams decode at once.
		{"slow prefill", func(m *ferryconfig.Model) { m.ReadRate = 1000 }, []Engine{boundEngine("a", "x", 0, 10, 2000, 1)}, 1 / (0.1 + 100*0.010/1000)},
		// A stream takes at least a second, and the engine begins three at once.
		{"slots of the first engine", func(m *ferryconfig.Model) { m.Slots = 3 }, []Engine{boundEngine("a", "x", 0, 10, 2000, 1)}, 3},
	} {
		t.Run(tt.name, func(t *testing.T) {
			m := boundModel()
			if tt.change != nil {
				tt.change(m)
			}
			got := PlacementBound(m, tt.engines, boundDemand)
			assert.Assert(t, math.Abs(got.Streams-tt.want) <= 1e-4*tt.want, "bound %v, want %v", got.Streams, tt.want)
			best := BestBound(m, tt.engines, boundDemand)
			if m.Slots == 0 {
				assert.Assert(t, best.Streams >= got.Streams*(1-1e-6), "bound over all placements %v is below that of one, %v", best.Streams, got.Streams)
			}
		})
	}
}

// TestWhatLimitsIsNamed guards against a report that names the wrong layers, engines or resource.
func TestWhatLimitsIsNamed(t *testing.T) {
	m := boundModel()
	engines := []Engine{boundEngine("a", "x", 0, 4, 1500, 1), boundEngine("b", "x", 4, 10, 750, 1), boundEngine("c", "x", 0, 4, 1500, 1)}
	got := PlacementBound(m, engines, boundDemand)
	assert.DeepEqual(t, got.All.Layers, []ferryid.LayerRange{{From: 4, To: 10}})
	assert.Equal(t, len(got.All.Engines), 1)
	assert.Equal(t, got.All.Engines[0].Engine.Name, ferryid.UpstreamName("b"))
	assert.Equal(t, got.All.Engines[0].Resource, Memory)
	assert.Equal(t, got.LinksBind(), false)

	got = PlacementBound(m, engines[:1], boundDemand)
	assert.DeepEqual(t, got.All.Layers, []ferryid.LayerRange{{From: 4, To: 10}})
}

// boundFleet draws a model with all costs and engines that hold all of its layers in two failure domains.
func boundFleet(t *rapid.T) (*ferryconfig.Model, []Engine) {
	m := &ferryconfig.Model{
		Layers: rapid.IntRange(1, 12).Draw(t, "layers"), LayerSize: 100, TokenBytes: 10000, StepTime: 5 * time.Millisecond,
		RequestTime: time.Duration(rapid.IntRange(0, 500).Draw(t, "request")) * time.Microsecond, ContextTime: 300 * time.Microsecond,
		ReadRate: 20000, PairTime: 5 * time.Millisecond, HandoverBytes: 500, DomainLinkRate: rapid.Float64Range(0, 50).Draw(t, "link"),
		Delays: []ferryconfig.Delay{{From: "x", To: "y", OneWay: time.Millisecond}},
	}
	factors := []float64{1, 3, 8}
	var engines []Engine
	for d, domain := range []ferryid.DomainName{"x", "y"} {
		for from := 0; from < m.Layers || rapid.IntRange(0, 2).Draw(t, "more") > 0; {
			if from >= m.Layers {
				from = rapid.IntRange(0, m.Layers-1).Draw(t, "from")
			}
			to := rapid.IntRange(from+1, m.Layers).Draw(t, "to")
			memory := float64(to-from)*100 + rapid.Float64Range(2, 200).Draw(t, "memory")
			f := rapid.SampledFrom(factors).Draw(t, "factor")
			e := boundEngine(fmt.Sprintf("%d-%d", d, len(engines)), domain, from, to, memory, f)
			e.Accelerator.Name = ferryconfig.AcceleratorName(fmt.Sprint(f))
			engines = append(engines, e)
			from = to
		}
	}
	return m, engines
}

// TestNoScheduleExceedsTheBound draws paths, shares of the streams and a number of streams in each step, and calculates the
// rate that they reach. It guards against a bound that a placement can exceed.
func TestNoScheduleExceedsTheBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m, engines := boundFleet(t)
		d := Demand{Prompt: 100, Answer: 60}
		m.UsualPrompt, m.UsualAnswer = float64(d.Prompt), float64(d.Answer)
		rate := scheduleRate(t, m, engines, d)
		bound := PlacementBound(m, engines, d)
		assert.Assert(t, rate <= bound.Streams*(1+1e-3), "a schedule reaches %v streams/s, the bound is %v", rate, bound.Streams)
		best := BestBound(m, engines, d)
		assert.Assert(t, rate <= best.Streams*(1+1e-3), "a schedule reaches %v streams/s, the bound over all placements is %v", rate, best.Streams)
	})
}

// scheduleRate returns the highest rate of streams over a few random paths at which no engine and no link is used for
// more than all of its time and memory.
func scheduleRate(t *rapid.T, m *ferryconfig.Model, engines []Engine, d Demand) float64 {
	steps := float64(d.Answer - 1)
	batch := rapid.SampledFrom([]int{1, 2, 5, 20, 100}).Draw(t, "batch")
	crossings := map[[2]ferryid.DomainName]float64{}
	busy, memory := make([]float64, len(engines)), make([]float64, len(engines))
	n := rapid.IntRange(1, 4).Draw(t, "paths")
	for range n {
		share := 1 / float64(n)
		used := map[int]int{}
		duration, last := 0.0, -1
		for l := range m.Layers {
			var can []int
			for i, e := range engines {
				if e.Held.Contains(ferryid.Layer(l)) {
					can = append(can, i)
				}
			}
			i := rapid.SampledFrom(can).Draw(t, "engine")
			if last >= 0 && rapid.IntRange(0, 3).Draw(t, "stay") > 0 && engines[last].Held.Contains(ferryid.Layer(l)) {
				i = last
			}
			if last >= 0 && engines[last].Domain != engines[i].Domain {
				crossings[[2]ferryid.DomainName{engines[last].Domain, engines[i].Domain}] += share
				duration += 0.001
			}
			last = i
			used[i]++
			duration += m.TokenTime(engines[i].Accelerator, 1, batch).Seconds()
		}
		for i, layers := range used {
			a := engines[i].Accelerator
			if float64(batch)*float64(d.Prompt)*float64(layers) > float64(m.RequestMemory(a, engines[i].Held.Len())) {
				return 0
			}
			busy[i] += share * (m.PrefillTime(a, layers).Seconds() + steps*m.TokenTime(a, layers, batch).Seconds()/float64(batch))
			memory[i] += share * steps * (float64(d.Prompt) + (steps-1)/2) * duration * float64(layers)
		}
	}
	rate := math.Inf(1)
	for i, e := range engines {
		if busy[i] > 0 {
			rate = min(rate, 1/busy[i], float64(m.RequestMemory(e.Accelerator, e.Held.Len()))/memory[i])
		}
	}
	for _, share := range crossings {
		if m.DomainLinkRate > 0 {
			bits := float64(m.HandoverBytes) * 8 * float64(d.Prompt+d.Answer-1)
			rate = min(rate, m.DomainLinkRate*1e6/(share*bits))
		}
	}
	return rate
}

// TestBoundOfSeriesIsClose compares the bound of equal engines in series with the best number of streams in each step. It
// guards against a bound that is too low, or so high that it says nothing.
func TestBoundOfSeriesIsClose(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m, _ := boundFleet(t)
		n := rapid.IntRange(1, 3).Draw(t, "engines")
		each := rapid.IntRange(1, 4).Draw(t, "each")
		m.Layers = n * each
		d := Demand{Prompt: 100, Answer: 60}
		m.UsualPrompt, m.UsualAnswer = float64(d.Prompt), float64(d.Answer)
		steps := float64(d.Answer - 1)
		memory := float64(each)*100 + rapid.Float64Range(2, 200).Draw(t, "request memory")
		var engines []Engine
		for i := range n {
			e := boundEngine("e", "x", i*each, (i+1)*each, memory, 2)
			e.Name = ferryid.UpstreamName(fmt.Sprint(i))
			engines = append(engines, e)
		}
		a := engines[0].Accelerator
		room := float64(m.RequestMemory(a, each))
		best := 0.0
		for batch := 1; float64(batch)*float64(d.Prompt)*float64(each) <= room; batch++ {
			time := m.TokenTime(a, each, batch).Seconds()
			held := steps * (float64(d.Prompt) + (steps-1)/2) * time * float64(n*each)
			best = max(best, min(room/held, 1/(m.PrefillTime(a, each).Seconds()+steps*time/float64(batch))))
		}
		got := PlacementBound(m, engines, d).Streams
		assert.Assert(t, got >= best*(1-1e-3) && got <= 1.25*best, "the best schedule reaches %v streams/s, the bound is %v", best, got)
	})
}

// TestMoreMemoryNeverLowersTheBound guards against a bound that depends on memory in the wrong direction.
func TestMoreMemoryNeverLowersTheBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m, engines := boundFleet(t)
		before, bestBefore := PlacementBound(m, engines, boundDemand), BestBound(m, engines, boundDemand)
		engines[rapid.IntRange(0, len(engines)-1).Draw(t, "which")].Accelerator.Memory += 300
		after, bestAfter := PlacementBound(m, engines, boundDemand), BestBound(m, engines, boundDemand)
		assert.Assert(t, after.Streams >= before.Streams*(1-1e-6), "%v after %v", after.Streams, before.Streams)
		assert.Assert(t, bestAfter.Streams >= bestBefore.Streams*(1-1e-6), "%v after %v over all placements", bestAfter.Streams, bestBefore.Streams)
	})
}

// TestEvenRateIsTheLeastCut compares evenRate with the least quotient over all sets of layers.
func TestEvenRateIsTheLeastCut(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		layers := rapid.IntRange(1, 7).Draw(t, "layers")
		var supplies []supply
		for range rapid.IntRange(0, 8).Draw(t, "supplies") {
			from := rapid.IntRange(0, layers-1).Draw(t, "from")
			to := rapid.IntRange(from, layers).Draw(t, "to")
			supplies = append(supplies, supply{layers: ferryid.LayerRange{From: ferryid.Layer(from), To: ferryid.Layer(to)}, rate: float64(rapid.IntRange(0, 20).Draw(t, "rate"))})
		}
		least := math.Inf(1)
		for bits := 1; bits < 1<<layers; bits++ {
			sum, size := 0.0, 0
			for l := range layers {
				size += bits >> l & 1
			}
			for _, s := range supplies {
				if (1<<s.layers.To-1)&^(1<<s.layers.From-1)&bits != 0 {
					sum += s.rate
				}
			}
			least = min(least, sum/float64(size))
		}
		got, set := evenRate(layers, supplies)
		assert.Assert(t, math.Abs(got-least) <= 1e-6*(1+least), "rate %v, want %v", got, least)
		assert.Equal(t, len(set), layers)
	})
}

// plannedFleet returns 1,600 engines of eight failure domains with the layers that they are given at first.
func plannedFleet() []Engine {
	text := ""
	for d := range 8 {
		text += fmt.Sprintf("d%d: 20 huge 40 large 80 mid 60 small;", d)
	}
	engines := fleet(text[:len(text)-1])
	apply(engines, Plan(Input{Model: model(), Engines: engines}))
	return engines
}

func BenchmarkPlan1600(b *testing.B) {
	engines := plannedFleet()
	for i := range engines {
		engines[i].Held, engines[i].Live = ferryid.LayerRange{}, ferryid.LayerRange{}
	}
	for b.Loop() {
		Plan(Input{Model: model(), Engines: engines})
	}
}

func BenchmarkBound1600(b *testing.B) {
	engines := plannedFleet()
	m := model()
	m.StepTime, m.RequestTime, m.ContextTime, m.ReadRate = time.Millisecond, 4*time.Microsecond, 5*time.Microsecond, 2e5
	m.HandoverBytes, m.DomainLinkRate, m.Slots = 25000, 8000, 192
	for name, bound := range map[string]func(*ferryconfig.Model, []Engine, Demand) *Bound{"placement": PlacementBound, "best": BestBound} {
		b.Run(name, func(b *testing.B) {
			for b.Loop() {
				bound(m, engines, Demand{Prompt: 774, Answer: 209})
			}
		})
	}
}
