package ferryworkload

import (
	"fmt"
	"time"

	"cactusferry.dev/ferry/ferryid"
	"cactusferry.dev/ferry/ferryroute"
)

// Unit is a destination of calls: a runner with the whole model, or a pipeline of runners with a range of
// layers each.
type Unit struct {
	Name       ferryid.UpstreamName
	Rate       float64
	StreamRate float64
	Slots      int
	Prefixes   int
	Stages     int
	Curve      Curve
}

// UnitList returns the units of the workload. The rate of a pipeline is that of its slowest stage; the time
// per token of one stream is the sum over all stages and links.
func (w *Workload) UnitList() []Unit {
	var all []Runner
	for _, r := range w.Runners {
		for range r.Count {
			all = append(all, r)
		}
	}
	if len(w.Layout.Stages) == 0 {
		return wholeModelUnits(all)
	}
	var out []Unit
	stride := coprimeStride(len(all))
	at := 0
	for i, n := range w.Layout.Stages {
		stages := make([]Runner, 0, n)
		for range n {
			stages = append(stages, all[at])
			at = (at + stride) % len(all)
		}
		out = append(out, w.Layout.unit(i, stages))
	}
	return out
}

// coprimeStride returns a stride that visits all n runners and distributes the groups of runners over the
// pipelines.
func coprimeStride(n int) int {
	for s := n/3 + 1; ; s++ {
		if gcd(s, n) == 1 {
			return s
		}
	}
}

func gcd(a, b int) int {
	for b != 0 {
		a, b = b, a%b
	}
	return a
}

func wholeModelUnits(all []Runner) []Unit {
	var out []Unit
	for i, r := range all {
		out = append(out, Unit{
			Name: ferryid.UpstreamName(fmt.Sprintf("%s-%02d", r.Name, i)),
			Rate: r.Rate, StreamRate: r.StreamRate, Slots: r.Slots, Prefixes: r.Prefixes, Stages: 1, Curve: r.Curve,
		})
	}
	return out
}

func (l Layout) unit(i int, stages []Runner) Unit {
	rates := make([]ferryid.TokensPerSecond, 0, len(stages))
	for _, s := range stages {
		rates = append(rates, ferryid.TokensPerSecond(s.Rate))
	}
	if l.Equal {
		for j := range rates {
			rates[j] = 1
		}
	}
	u := Unit{Name: ferryid.UpstreamName(fmt.Sprintf("pipeline-%02d", i)), Stages: len(stages)}
	perToken := 0.0
	for j, r := range ferryroute.SplitLayers(l.Layers, rates) {
		part := float64(r.Len()) / float64(l.Layers)
		if part == 0 {
			continue
		}
		rate := stages[j].Rate / part
		if u.Rate == 0 || rate < u.Rate {
			u.Rate = rate
		}
		perToken += part/stages[j].StreamRate + time.Duration(l.LinkDelay).Seconds()
		u.Slots += stages[j].Slots
		u.Prefixes += stages[j].Prefixes
	}
	u.StreamRate = 1 / perToken
	return u
}

// Bound returns the maximum throughput of all units in tokens/s.
func (w *Workload) Bound() float64 {
	sum := 0.0
	for _, u := range w.UnitList() {
		sum += min(u.Rate, float64(u.Slots)*u.StreamRate)
	}
	return sum
}

// IdealBound returns the sum of the runners' rates in tokens/s, which pipelines of equally fast stages would
// reach.
func (w *Workload) IdealBound() float64 {
	sum := 0.0
	for _, r := range w.Runners {
		sum += float64(r.Count) * r.Rate
	}
	return sum
}
