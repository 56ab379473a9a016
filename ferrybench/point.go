package main

import (
	"fmt"
	"math"
	"strconv"
	"time"

	"cactusferry.dev/ferry/ferryid"
	"cactusferry.dev/ferrybench/ferryexperiment"
	"cactusferry.dev/ferrybench/ferryworkload"
)

// point is one of the numbered targets for the policy, measured with one workload.
type point struct {
	number   int
	workload string
	measure  func(*ferryworkload.Workload, ferryexperiment.Policy) (measures, *ferryexperiment.Result)
}

// measure is the value and target of one quantity.
type measure struct {
	name   string
	unit   string
	target target
	value  float64
}

type measures []measure

var points = []point{
	{1, "holding", measureHolding},
	{2, "crest", measureCrest},
	{3, "pipelines", measurePipelines},
	{3, "affinity", measureAffinity},
	{4, "recovery", measureRecovery},
	{4, "slow", measureSlow},
	{5, "fairness", measureFairness},
	{6, "entries", measureEntries},
	{8, "shortage", measureShortage},
}

// measurePoint runs both policies on the same arrivals.
func measurePoint(p point) ([]figure, []*ferryexperiment.Result, error) {
	w, err := readWorkload(p.workload)
	if err != nil {
		return nil, nil, err
	}
	base, baseResult := p.measure(w, ferryexperiment.Baseline)
	now, nowResult := p.measure(w, ferryexperiment.Present)
	var out []figure
	for i, m := range now {
		out = append(out, figure{
			Point: strconv.Itoa(p.number), Measure: m.name, Unit: m.unit, Target: m.target,
			Baseline: base[i].value, Now: m.value, Met: m.target.met(m.value), Workload: p.workload, Seed: w.Seed,
			Command: fmt.Sprintf("ferrybench policy --point %d", p.number),
		})
	}
	return out, []*ferryexperiment.Result{baseResult, nowResult}, nil
}

func ratio(a, b time.Duration) float64 { return float64(a) / float64(max(1, b)) }

func share(a, b int) float64 { return float64(a) / float64(max(1, b)) }

func served(s *ferryexperiment.Second) float64  { return s.Served }
func inTime(s *ferryexperiment.Second) float64  { return s.InTime }
func offered(s *ferryexperiment.Second) float64 { return s.Offered }

// withoutStragglers returns the arrivals except stragglers.
func withoutStragglers(as []ferryworkload.Arrival) []ferryworkload.Arrival {
	var out []ferryworkload.Arrival
	for _, a := range as {
		if !a.Kind.Straggler {
			out = append(out, a)
		}
	}
	return out
}

func measureHolding(w *ferryworkload.Workload, p ferryexperiment.Policy) (measures, *ferryexperiment.Result) {
	as := w.Arrivals()
	r := ferryexperiment.Run(w, as, p)
	alone := ferryexperiment.Run(w, withoutStragglers(as), p)
	short, long := r.Kind("question"), r.Kind("robot-log")
	unfinished := long.Offered - long.InTime - long.Late
	return measures{
		{"short work's p99 wait for the first token beside stragglers, over that without them", "x", atMost(1.5), ratio(short.First.P99, alone.Kind("question").First.P99)},
		{"slowest straggler over its unloaded time", "x", atMost(3), long.Stretch},
		{"stragglers not finished", "calls", atMost(0), float64(unfinished)},
		{"work thrown away", "of work", atMost(0.02), float64(r.Queue.Repeated) / float64(max(1, r.Queue.Served))},
	}, r
}

// Times of the load peak in the workload crest: the load rises from riseStart on and is at its maximum from
// peakStart to peakEnd.
const (
	riseStart = 60 * time.Second
	peakStart = 61 * time.Second
	peakEnd   = 90 * time.Second
)

func measureCrest(w *ferryworkload.Workload, p ferryexperiment.Policy) (measures, *ferryexperiment.Result) {
	r := ferryexperiment.Run(w, w.Arrivals(), p)
	return peakMeasures(w, r, peakStart, peakEnd), r
}

// peakMeasures returns the measures of a run with a load peak between two times.
func peakMeasures(w *ferryworkload.Workload, r *ferryexperiment.Result, from, to time.Duration) measures {
	g := &r.All
	return measures{
		{"admitted work that meets its deadline", "of admitted", atLeast(0.95), share(g.InTime, g.Admitted)},
		{"first token p95 of admitted work, from the try that was admitted", "s", target{}, g.FirstTry.P95.Seconds()},
		{"first token p95 of admitted work, from the first try", "s", atMost(1.6), g.First.P95.Seconds()},
		{"between tokens p95", "ms", atMost(46), g.Between.P95.Seconds() * 1000},
		{"goodput from the end of the rise to the fall", "of capacity", atLeast(0.95), r.Mean(from, to, inTime) / r.Bound},
		{"refusals within 100 ms", "of refusals", atLeast(1), 1 - share(r.LateRefusals, r.Refusals)},
		{"tries for each call", "x", target{}, 1 + share(r.Refusals, g.Offered)},
		{"least admitted share of a customer over its fair part", "x", target{}, minFairShare(w, r)},
	}
}

// minFairShare returns the minimum over customers of the work served in time divided by the customer's fair
// share of it.
func minFairShare(w *ferryworkload.Workload, r *ferryexperiment.Result) float64 {
	sum, shares := 0.0, 0.0
	for _, c := range w.Customers {
		sum += r.Customer(c.Name).Work
		shares += c.Share
	}
	minShare := math.Inf(1)
	for _, c := range w.Customers {
		minShare = min(minShare, r.Customer(c.Name).Work/sum/(c.Share/shares))
	}
	return minShare
}

func measurePipelines(w *ferryworkload.Workload, p ferryexperiment.Policy) (measures, *ferryexperiment.Result) {
	r := ferryexperiment.Run(w, w.Arrivals(), p)
	from, to := time.Duration(w.Warmup), time.Duration(w.Duration)
	equal := *w
	equal.Layout.Equal = true
	return measures{
		{"throughput of pipelines of 2 to 8 stages over the bound", "of bound", atLeast(0.95), r.Mean(from, to, served) / r.Bound},
		{"bound with layers placed by rate, over the runners' summed rate", "of sum", target{}, w.Bound() / w.IdealBound()},
		{"bound with layers split equally, over the runners' summed rate", "of sum", target{}, equal.Bound() / w.IdealBound()},
	}, r
}

func measureAffinity(w *ferryworkload.Workload, p ferryexperiment.Policy) (measures, *ferryexperiment.Result) {
	as := w.Arrivals()
	with := ferryexperiment.Run(w, as, p)
	plain := *w
	plain.Route.NoAffinity = true
	off := ferryexperiment.Run(&plain, as, p)
	return measures{
		{"answers with prefix affinity over those without it", "x", target{}, share(with.All.InTime, off.All.InTime)},
		{"first token p95 with prefix affinity over that without it", "x", target{}, ratio(with.All.First.P95, off.All.First.P95)},
	}, with
}

// maxRecoverySeconds is the maximum time to recover after a fault, in seconds.
const maxRecoverySeconds = 5

func measureRecovery(w *ferryworkload.Workload, p ferryexperiment.Policy) (measures, *ferryexperiment.Result) {
	r := ferryexperiment.Run(w, w.Arrivals(), p)
	at := func(i int) time.Duration { return time.Duration(w.Faults[i].At) }
	last := len(w.Faults) - 1
	return measures{
		{"back above 90% of the new bound or of the load after 1 runner died", "s", atMost(maxRecoverySeconds), recoverySeconds(r, at(0))},
		{"the same after a third of the runners died", "s", atMost(maxRecoverySeconds), recoverySeconds(r, at(1))},
		{"the same after an entry died", "s", atMost(maxRecoverySeconds), recoverySeconds(r, at(last))},
		{"calls lost: failed or never ended", "calls", atMost(0), float64(lostCount(&r.All))},
	}, r
}

// lostCount returns the number of calls that failed or never ended.
func lostCount(g *ferryexperiment.Group) int {
	return g.Offered - g.InTime - g.Late - g.Refused - g.Expired
}

// recoverySeconds returns the seconds from a fault until the 5 s mean of the throughput reaches 90 % of the
// possible throughput, which is the lower of the load before the fault and the bound. It returns +Inf if that
// takes 40 s or more.
func recoverySeconds(r *ferryexperiment.Result, fault time.Duration) float64 {
	const window = 5 * time.Second
	load := r.Mean(fault-20*time.Second, fault, offered)
	for t := fault; t < fault+40*time.Second; t += time.Second {
		bound := r.Mean(t+time.Second, t+2*time.Second, func(s *ferryexperiment.Second) float64 { return s.Bound })
		if r.Mean(t, t+window, served) >= 0.9*min(load, bound) {
			return (t - fault).Seconds()
		}
	}
	return math.Inf(1)
}

func measureSlow(w *ferryworkload.Workload, p ferryexperiment.Policy) (measures, *ferryexperiment.Result) {
	as := w.Arrivals()
	r := ferryexperiment.Run(w, as, p)
	healthy := *w
	healthy.Faults = nil
	before := ferryexperiment.Run(&healthy, as, p)
	f := w.Faults[0]
	maxDetection, falsePositives := 0.0, 0
	units := w.UnitList()
	for i, u := range units {
		found, ok := r.SlowFound[string(u.Name)]
		switch {
		case i >= f.First && i < f.First+f.Count && !ok:
			maxDetection = math.Inf(1)
		case i >= f.First && i < f.First+f.Count:
			maxDetection = max(maxDetection, (found - time.Duration(f.At)).Seconds())
		case ok:
			falsePositives++
		}
	}
	return measures{
		{"all slow runners found", "s", atMost(maxRecoverySeconds), maxDetection},
		{"sound runners taken for slow", "runners", atMost(0), float64(falsePositives)},
		{"answer p99 with slow runners over that without", "x", target{}, ratio(r.All.Answer.P99, before.All.Answer.P99)},
	}, r
}

// loudCustomer is the customer that sends loudFactor times its share.
const (
	loudCustomer ferryid.CustomerName = "parlour-1"
	loudFactor                        = 10
)

func measureFairness(w *ferryworkload.Workload, p ferryexperiment.Policy) (measures, *ferryexperiment.Result) {
	even := ferryexperiment.Run(w, w.Arrivals(), p)
	loud := withLoudCustomer(w)
	r := ferryexperiment.Run(loud, loud.Arrivals(), p)
	full := *w
	full.Phases = ferryworkload.Phases{{Load: 1}}
	fullEven := ferryexperiment.Run(&full, full.Arrivals(), p)
	fullLoud := withLoudCustomer(&full)
	fullRun := ferryexperiment.Run(fullLoud, fullLoud.Arrivals(), p)
	maxWait, minInTime := 0.0, 1.0
	for _, c := range w.Customers {
		if c.Name != loudCustomer {
			g := r.Customer(c.Name)
			maxWait = max(maxWait, g.Wait.P99.Seconds())
			minInTime = min(minInTime, share(g.InTime, g.Offered))
		}
	}
	from, to := time.Duration(w.Warmup), time.Duration(w.Duration)
	p.ExcessShare = limitedExcess
	limited := ferryexperiment.Run(loud, loud.Arrivals(), p)
	return measures{
		{"worst move of another's p99 answer time, all others at 80% of their shares", "x", atMost(1.1), worstRatio(w, even, r, answerP99)},
		{"worst move of another's p99 answer time, all others at their shares", "x", atMost(1.1), worstRatio(w, fullEven, fullRun, answerP99)},
		{"worst p99 wait for a slot of another customer, at 80%", "s", target{}, maxWait},
		{"least share of another customer's calls in time, at 80%", "of calls", target{}, minInTime},
		{"throughput, as a check that unused shares are used", "of bound", target{}, r.Mean(from, to, served) / r.Bound},
		{fmt.Sprintf("worst move at 80%% with ExcessShare = %v", limitedExcess), "x", target{}, worstRatio(w, even, limited, answerP99)},
		{"throughput with it", "of bound", target{}, limited.Mean(from, to, served) / r.Bound},
	}, r
}

// limitedExcess is the share of the slots for work beyond customers' shares in the runs with a limited
// ExcessShare.
const limitedExcess = 0.1

func answerP99(g *ferryexperiment.Group) time.Duration { return g.Answer.P99 }

// worstRatio returns the maximum ratio of a figure in b to that in a over all customers except loudCustomer.
func worstRatio(w *ferryworkload.Workload, a, b *ferryexperiment.Result, figure func(*ferryexperiment.Group) time.Duration) float64 {
	worst := 0.0
	for _, c := range w.Customers {
		if c.Name != loudCustomer {
			worst = max(worst, ratio(figure(b.Customer(c.Name)), figure(a.Customer(c.Name))))
		}
	}
	return worst
}

func withLoudCustomer(w *ferryworkload.Workload) *ferryworkload.Workload {
	loud := *w
	loud.Customers = append(ferryworkload.Customers{}, w.Customers...)
	before, after := 0.0, 0.0
	for i := range loud.Customers {
		c := &loud.Customers[i]
		before += c.Load
		if c.Name == loudCustomer {
			c.Load *= loudFactor
		}
		after += c.Load
	}
	loud.Phases = append(ferryworkload.Phases{}, w.Phases...)
	for i := range loud.Phases {
		loud.Phases[i].Load *= after / before
	}
	return &loud
}

func measureEntries(w *ferryworkload.Workload, p ferryexperiment.Policy) (measures, *ferryexperiment.Result) {
	as := w.Arrivals()
	r := ferryexperiment.Run(w, as, p)
	one := *w
	one.Entries = 1
	one.Reports.Every = 0
	single := ferryexperiment.Run(&one, as, p)
	from, to := time.Duration(w.Warmup), time.Duration(w.Duration)
	return measures{
		{"throughput of nine entries over that of one that knows all", "x", atLeast(0.97), r.Mean(from, to, served) / single.Mean(from, to, served)},
		{"throughput of nine entries", "of bound", target{}, r.Mean(from, to, served) / r.Bound},
		{fmt.Sprintf("first token p95 of %d entries over that of one", w.Entries), "x", target{}, ratio(r.All.First.P95, single.All.First.P95)},
	}, r
}
