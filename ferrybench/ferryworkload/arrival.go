package ferryworkload

import (
	"math"
	"math/rand/v2"
	"time"

	"cactusferry.dev/ferry/ferryid"
)

// PrefillShare is the work of prefilling one prompt token as a share of the work of generating one token.
const PrefillShare = 0.05

// Arrival is one call of an experiment. At is relative to the start; Tokens is the true length, unknown to
// policies.
type Arrival struct {
	At       time.Duration
	Customer ferryid.CustomerName
	Kind     *Kind
	Prompt   ferryid.Tokens
	Tokens   ferryid.Tokens
	Prefix   uint64
}

// Work returns the total work of the call in generated tokens, including the prefill.
func (a *Arrival) Work() float64 {
	return PrefillShare*float64(a.Prompt) + float64(a.Tokens)
}

// Load returns the offered load at a time as a share of the capacity.
func (ps Phases) Load(at time.Duration) float64 {
	load := 0.0
	for _, p := range ps {
		since := at - time.Duration(p.At)
		if since < 0 {
			break
		}
		if since >= time.Duration(p.Ramp) {
			load = p.Load
			continue
		}
		load += (p.Load - load) * float64(since) / float64(p.Ramp)
	}
	return load
}

func (ps Phases) peakLoad() float64 {
	m := 0.0
	for _, p := range ps {
		m = max(m, p.Load)
	}
	return m
}

// meanWork returns the expected work of a call; the mean of a log-normal distribution is its median times
// exp(spread^2/2).
func (ks Kinds) meanWork() float64 {
	sum, weights := 0.0, 0.0
	for _, k := range ks {
		f := math.Exp(k.Spread * k.Spread / 2)
		sum += k.Weight * (PrefillShare*float64(k.Prompt) + float64(k.Tokens)) * f
		weights += k.Weight
	}
	return sum / weights
}

func (w *Workload) expectedRequests() float64 {
	if len(w.Kinds) == 0 || w.Duration <= 0 || !w.withinLimits() {
		return 0
	}
	return w.Phases.peakLoad() * w.Bound() / w.Kinds.meanWork() * time.Duration(w.Duration).Seconds()
}

// withinLimits reports whether the numbers of runners, stages and layers are within limits, so that the bound
// can be computed.
func (w *Workload) withinLimits() bool {
	if w.Layout.Layers > maxLayers {
		return false
	}
	n := 0
	for _, r := range w.Runners {
		if r.Count < 1 || r.Count > maxRunners {
			return false
		}
		n += r.Count
	}
	for _, s := range w.Layout.Stages {
		if s < 1 || s > n || s > int(w.Layout.Layers) {
			return false
		}
	}
	return n > 0 && n <= maxRunners
}

// Arrivals generates the calls of the workload in order of time, as a Poisson process that is determined by
// the seed. The load of the phases is relative to Bound.
func (w *Workload) Arrivals() []Arrival {
	rng := rand.New(rand.NewPCG(w.Seed, 2))
	maxRate := w.Phases.peakLoad() * w.Bound() / w.Kinds.meanWork()
	var out []Arrival
	at := time.Duration(0)
	for maxRate > 0 {
		at += time.Duration(rng.ExpFloat64() / maxRate * float64(time.Second))
		if at >= time.Duration(w.Duration) {
			break
		}
		if rng.Float64()*w.Phases.peakLoad() > w.Phases.Load(at) {
			continue
		}
		out = append(out, w.newArrival(rng, at))
	}
	return out
}

func (w *Workload) newArrival(rng *rand.Rand, at time.Duration) Arrival {
	k := &w.Kinds[weightedIndex(rng, len(w.Kinds), func(i int) float64 { return w.Kinds[i].Weight })]
	cu := w.Customers[weightedIndex(rng, len(w.Customers), func(i int) float64 { return w.Customers[i].Load })]
	factor := math.Exp(k.Spread * rng.NormFloat64())
	a := Arrival{At: at, Customer: cu.Name, Kind: k}
	a.Prompt = ferryid.Tokens(math.Ceil(float64(k.Prompt) * math.Exp(k.Spread*rng.NormFloat64())))
	a.Tokens = max(1, ferryid.Tokens(float64(k.Tokens)*factor))
	if k.MaxTokens > 0 {
		a.Tokens = min(a.Tokens, k.MaxTokens)
	}
	if k.Prefixes > 0 {
		a.Prefix = 1 + uint64(rng.IntN(k.Prefixes))
		a.Prompt = max(a.Prompt, k.Shared)
	}
	return a
}

func weightedIndex(rng *rand.Rand, n int, weight func(int) float64) int {
	sum := 0.0
	for i := range n {
		sum += weight(i)
	}
	x := rng.Float64() * sum
	for i := range n {
		if x -= weight(i); x < 0 {
			return i
		}
	}
	return n - 1
}
