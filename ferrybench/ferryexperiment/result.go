package ferryexperiment

import (
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"cactusferry.dev/ferry/ferryid"
	"cactusferry.dev/ferry/ferryqueue"
	"cactusferry.dev/ferry/ferryroute"
	"cactusferry.dev/ferrybench/ferryworkload"
)

const (
	histMax    = int64(2 * time.Hour / time.Microsecond)
	histDigits = 3
	// earlyRefusal is the time within which a refusal counts as early.
	earlyRefusal = 100 * time.Millisecond
)

// Group is what one kind or customer of calls met; times are from the intended arrival, but FirstTry is from the try that
// was admitted, and Between is between two tokens.
type Group struct {
	Name     string  `json:"Name"`
	Offered  int     `json:"Offered"`
	Admitted int     `json:"Admitted"`
	InTime   int     `json:"InTime"`
	Late     int     `json:"Late"`
	Refused  int     `json:"Refused"`
	Expired  int     `json:"Expired"`
	Failed   int     `json:"Failed"`
	Work     float64 `json:"Work"`
	Wait     Times   `json:"Wait"`
	First    Times   `json:"First"`
	FirstTry Times   `json:"FirstTry"`
	Answer   Times   `json:"Answer"`
	Between  Times   `json:"Between"`
	Stretch  float64 `json:"Stretch"`
}

// Times is a distribution of times, recorded in microseconds by HdrHistogram.
type Times struct {
	hist *hdrhistogram.Histogram
	P50  time.Duration `json:"P50"`
	P95  time.Duration `json:"P95"`
	P99  time.Duration `json:"P99"`
	Max  time.Duration `json:"Max"`
}

func (t *Times) add(d time.Duration) {
	if t.hist == nil {
		t.hist = hdrhistogram.New(1, histMax, histDigits)
	}
	_ = t.hist.RecordValue(min(histMax, max(1, d.Microseconds())))
}

func (t *Times) close() {
	if t.hist == nil {
		return
	}
	at := func(q float64) time.Duration { return time.Duration(t.hist.ValueAtQuantile(q)) * time.Microsecond }
	t.P50, t.P95, t.P99 = at(50), at(95), at(99)
	t.Max = time.Duration(t.hist.Max()) * time.Microsecond
}

// Second is one second of a run; the work is in tokens.
type Second struct {
	Offered     float64       `json:"Offered"`
	Bound       float64       `json:"Bound"`
	Served      float64       `json:"Served"`
	InTime      float64       `json:"InTime"`
	FirstP99    time.Duration `json:"FirstP99"`
	Waiting     int           `json:"Waiting"`
	Outstanding []float64     `json:"Outstanding"`
	firsts      Times
}

// Result is what one run gave.
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
	until          time.Duration
	kinds          map[string]*Group
	customers      map[ferryid.CustomerName]*Group
}

func newResult(w *ferryworkload.Workload, p Policy) *Result {
	r := &Result{Workload: w.Name, Policy: p, Seed: w.Seed, Bound: w.Bound(), warmup: time.Duration(w.Warmup), until: time.Duration(w.Duration)}
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

func (r *Result) groups(c *call) []*Group {
	return []*Group{&r.All, r.kinds[c.arrival.Kind.Name], r.customers[c.arrival.Customer]}
}

func (r *Result) offered(c *call) {
	r.second(c.arrival.At).Offered += c.arrival.Work()
	if c.arrival.At < r.warmup {
		return
	}
	for _, g := range r.groups(c) {
		g.Offered++
	}
}

func (r *Result) served(now time.Duration, work float64) {
	r.second(now).Served += work
}

func (r *Result) refusal(s *simulation, c *call) {
	if c.arrival.At < r.warmup {
		return
	}
	r.Refusals++
	if s.now-c.submitted > earlyRefusal {
		r.LateRefusals++
	}
}

func (r *Result) ended(s *simulation, c *call) {
	r.Resumes += c.resumes
	if c.outcome == outcomeInTime {
		for _, p := range c.trace {
			r.Seconds[p.second].InTime += float64(p.work)
		}
	}
	if c.arrival.At < r.warmup {
		return
	}
	for _, g := range r.groups(c) {
		g.ended(s, c)
	}
	if c.hasFirst && !c.arrival.Kind.Straggler {
		r.second(c.arrival.At).firsts.add(c.first - c.arrival.At)
	}
}

func (g *Group) ended(s *simulation, c *call) {
	switch c.outcome {
	case outcomeInTime:
		g.InTime++
		g.Work += c.arrival.Work()
	case outcomeLate:
		g.Late++
	case outcomeRefused:
		g.Refused++
	case outcomeExpired:
		g.Expired++
	case outcomeFailed:
		g.Failed++
	}
	if !c.started {
		return
	}
	g.Admitted++
	g.Wait.add(c.admitted - c.arrival.At)
	if c.hasFirst {
		g.First.add(c.first - c.arrival.At)
		g.FirstTry.add(c.first - c.submitted)
	}
	if c.outcome != outcomeInTime && c.outcome != outcomeLate {
		return
	}
	took := s.now - c.arrival.At
	g.Answer.add(took)
	if c.arrival.Tokens > 1 {
		g.Between.add((s.now - c.first) / time.Duration(c.arrival.Tokens-1))
	}
	g.Stretch = max(g.Stretch, took.Seconds()/s.unloaded(c).Seconds())
}

// unloaded is how long the call takes alone on the mean runner.
func (s *simulation) unloaded(c *call) time.Duration {
	sum := 0.0
	for _, u := range s.units {
		sum += u.spec.StreamRate
	}
	return time.Duration(c.arrival.Work() / (sum / float64(len(s.units))) * float64(time.Second))
}

func (r *Result) sample(s *simulation) {
	x := r.second(s.now - 1)
	for _, e := range s.entries {
		x.Waiting += e.queue.Waiting()
		r.noteSlow(s, e)
	}
	for _, u := range s.units {
		n, _ := u.outstanding()
		x.Outstanding = append(x.Outstanding, n)
		if u.alive {
			x.Bound += u.factor * min(u.spec.Rate, float64(u.spec.Slots)*u.spec.StreamRate)
		}
	}
}

// noteSlow keeps when each upstream was first taken out for slowness by any entry.
func (r *Result) noteSlow(s *simulation, e *entry) {
	for _, c := range e.table.Snapshot().All() {
		if _, ok := r.SlowFound[string(c.Name)]; !ok && c.State == ferryroute.StateSlow {
			r.SlowFound[string(c.Name)] = s.now
		}
	}
}

func (r *Result) close(s *simulation) {
	all := append(append([]*Group{&r.All}, r.Kinds...), r.Customers...)
	for _, g := range all {
		for _, t := range []*Times{&g.Wait, &g.First, &g.FirstTry, &g.Answer, &g.Between} {
			t.close()
		}
	}
	for i := range r.Seconds {
		r.Seconds[i].firsts.close()
		r.Seconds[i].FirstP99 = r.Seconds[i].firsts.P99
	}
	for _, e := range s.entries {
		n := e.queue.Counts()
		r.Queue.Enqueued += n.Enqueued
		r.Queue.Started += n.Started
		r.Queue.Finished += n.Finished
		r.Queue.Refused += n.Refused
		r.Queue.Evicted += n.Evicted
		r.Queue.Expired += n.Expired
		r.Queue.Reclassified += n.Reclassified
		r.Queue.Requeued += n.Requeued
		r.Queue.Served += n.Served
		r.Queue.Thrown += n.Thrown
	}
}

// Mean is the mean of a figure of the seconds from one time to another, in tokens/s.
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

func sortedIDs(m map[ferryid.RequestID]*call) []ferryid.RequestID {
	ids := make([]ferryid.RequestID, 0, len(m))
	for id := range m {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}
