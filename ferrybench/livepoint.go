package main

import (
	"fmt"
	"math"
	"strconv"
	"time"

	"cactusferry.dev/ferrybench/ferryworkload"
)

// livePoint is one of the numbered targets, measured with real processes.
type livePoint struct {
	number   int
	workload string
	// presentOnly skips the baseline because the result does not depend on the policy.
	presentOnly bool
	measure     func(run liveRunner, w *ferryworkload.Workload) (measures, error)
}

// liveRunner runs a workload with one policy; minLifetime is the minimum time for which callers cache
// steering answers.
type liveRunner func(w *ferryworkload.Workload, name string, minLifetime time.Duration) (*liveRun, error)

var livePoints = []livePoint{
	{number: 2, workload: "live-crest", measure: liveCrest},
	{number: 4, workload: "live-recovery", measure: liveRecovery},
	{number: 4, workload: "live-slow", measure: liveSlow},
	{number: 5, workload: "live-fairness", measure: liveFairness},
	{number: 6, workload: "live-entries", measure: liveEntries},
	{number: 7, workload: "live-steer", measure: liveSteer, presentOnly: true},
}

// measurePoint runs the policies on the same arrivals. A figure that was not measured is NaN.
func (c *liveCommand) measurePoint(p livePoint) ([]figure, error) {
	var base, now measures
	var seed uint64
	for _, policy := range c.policies() {
		if p.presentOnly && policy != livePresent {
			continue
		}
		w, err := readWorkload(p.workload)
		if err != nil {
			return nil, err
		}
		seed = w.Seed
		ms, err := p.measure(func(w *ferryworkload.Workload, name string, minLifetime time.Duration) (*liveRun, error) {
			own := *w
			own.Phases = append(ferryworkload.Phases{}, w.Phases...)
			return c.run(&own, policy, name, minLifetime)
		}, w)
		if err != nil {
			return nil, err
		}
		base, now = now, ms
	}
	var out []figure
	for i, m := range now {
		f := figure{
			Point: strconv.Itoa(p.number), Measure: m.name, Unit: m.unit, Target: m.target, Baseline: math.NaN(), Now: m.value,
			Met: m.target.met(m.value), Workload: p.workload, Seed: seed, Command: fmt.Sprintf("ferrybench live --point %d", p.number),
		}
		if len(base) > i {
			f.Baseline = base[i].value
		}
		out = append(out, f)
	}
	return out, nil
}

func phaseAt(w *ferryworkload.Workload, i int) time.Duration { return time.Duration(w.Phases[i].At) }

func faultAt(w *ferryworkload.Workload, i int) time.Duration { return time.Duration(w.Faults[i].At) }

func liveCrest(run liveRunner, w *ferryworkload.Workload) (measures, error) {
	r, err := run(w, w.Name, 0)
	if err != nil {
		return nil, err
	}
	from := phaseAt(w, 1) + time.Duration(w.Phases[1].Ramp)
	return peakMeasures(w, r.Result, from, phaseAt(w, 2)), nil
}

// lossMeasures returns the measures of lost calls and resumed streams.
func lossMeasures(r *liveRun) measures {
	return measures{
		{"calls lost: failed or never ended", "calls", atMost(0), float64(lostCount(&r.Result.All))},
		{"streams resumed by callers", "streams", target{}, float64(r.Resumed)},
		{"refusals of streams that had begun", "refusals", atMost(0), float64(r.RefusedResumes)},
		{"streams with more or fewer tokens than asked for", "streams", atMost(0), float64(r.Uneven)},
	}
}

func liveRecovery(run liveRunner, w *ferryworkload.Workload) (measures, error) {
	r, err := run(w, w.Name, 0)
	if err != nil {
		return nil, err
	}
	// Fault 0 kills one engine and fault 1 heals it; faults 2 to 5 kill a failure domain; the last fault
	// kills an entry.
	return append(measures{
		{"back above 90% of the new bound or of the load after 1 engine died", "s", atMost(maxRecoverySeconds), recoverySeconds(r.Result, faultAt(w, 0))},
		{"the same after a failure domain's third of the engines died", "s", atMost(maxRecoverySeconds), recoverySeconds(r.Result, faultAt(w, 2))},
		{"the same after an entry died", "s", atMost(maxRecoverySeconds), recoverySeconds(r.Result, faultAt(w, len(w.Faults)-1))},
	}, lossMeasures(r)...), nil
}

func liveSlow(run liveRunner, w *ferryworkload.Workload) (measures, error) {
	r, err := run(w, w.Name, 0)
	if err != nil {
		return nil, err
	}
	maxDetection, falsePositives := 0.0, 0
	slow := w.Faults[0]
	for i, e := range r.fleet.Engines {
		found, ok := r.Result.SlowFound[e.Name]
		switch {
		case i >= slow.First && i < slow.First+slow.Count && !ok:
			maxDetection = math.Inf(1)
		case i >= slow.First && i < slow.First+slow.Count:
			maxDetection = max(maxDetection, (found - time.Duration(slow.At)).Seconds())
		case ok && found < faultAt(w, 2):
			falsePositives++
		}
	}
	return append(measures{
		{"all slow engines found", "s", atMost(maxRecoverySeconds), maxDetection},
		{"sound engines taken for slow", "engines", atMost(0), float64(falsePositives)},
		{"back above 90% after two engines turned slow", "s", atMost(maxRecoverySeconds), recoverySeconds(r.Result, faultAt(w, 0))},
		{"the same after an engine froze", "s", atMost(maxRecoverySeconds), recoverySeconds(r.Result, faultAt(w, 2))},
		{"answer p99", "s", target{}, r.Result.All.Answer.P99.Seconds()},
	}, lossMeasures(r)...), nil
}

func liveFairness(run liveRunner, w *ferryworkload.Workload) (measures, error) {
	full := *w
	full.Phases = ferryworkload.Phases{{Load: 1}}
	var runs []*liveRun
	for _, x := range []struct {
		name string
		w    *ferryworkload.Workload
	}{{"live-fairness-80", w}, {"live-fairness-80-loud", withLoudCustomer(w)}, {"live-fairness-100", &full}, {"live-fairness-100-loud", withLoudCustomer(&full)}} {
		r, err := run(x.w, x.name, 0)
		if err != nil {
			return nil, err
		}
		runs = append(runs, r)
	}
	maxWait, minInTime := 0.0, 1.0
	for _, c := range w.Customers {
		if c.Name != loudCustomer {
			g := runs[1].Result.Customer(c.Name)
			maxWait = max(maxWait, g.First.P99.Seconds())
			minInTime = min(minInTime, share(g.InTime, g.Offered))
		}
	}
	loud := runs[1].Result
	return measures{
		{"worst move of another's p99 answer time, all others at 80% of their shares", "x", atMost(1.1), worstRatio(w, runs[0].Result, loud, answerP99)},
		{"worst move of another's p99 answer time, all others at their shares", "x", atMost(1.1), worstRatio(w, runs[2].Result, runs[3].Result, answerP99)},
		{"worst p99 first token of another customer, at 80%", "s", target{}, maxWait},
		{"least share of another customer's calls in time, at 80%", "of calls", target{}, minInTime},
		{"throughput, as a check that unused shares are used", "of bound", target{}, loud.Mean(time.Duration(w.Warmup), time.Duration(w.Duration), served) / loud.Bound},
	}, nil
}

func liveEntries(run liveRunner, w *ferryworkload.Workload) (measures, error) {
	r, err := run(w, w.Name, 0)
	if err != nil {
		return nil, err
	}
	one := *w
	one.Entries = 1
	single, err := run(&one, w.Name+"-one", 0)
	if err != nil {
		return nil, err
	}
	from, to := time.Duration(w.Warmup), time.Duration(w.Duration)
	many := r.Result.Mean(from, to, served)
	return measures{
		{"throughput of nine entries over that of one", "x", atLeast(0.97), many / single.Result.Mean(from, to, served)},
		{"throughput of nine entries", "of bound", target{}, many / r.Result.Bound},
		{"first token p95 of 9 entries over that of one", "x", target{}, ratio(r.Result.All.First.P95, single.Result.All.First.P95)},
		{"calls lost with nine entries: failed or never ended", "calls", atMost(0), float64(lostCount(&r.Result.All))},
	}, nil
}

// steeringLifetime is the minimum time for which callers cache steering answers in point 7.
const steeringLifetime = time.Minute

func liveSteer(run liveRunner, w *ferryworkload.Workload) (measures, error) {
	r, err := run(w, w.Name, steeringLifetime)
	if err != nil {
		return nil, err
	}
	end := time.Duration(w.Duration)
	return append(measures{
		{"entries' tries over the mean, answers kept for a minute, before the wave", "x", atMost(1.25), r.imbalance(time.Duration(w.Warmup), phaseAt(w, 1))},
		{"the same in the wave", "x", atMost(1.25), r.imbalance(phaseAt(w, 1), phaseAt(w, 2))},
		{"the same after an entry died", "x", atMost(1.25), r.imbalance(faultAt(w, 0), faultAt(w, 1))},
		{"the same while and after an entry was drained", "x", atMost(1.25), r.imbalance(faultAt(w, 1), end)},
	}, lossMeasures(r)...), nil
}

// imbalance returns the maximum number of tries per entry between two times divided by the mean. Entries that
// were removed before the end are ignored.
func (r *liveRun) imbalance(from, to time.Duration) float64 {
	gone := map[int]bool{}
	for _, f := range r.fleet.workload.Faults {
		if f.Kind == ferryworkload.FaultKillEntry || f.Kind == ferryworkload.FaultDrainEntry {
			gone[f.First] = gone[f.First] || time.Duration(f.At) < to
		}
	}
	most, sum, n := 0, 0, 0
	for i, e := range r.fleet.Entries {
		if gone[i] {
			continue
		}
		tries := 0
		for s := int(from / time.Second); s < int(to/time.Second) && s < len(r.Sent[e.CallerAddress]); s++ {
			tries += r.Sent[e.CallerAddress][s]
		}
		most, sum, n = max(most, tries), sum+tries, n+1
	}
	return float64(most*n) / float64(max(1, sum))
}
