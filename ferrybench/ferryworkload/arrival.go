package ferryworkload

import (
	"math"
	"math/rand/v2"
	"time"

	"cactusferry.dev/ferry/ferryid"
)

// PrefillShare is the work of reading one token of a prompt, as a share of generating one.
const PrefillShare = 0.05

// Arrival is one call of an experiment; Tokens is its true length, which policies do not know beforehand.
type Arrival struct {
	At       time.Duration
	Customer ferryid.CustomerName
	Kind     *Kind
	Prompt   ferryid.Tokens
	Tokens   ferryid.Tokens
	Prefix   uint64
}

// Work is the whole work of the call in tokens generated.
func (a *Arrival) Work() float64 {
	return PrefillShare*float64(a.Prompt) + float64(a.Tokens)
}

// Load is the offered load at a time, as a share of the capacity.
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

func (ps Phases) most() float64 {
	m := 0.0
	for _, p := range ps {
		m = max(m, p.Load)
	}
	return m
}

// meanWork is the expected work of a call; a log-normal's mean is its median times exp(spread^2/2).
func (ks Kinds) meanWork() float64 {
	sum, weights := 0.0, 0.0
	for _, k := range ks {
		f := math.Exp(k.Spread * k.Spread / 2)
		sum += k.Weight * (PrefillShare*float64(k.Prompt) + float64(k.Tokens)) * f
		weights += k.Weight
	}
	return sum / weights
}

func (w *Workload) expected() float64 {
	if len(w.Kinds) == 0 || w.Duration <= 0 || !w.sized() {
		return 0
	}
	return w.Phases.most() * w.Bound() / w.Kinds.meanWork() * time.Duration(w.Duration).Seconds()
}

// sized reports whether the runners and stages are sound enough to work the bound out.
func (w *Workload) sized() bool {
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

// Arrivals draws the calls of the workload by its seed, in order of time; load is relative to the stated bound.
func (w *Workload) Arrivals() []Arrival {
	rng := rand.New(rand.NewPCG(w.Seed, 2))
	most := w.Phases.most() * w.Bound() / w.Kinds.meanWork()
	var out []Arrival
	at := time.Duration(0)
	for most > 0 {
		at += time.Duration(rng.ExpFloat64() / most * float64(time.Second))
		if at >= time.Duration(w.Duration) {
			break
		}
		if rng.Float64()*w.Phases.most() > w.Phases.Load(at) {
			continue
		}
		out = append(out, w.draw(rng, at))
	}
	return out
}

func (w *Workload) draw(rng *rand.Rand, at time.Duration) Arrival {
	k := &w.Kinds[pick(rng, len(w.Kinds), func(i int) float64 { return w.Kinds[i].Weight })]
	cu := w.Customers[pick(rng, len(w.Customers), func(i int) float64 { return w.Customers[i].Load })]
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

func pick(rng *rand.Rand, n int, weight func(int) float64) int {
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
