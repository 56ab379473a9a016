package ferrychoice

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/jonboulle/clockwork"

	"cactusferry.dev/ferry/ferryengine"
	"cactusferry.dev/ferry/ferryid"
	"cactusferry.dev/ferry/ferrypipeline"
	"cactusferry.dev/ferry/ferrysubset"
)

const (
	layersOfPart = 16
	medianTokens = 200
	spreadTokens = 0.7
	// spreadPrediction is how far the predicted length may be off, as the deviation of its logarithm.
	spreadPrediction = 0.3
	leastTokensRate  = 300
	rateSteps        = 4
	warmup           = 15 * time.Second
	passedOnPerSec   = 20
)

var startOfTime = time.Date(2026, 12, 4, 0, 0, 0, 0, time.UTC)

// Reports names how entries hear of the engines' load.
type Reports string

// The ways of hearing.
const (
	// None leaves an entry with its own account.
	None Reports = "None"
	// PassedOn has one entry read each engine and tell all others, 20 reports a second over the fleet.
	PassedOn Reports = "PassedOn"
	// Direct has each entry read its own engines in turn.
	Direct Reports = "Direct"
)

// Config describes one run.
type Config struct {
	Entries, Engines int
	// Parts is the number of layer ranges, each held by the same number of engines.
	Parts, Domains int
	Subset         ferrysubset.Config
	Reports        Reports
	// ReadsPerSecond is how many engines an entry reads a second where Reports is Direct.
	ReadsPerSecond float64
	// Skew is how unevenly arrivals come to the entries, as the deviation of the logarithm of their parts.
	Skew float64
	// Load is the arrivals' share of the capacity; 0 keeps Slots answers a chain open at all times.
	Load  float64
	Slots int
	// Credit is how many streams an engine takes at once, shared by the entries that work it; 0 leaves the pools without a bound.
	Credit   int
	Duration time.Duration
	Seed     uint64
}

// Result is what a run gave.
type Result struct {
	// Subset is the mean number of engines of an entry, and Least and Most the extremes.
	Subset      float64
	Least, Most int
	// LeastEntries is the least number of entries that any engine has.
	LeastEntries int
	// Share is the tokens served as a share of what the engines can.
	Share float64
	// Median and P99 are times from arrival to the last token.
	Median, P99 time.Duration
	// Age is the mean age of what an entry knows of an engine when it is replaced by a newer report.
	Age time.Duration
	// Failed counts calls that found no chain.
	Failed int
}

// clock is the virtual time; the pools only ask for it.
type clock struct {
	clockwork.Clock
	now time.Time
}

// Now returns the virtual time.
func (c *clock) Now() time.Time { return c.now }

// engine serves its work in turn at its rate.
type engine struct {
	candidate   ferrypipeline.Candidate
	rate        float64
	free        time.Time
	outstanding ferryid.Tokens
}

type entry struct {
	pool    *ferrypipeline.Pool
	engines []int
	next    int
	heard   []time.Time
}

// event is a thing due: an answer's end, an arrival or a reading.
type event struct {
	at   time.Time
	seq  int
	what func()
}

type events []event

func (h events) Len() int { return len(h) }
func (h events) Less(i, j int) bool {
	return h[i].at.Before(h[j].at) || (h[i].at.Equal(h[j].at) && h[i].seq < h[j].seq)
}
func (h events) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push adds an event.
func (h *events) Push(x any) { *h = append(*h, x.(event)) }

// Pop removes the last event.
func (h *events) Pop() any {
	last := len(*h) - 1
	e := (*h)[last]
	*h = (*h)[:last]
	return e
}

type run struct {
	cfg     Config
	clock   clock
	rand    *rand.Rand
	engines []*engine
	entries []*entry
	// parts are the sums of the entries' parts of the arrivals, up to each.
	parts   []float64
	events  events
	seq     int
	index   map[ferryid.UpstreamName]int
	tokens  float64
	times   []time.Duration
	ages    time.Duration
	reports int
	result  Result
}

// Run plays one run.
func Run(cfg Config) (Result, error) {
	r := &run{cfg: cfg, clock: clock{now: startOfTime}, rand: rand.New(rand.NewPCG(cfg.Seed, 1)), index: map[ferryid.UpstreamName]int{}}
	r.addEngines()
	if err := r.addEntries(); err != nil {
		return Result{}, err
	}
	r.begin()
	end := startOfTime.Add(warmup + cfg.Duration)
	for len(r.events) > 0 && r.events[0].at.Before(end) {
		e := heap.Pop(&r.events).(event)
		r.clock.now = e.at
		e.what()
	}
	r.result.Share = r.tokens / cfg.Duration.Seconds() / r.capacity()
	slices.Sort(r.times)
	if n := len(r.times); n > 0 {
		r.result.Median, r.result.P99 = r.times[n/2], r.times[n*99/100]
	}
	if r.reports > 0 {
		r.result.Age = r.ages / time.Duration(r.reports)
	}
	return r.result, nil
}

func (r *run) addEngines() {
	for i := range r.cfg.Engines {
		part := i % r.cfg.Parts
		from := ferryid.Layer(part * layersOfPart)
		name := ferryid.UpstreamName(fmt.Sprintf("engine-%04d", i))
		r.index[name] = i
		r.engines = append(r.engines, &engine{
			rate: float64(leastTokensRate * (1 + r.rand.IntN(rateSteps))),
			free: startOfTime,
			candidate: ferrypipeline.Candidate{
				Name: name, Address: string(name), Domain: ferryid.DomainName(fmt.Sprintf("domain-%d", i/r.cfg.Parts%r.cfg.Domains)),
				Layers: ferryid.LayerRange{From: from, To: from + layersOfPart},
			},
		})
	}
}

// capacity is what the engines can serve, by the part that can least.
func (r *run) capacity() float64 {
	parts := make([]float64, r.cfg.Parts)
	for i, e := range r.engines {
		parts[i%r.cfg.Parts] += e.rate
	}
	return slices.Min(parts)
}

func (r *run) addEntries() error {
	names := make([]ferryid.EntryName, r.cfg.Entries)
	for i := range names {
		names[i] = ferryid.EntryName(fmt.Sprintf("entry-%03d", i))
	}
	candidates := make([]ferrysubset.Candidate, len(r.engines))
	for i, e := range r.engines {
		candidates[i] = ferrysubset.Candidate{Name: e.candidate.Name, Domain: e.candidate.Domain, Layers: e.candidate.Layers}
	}
	chooser := ferrysubset.New(r.cfg.Subset)
	worked := make([]int, len(r.engines))
	r.result.Least = len(r.engines)
	for _, name := range names {
		e := &entry{engines: chooser.Choose(name, names, candidates, nil)}
		e.heard = make([]time.Time, len(e.engines))
		cfg := ferrypipeline.PlannerConfig{Layers: ferryid.Layer(r.cfg.Parts * layersOfPart)}
		var loads []ferrypipeline.Load
		for _, i := range e.engines {
			worked[i]++
			cfg.Candidates = append(cfg.Candidates, r.engines[i].candidate)
			loads = append(loads, ferrypipeline.Load{Rate: ferryid.TokensPerSecond(r.engines[i].rate), Slots: r.credit()})
		}
		pool, err := ferrypipeline.NewPool(cfg, loads, &r.clock)
		if err != nil {
			return err
		}
		e.pool = pool
		r.entries = append(r.entries, e)
		r.result.Subset += float64(len(e.engines)) / float64(len(names))
		r.result.Least, r.result.Most = min(r.result.Least, len(e.engines)), max(r.result.Most, len(e.engines))
	}
	r.result.LeastEntries = slices.Min(worked)
	return nil
}

func (r *run) after(d time.Duration, what func()) {
	r.seq++
	heap.Push(&r.events, event{at: r.clock.now.Add(d), seq: r.seq, what: what})
}

func (r *run) begin() {
	switch r.cfg.Reports {
	case Direct:
		for _, e := range r.entries {
			r.readAgain(e, r.within(time.Second))
		}
	case PassedOn:
		for i := range r.engines {
			r.tellAgain(i, r.within(r.tellEvery()))
		}
	case None:
	}
	if r.cfg.Load > 0 {
		sum := 0.0
		for range r.entries {
			sum += math.Exp(r.cfg.Skew * r.rand.NormFloat64())
			r.parts = append(r.parts, sum)
		}
		r.arrive()
		return
	}
	for i := range len(r.engines) / r.cfg.Parts * r.cfg.Slots {
		e := r.entries[i%len(r.entries)]
		r.after(r.within(time.Second), func() { r.submit(e) })
	}
}

func (r *run) within(d time.Duration) time.Duration {
	return time.Duration(r.rand.Float64() * float64(d))
}

func (r *run) tellEvery() time.Duration {
	return max(time.Second, time.Duration(len(r.engines))*time.Second/passedOnPerSec)
}

func (r *run) readAgain(e *entry, in time.Duration) {
	r.after(in, func() {
		r.hear(e, e.next%len(e.engines))
		e.next++
		rate := min(r.cfg.ReadsPerSecond, float64(len(e.engines)))
		r.readAgain(e, time.Duration(float64(time.Second)/rate))
	})
}

func (r *run) tellAgain(engine int, in time.Duration) {
	r.after(in, func() {
		for _, e := range r.entries {
			if at, ok := slices.BinarySearch(e.engines, engine); ok {
				r.hear(e, at)
			}
		}
		r.tellAgain(engine, r.tellEvery())
	})
}

func (r *run) hear(e *entry, at int) {
	n := r.engines[e.engines[at]]
	_ = e.pool.Report(ferryengine.Load{
		Name: n.candidate.Name, State: ferryengine.StateLive, OutstandingTokens: n.outstanding,
		TokensPerSecond: ferryid.TokensPerSecond(n.rate), At: r.clock.now,
	})
	if !e.heard[at].IsZero() {
		r.ages += r.clock.now.Sub(e.heard[at])
		r.reports++
	}
	e.heard[at] = r.clock.now
}

func (r *run) arrive() {
	mean := medianTokens * math.Exp(spreadTokens*spreadTokens/2)
	rate := r.cfg.Load * r.capacity() / mean
	r.after(time.Duration(r.rand.ExpFloat64()/rate*float64(time.Second)), func() {
		i, _ := slices.BinarySearch(r.parts, r.rand.Float64()*r.parts[len(r.parts)-1])
		r.submit(r.entries[i])
		r.arrive()
	})
}

func (r *run) submit(e *entry) {
	tokens := medianTokens * math.Exp(spreadTokens*r.rand.NormFloat64())
	predicted := int(max(1, tokens*math.Exp(spreadPrediction*r.rand.NormFloat64())))
	plan, err := e.pool.Pick(&ferrypipeline.Job{MaxTokens: predicted}, nil)
	if err != nil {
		r.result.Failed++
		return
	}
	began, end := r.clock.now, r.clock.now
	for _, s := range plan.Stages {
		n := r.engines[r.index[s.Name]]
		n.outstanding += ferryid.Tokens(predicted)
		if n.free.Before(began) {
			n.free = began
		}
		n.free = n.free.Add(time.Duration(tokens / n.rate * float64(time.Second)))
		if n.free.After(end) {
			end = n.free
		}
		r.after(n.free.Sub(began), func() { n.outstanding -= ferryid.Tokens(predicted) })
	}
	r.after(end.Sub(began), func() {
		e.pool.Done(plan, ferryid.Tokens(tokens))
		if r.clock.now.Sub(startOfTime) >= warmup {
			r.tokens += tokens
			r.times = append(r.times, r.clock.now.Sub(began))
		}
		if r.cfg.Load == 0 {
			r.submit(e)
		}
	})
}

// credit is an entry's part of an engine's streams, at least one.
func (r *run) credit() int {
	if r.cfg.Credit == 0 {
		return 0
	}
	copies := min(float64(r.cfg.Entries), r.cfg.Subset.EntriesPerCandidate(r.cfg.Entries, r.cfg.Engines))
	if r.cfg.Subset.UsesAll(r.cfg.Entries, r.cfg.Engines) {
		copies = float64(r.cfg.Entries)
	}
	return max(1, int(math.Ceil(float64(r.cfg.Credit)/copies)))
}
