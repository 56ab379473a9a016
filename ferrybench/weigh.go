package main

import (
	"fmt"
	"io"
	"os"
	"text/tabwriter"
	"time"

	"github.com/jessevdk/go-flags"

	"cactusferry.dev/ferry/ferryroute"
	"cactusferry.dev/ferrybench/ferryexperiment"
	"cactusferry.dev/ferrybench/ferryworkload"
)

func init() { subcommands = append(subcommands, addWeigh) }

// weighCommand compares variants of the present policy.
type weighCommand struct{}

func addWeigh(p *flags.Parser) error {
	_, err := p.AddCommand("weigh", "compare variants of the present policy",
		`Runs variants of the present policy on the same arrivals and prints one table per comparison: prediction, cost functions,
choices, waiting list, prefix affinity, and exchange of load between nine entries. docs/design/0004 discusses them.

Example:
  ferrybench weigh`, &weighCommand{})
	return err
}

// variant is a named change of the workload or the policy.
type variant struct {
	name   string
	change func(*ferryworkload.Workload, *ferryexperiment.Policy)
}

func withRoute(o ferryroute.Options) func(*ferryworkload.Workload, *ferryexperiment.Policy) {
	return func(w *ferryworkload.Workload, _ *ferryexperiment.Policy) { w.Route = o }
}

func withPrediction(p ferryworkload.Prediction) func(*ferryworkload.Workload, *ferryexperiment.Policy) {
	return func(w *ferryworkload.Workload, _ *ferryexperiment.Policy) { w.Prediction = p }
}

// withSummaries has entries exchange summaries of their outstanding work every 200 ms with a delay of 300 ms.
func withSummaries(o ferryroute.Options) func(*ferryworkload.Workload, *ferryexperiment.Policy) {
	return func(w *ferryworkload.Workload, _ *ferryexperiment.Policy) {
		w.Route = o
		w.Reports.Every = ferryworkload.Duration(200 * time.Millisecond)
		w.Reports.Delay = ferryworkload.Duration(300 * time.Millisecond)
	}
}

// withLoudCustomerOnCurve has one customer send ten times its share, to runners with the given curve.
func withLoudCustomerOnCurve(c ferryworkload.Curve) func(*ferryworkload.Workload, *ferryexperiment.Policy) {
	return func(w *ferryworkload.Workload, _ *ferryexperiment.Policy) {
		*w = *withLoudCustomer(w)
		w.Runners = append(ferryworkload.Runners{}, w.Runners...)
		for i := range w.Runners {
			w.Runners[i].Curve = c
		}
	}
}

func singleEntry(w *ferryworkload.Workload, _ *ferryexperiment.Policy) {
	w.Entries = 1
	w.Reports.Every = 0
}

func waitingList(_ *ferryworkload.Workload, p *ferryexperiment.Policy) { p.WaitingList = true }

func unchanged(*ferryworkload.Workload, *ferryexperiment.Policy) {}

var comparisons = []struct {
	title    string
	workload string
	variants []variant
}{
	{"What wrong predictions cost", "holding", []variant{
		{"learned", unchanged},
		{"exact", withPrediction(ferryworkload.PredictExact)},
		{"none: all work predicted as one token", withPrediction(ferryworkload.PredictNone)},
	}},
	{"How a runner's load is weighed", "holding", []variant{
		{"expected finish", unchanged},
		{"outstanding work over rate", withRoute(ferryroute.Options{Cost: ferryroute.CostWork, RawReports: true})},
		{"expected finish, two choices", withRoute(ferryroute.Options{Cost: ferryroute.CostFinish, Choices: 2})},
		{"outstanding work, two choices", withRoute(ferryroute.Options{Cost: ferryroute.CostWork, RawReports: true, Choices: 2})},
	}},
	{"What becomes of refused work at the crest", "crest", []variant{
		{"retry-after", unchanged},
		{"waiting list with a place", waitingList},
		{"no retries", func(w *ferryworkload.Workload, _ *ferryexperiment.Policy) { w.Retry.Attempts = 0 }},
	}},
	{"Runners that slow down along a line instead of a knee, one customer at ten times its share", "fairness", []variant{
		{"knee", withLoudCustomerOnCurve(ferryworkload.CurveKnee)},
		{"line", withLoudCustomerOnCurve(ferryworkload.CurveLine)},
	}},
	{"Prefix affinity", "affinity", []variant{
		{"off", withRoute(ferryroute.Options{NoAffinity: true})},
		{"on", unchanged},
	}},
	{"Prefix affinity in the Inkwell day", "inkwell", []variant{
		{"off", withRoute(ferryroute.Options{NoAffinity: true})},
		{"on", unchanged},
	}},
	{"What nine entries know of each other, saturated", "entries", entryVariants},
	{"What nine entries know of each other, at 70% load", "entries", atLoad(0.7, entryVariants)},
}

var entryVariants = []variant{
	{"one entry that knows all", singleEntry},
	{"own part of the slots, smoothed reports 2 s late", unchanged},
	{"own part of the slots, raw reports 2 s late", withRoute(ferryroute.Options{RawReports: true})},
	{"own part of the slots, own work only", withRoute(ferryroute.Options{IgnoreReports: true})},
	{"own part of the slots, peers' summaries 300 ms late", withSummaries(ferryroute.Options{RawReports: true})},
	{"any slot, smoothed reports 2 s late", withRoute(ferryroute.Options{Cost: ferryroute.CostShared})},
	{"any slot, raw reports 2 s late", withRoute(ferryroute.Options{Cost: ferryroute.CostShared, RawReports: true})},
	{"any slot, own work only", withRoute(ferryroute.Options{Cost: ferryroute.CostShared, IgnoreReports: true})},
	{"any slot, two choices", withRoute(ferryroute.Options{Cost: ferryroute.CostShared, RawReports: true, Choices: 2})},
	{"any slot, peers' summaries 300 ms late", withSummaries(ferryroute.Options{RawReports: true, Cost: ferryroute.CostShared})},
	{"any slot, peers' summaries, two choices", withSummaries(ferryroute.Options{Cost: ferryroute.CostShared, RawReports: true, Choices: 2})},
	{"outstanding work, full scan", withRoute(ferryroute.Options{Cost: ferryroute.CostWork, RawReports: true})},
	{"outstanding work, two choices", withRoute(ferryroute.Options{Cost: ferryroute.CostWork, RawReports: true, Choices: 2})},
}

// atLoad returns the variants with a single phase of the given load.
func atLoad(load float64, vs []variant) []variant {
	var out []variant
	for _, v := range vs {
		out = append(out, variant{v.name, func(w *ferryworkload.Workload, p *ferryexperiment.Policy) {
			v.change(w, p)
			w.Phases = ferryworkload.Phases{{Load: load}}
		}})
	}
	return out
}

// Execute runs all comparisons and prints one table for each.
func (c *weighCommand) Execute([]string) error {
	for _, q := range comparisons {
		if err := compareVariants(os.Stdout, q.title, q.workload, q.variants); err != nil {
			return err
		}
	}
	return nil
}

func compareVariants(out io.Writer, title, workload string, vs []variant) error {
	base, err := readWorkload(workload)
	if err != nil {
		return err
	}
	first := *base
	vs[0].change(&first, &ferryexperiment.Policy{})
	as := first.Arrivals()
	fmt.Fprintf(out, "%s (workload %s, seed %d)\n\n", title, workload, base.Seed)
	tw := tabwriter.NewWriter(out, 0, 0, 1, ' ', 0)
	fmt.Fprintln(tw, "| way\t| served, of bound\t| in time, of offered\t| first token p95\t| p99\t| answer p99\t| work done twice\t|")
	fmt.Fprintln(tw, "|---\t|---\t|---\t|---\t|---\t|---\t|---\t|")
	for _, v := range vs {
		w, p := *base, ferryexperiment.Present
		v.change(&w, &p)
		r := ferryexperiment.Run(&w, as, p)
		g := &r.All
		fmt.Fprintf(tw, "| %s\t| %.3f\t| %.3f\t| %.2f s\t| %.2f s\t| %.1f s\t| %.2f%%\t|\n", v.name,
			r.Mean(time.Duration(w.Warmup), time.Duration(w.Duration), served)/r.Bound, share(g.InTime, g.Offered),
			g.First.P95.Seconds(), g.First.P99.Seconds(), g.Answer.P99.Seconds(), 100*float64(r.Queue.Repeated)/float64(max(1, r.Queue.Served)))
	}
	if err := tw.Flush(); err != nil {
		return err
	}
	_, err = fmt.Fprintln(out)
	return err
}
