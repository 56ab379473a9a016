package ferryexperiment

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"cactusferry.dev/ferry/ferryid"
	"cactusferry.dev/ferry/ferryqueue"
	"cactusferry.dev/ferrybench/ferryworkload"
)

const (
	histMax    = int64(2 * time.Hour / time.Microsecond)
	histDigits = 3
	// earlyRefusal is the longest time after submission at which a refusal is not counted as late.
	earlyRefusal = 100 * time.Millisecond
)

// Group holds the results of the calls of one kind or customer. Times are measured from the intended arrival,
// except FirstTry, which starts at the admitted try, and Between, which is the time between two tokens.
type Group struct {
	Name     string    `json:"Name"`
	Offered  int       `json:"Offered"`
	Admitted int       `json:"Admitted"`
	InTime   int       `json:"InTime"`
	Late     int       `json:"Late"`
	Refused  int       `json:"Refused"`
	Expired  int       `json:"Expired"`
	Failed   int       `json:"Failed"`
	Work     float64   `json:"Work"`
	Wait     Quantiles `json:"Wait"`
	First    Quantiles `json:"First"`
	FirstTry Quantiles `json:"FirstTry"`
	Answer   Quantiles `json:"Answer"`
	Between  Quantiles `json:"Between"`
	Stretch  float64   `json:"Stretch"`
}

// Quantiles are quantiles of durations, recorded in an HdrHistogram with microsecond resolution.
type Quantiles struct {
	hist *hdrhistogram.Histogram
	P50  time.Duration `json:"P50"`
	P95  time.Duration `json:"P95"`
	P99  time.Duration `json:"P99"`
	Max  time.Duration `json:"Max"`
}

func (t *Quantiles) add(d time.Duration) {
	if t.hist == nil {
		t.hist = hdrhistogram.New(1, histMax, histDigits)
	}
	_ = t.hist.RecordValue(min(histMax, max(1, d.Microseconds())))
}

func (t *Quantiles) close() {
	if t.hist == nil {
		return
	}
	quantile := func(q float64) time.Duration { return time.Duration(t.hist.ValueAtQuantile(q)) * time.Microsecond }
	t.P50, t.P95, t.P99 = quantile(50), quantile(95), quantile(99)
	t.Max = time.Duration(t.hist.Max()) * time.Microsecond
}

// Second holds the figures of one second of a run; work is in tokens.
type Second struct {
	Offered     float64       `json:"Offered"`
	Bound       float64       `json:"Bound"`
	Served      float64       `json:"Served"`
	InTime      float64       `json:"InTime"`
	FirstP99    time.Duration `json:"FirstP99"`
	Waiting     int           `json:"Waiting"`
	Outstanding []float64     `json:"Outstanding"`
	firstTokens Quantiles
}

// Result holds the results of one run.
type Result struct {
	Workload       string                   `json:"Workload"`
	Policy         Policy                   `json:"Policy"`
	Seed           uint64                   `json:"Seed"`
	Bound          float64                  `json:"Bound"`
	All            Group                    `json:"All"`
	Kinds          []*Group                 `json:"Kinds"`
	Customers      []*Group                 `json:"Customers"`
	Seconds        []Second                 `json:"Seconds"`
	Refusals       int                      `json:"Refusals"`
	LateRefusals   int                      `json:"LateRefusals"`
	RefusedReports int                      `json:"RefusedReports"`
	Resumes        int                      `json:"Resumes"`
	SlowFound      map[string]time.Duration `json:"SlowFound"`
	Queue          ferryqueue.Counts        `json:"Queue"`
	warmup         time.Duration
	kinds          map[string]*Group
	customers      map[ferryid.CustomerName]*Group
}

// NewResult returns an empty result for the workload.
func NewResult(w *ferryworkload.Workload, p Policy) *Result {
	r := &Result{Workload: w.Name, Policy: p, Seed: w.Seed, Bound: w.Bound(), warmup: time.Duration(w.Warmup)}
	r.All.Name = "all"
	r.SlowFound = map[string]time.Duration{}
	r.kinds, r.customers = map[string]*Group{}, map[ferryid.CustomerName]*Group{}
	for _, k := range w.Kinds {
		g := &Group{Name: k.Name}
		r.kinds[k.Name] = g
		r.Kinds = append(r.Kinds, g)
	}
	for _, c := range w.Customers {
		g := &Group{Name: string(c.Name)}
		r.customers[c.Name] = g
		r.Customers = append(r.Customers, g)
	}
	return r
}

func (r *Result) second(at time.Duration) *Second {
	i := int(at / time.Second)
	for len(r.Seconds) <= i {
		r.Seconds = append(r.Seconds, Second{})
	}
	return &r.Seconds[i]
}

// Offer counts an arrival at its intended time.
func (r *Result) Offer(a *ferryworkload.Arrival) {
	r.second(a.At).Offered += a.Work()
	if a.At < r.warmup {
		return
	}
	for _, g := range r.groups(a) {
		g.Offered++
	}
}

func (r *Result) groups(a *ferryworkload.Arrival) []*Group {
	return []*Group{&r.All, r.kinds[a.Kind.Name], r.customers[a.Customer]}
}

// Serve counts work served in a second. Record counts it again as in time if the call meets its deadline.
func (r *Result) Serve(now time.Duration, work float64) {
	r.second(now).Served += work
}

// Refuse counts the refusal of a try; after is the time since the try was submitted.
func (r *Result) Refuse(a *ferryworkload.Arrival, after time.Duration) {
	if a.At < r.warmup {
		return
	}
	r.Refusals++
	if after > earlyRefusal {
		r.LateRefusals++
	}
}

// Record counts the end of a call.
func (r *Result) Record(x *Sample) {
	if x.Outcome == InTime {
		for _, p := range x.workBySecond {
			r.Seconds[p.second].InTime += float64(p.work)
		}
	}
	if x.Arrival.At < r.warmup {
		return
	}
	for _, g := range r.groups(x.Arrival) {
		g.record(x)
	}
	if x.First > 0 && !x.Arrival.Kind.Straggler {
		r.second(x.Arrival.At).firstTokens.add(x.First - x.Arrival.At)
	}
}

func (g *Group) record(x *Sample) {
	switch x.Outcome {
	case InTime:
		g.InTime++
		g.Work += x.Arrival.Work()
	case Late:
		g.Late++
	case Refused:
		g.Refused++
	case Expired:
		g.Expired++
	case Failed:
		g.Failed++
	}
	if !x.Started {
		return
	}
	g.Admitted++
	g.Wait.add(x.Admitted - x.Arrival.At)
	if x.First > 0 {
		g.First.add(x.First - x.Arrival.At)
		g.FirstTry.add(x.First - x.Submitted)
	}
	if x.Outcome != InTime && x.Outcome != Late {
		return
	}
	took := x.End - x.Arrival.At
	g.Answer.add(took)
	if x.Arrival.Tokens > 1 {
		g.Between.add((x.End - x.First) / time.Duration(x.Arrival.Tokens-1))
	}
	if x.Unloaded > 0 {
		g.Stretch = max(g.Stretch, took.Seconds()/x.Unloaded.Seconds())
	}
}

// Close computes the quantiles; it must be called after the last call.
func (r *Result) Close() {
	all := append(append([]*Group{&r.All}, r.Kinds...), r.Customers...)
	for _, g := range all {
		for _, t := range []*Quantiles{&g.Wait, &g.First, &g.FirstTry, &g.Answer, &g.Between} {
			t.close()
		}
	}
	for i := range r.Seconds {
		r.Seconds[i].firstTokens.close()
		r.Seconds[i].FirstP99 = r.Seconds[i].firstTokens.P99
	}
}

// Mean returns the mean of a figure over the seconds in [from, to), in tokens/s.
func (r *Result) Mean(from, to time.Duration, figure func(*Second) float64) float64 {
	sum, n := 0.0, 0
	for i := int(from / time.Second); i < int(to/time.Second) && i < len(r.Seconds); i++ {
		sum += figure(&r.Seconds[i])
		n++
	}
	return sum / float64(max(1, n))
}

// Kind returns the group of a kind of calls.
func (r *Result) Kind(name string) *Group {
	return r.kinds[name]
}

// Customer returns the group of a customer.
func (r *Result) Customer(name ferryid.CustomerName) *Group {
	return r.customers[name]
}
