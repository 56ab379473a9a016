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
	layersPerPart = 16
	medianTokens  = 200
	tokensSigma   = 0.7
	// predictionSigma is the standard deviation of the logarithm of the error of predicted lengths.
	predictionSigma        = 0.3
	minTokensRate          = 300
	rateLevels             = 4
	warmup                 = 15 * time.Second
	sharedReportsPerSecond = 20
)

var startTime = time.Date(2026, 12, 4, 0, 0, 0, 0, time.UTC)

// Reports is the way in which entries learn the load of engines.
type Reports string

// The ways to learn the load of engines.
const (
	// None leaves an entry with its own accounting.
	None Reports = "None"
	// Shared has one entry read each engine and send the report to all others, at most 20 reports/s over the
	// fleet.
	Shared Reports = "PassedOn"
	// Direct has each entry read the engines of its subset in turn.
	Direct Reports = "Direct"
)

// Config describes one run.
type Config struct {
	Entries, Engines int
	// Parts is the number of layer ranges, each held by the same number of engines.
	Parts, Domains int
	Subset         ferrysubset.Config
	Reports        Reports
	// ReadsPerSecond is the number of engines that an entry reads per second if Reports is Direct.
	ReadsPerSecond float64
	// Skew is the standard deviation of the logarithm of the entries' shares of the arrivals; 0 distributes
	// them evenly.
	Skew float64
	// Load is the offered load as a share of the capacity; 0 keeps Slots answers per chain open at all times.
	Load  float64
	Slots int
	// Credit is the number of concurrent streams of an engine, shared by the entries that use it; 0 means no
	// limit.
	Credit   int
	Duration time.Duration
	Seed     uint64
}

// Result holds the results of one run.
type Result struct {
	// Subset is the mean number of engines of an entry; MinSubset and MaxSubset are the extremes.
	Subset               float64
	MinSubset, MaxSubset int
	// MinEntries is the minimum number of entries that use an engine.
	MinEntries int
	// Utilization is the tokens served as a share of the capacity of the engines.
	Utilization float64
	// Median and P99 are quantiles of the time from arrival to the last token.
	Median, P99 time.Duration
	// ReportAge is the mean age of a load report at the time that a newer one replaces it.
	ReportAge time.Duration
	// Failed is the number of calls for which no chain of engines was available.
	Failed int
}

// clock is the virtual clock; the pools use only Now.
type clock struct {
	clockwork.Clock
	now time.Time
}

// Now returns the virtual time.
func (c *clock) Now() time.Time { return c.now }

// engine is a simulated engine that serves its work in order of arrival at a fixed rate.
type engine struct {
	candidate   ferrypipeline.Candidate
	rate        float64
	freeAt      time.Time
	outstanding ferryid.Tokens
}

type entry struct {
	pool     *ferrypipeline.Pool
	engines  []int
	next     int
	reported []time.Time
}

// event is an action due at a time: the end of an answer, an arrival or a read of an engine's load. seq
// orders events of the same time.
type event struct {
	at     time.Time
	seq    int
	action func()
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
	// cumulativeWeights are the cumulative weights of the entries for arrivals.
	cumulativeWeights []float64
	events            events
	seq               int
	index             map[ferryid.UpstreamName]int
	tokens            float64
	latencies         []time.Duration
	ages              time.Duration
	reports           int
	result            Result
}

// Run simulates one run; the first 15 s of virtual time are a warm-up and not measured.
func Run(cfg Config) (Result, error) {
	r := &run{cfg: cfg, clock: clock{now: startTime}, rand: rand.New(rand.NewPCG(cfg.Seed, 1)), index: map[ferryid.UpstreamName]int{}}
	r.addEngines()
	if err := r.addEntries(); err != nil {
		return Result{}, err
	}
	r.start()
	end := startTime.Add(warmup + cfg.Duration)
	for len(r.events) > 0 && r.events[0].at.Before(end) {
		e := heap.Pop(&r.events).(event)
		r.clock.now = e.at
		e.action()
	}
	r.result.Utilization = r.tokens / cfg.Duration.Seconds() / r.capacity()
	slices.Sort(r.latencies)
	if n := len(r.latencies); n > 0 {
		r.result.Median, r.result.P99 = r.latencies[n/2], r.latencies[n*99/100]
	}
	if r.reports > 0 {
		r.result.ReportAge = r.ages / time.Duration(r.reports)
	}
	return r.result, nil
}

func (r *run) addEngines() {
	for i := range r.cfg.Engines {
		part := i % r.cfg.Parts
		from := ferryid.Layer(part * layersPerPart)
		name := ferryid.UpstreamName(fmt.Sprintf("engine-%04d", i))
		r.index[name] = i
		r.engines = append(r.engines, &engine{
			rate:   float64(minTokensRate * (1 + r.rand.IntN(rateLevels))),
			freeAt: startTime,
			candidate: ferrypipeline.Candidate{
				Name: name, Address: string(name), Domain: ferryid.DomainName(fmt.Sprintf("domain-%d", i/r.cfg.Parts%r.cfg.Domains)),
				Layers: ferryid.LayerRange{From: from, To: from + layersPerPart},
			},
		})
	}
}

// capacity returns the tokens/s that the engines can serve, which is limited by the part with the lowest
// total rate.
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
	entryCounts := make([]int, len(r.engines))
	r.result.MinSubset = len(r.engines)
	for _, name := range names {
		e := &entry{engines: chooser.Choose(name, names, candidates, nil)}
		e.reported = make([]time.Time, len(e.engines))
		cfg := ferrypipeline.PlannerConfig{Layers: ferryid.Layer(r.cfg.Parts * layersPerPart)}
		var loads []ferrypipeline.Load
		for _, i := range e.engines {
			entryCounts[i]++
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
		r.result.MinSubset, r.result.MaxSubset = min(r.result.MinSubset, len(e.engines)), max(r.result.MaxSubset, len(e.engines))
	}
	r.result.MinEntries = slices.Min(entryCounts)
	return nil
}

func (r *run) after(d time.Duration, action func()) {
	r.seq++
	heap.Push(&r.events, event{at: r.clock.now.Add(d), seq: r.seq, action: action})
}

func (r *run) start() {
	switch r.cfg.Reports {
	case Direct:
		for _, e := range r.entries {
			r.scheduleRead(e, r.randomDelay(time.Second))
		}
	case Shared:
		for i := range r.engines {
			r.scheduleSharedRead(i, r.randomDelay(r.sharedReadInterval()))
		}
	case None:
	}
	if r.cfg.Load > 0 {
		sum := 0.0
		for range r.entries {
			sum += math.Exp(r.cfg.Skew * r.rand.NormFloat64())
			r.cumulativeWeights = append(r.cumulativeWeights, sum)
		}
		r.scheduleArrival()
		return
	}
	for i := range len(r.engines) / r.cfg.Parts * r.cfg.Slots {
		e := r.entries[i%len(r.entries)]
		r.after(r.randomDelay(time.Second), func() { r.submit(e) })
	}
}

func (r *run) randomDelay(d time.Duration) time.Duration {
	return time.Duration(r.rand.Float64() * float64(d))
}

func (r *run) sharedReadInterval() time.Duration {
	return max(time.Second, time.Duration(len(r.engines))*time.Second/sharedReportsPerSecond)
}

func (r *run) scheduleRead(e *entry, in time.Duration) {
	r.after(in, func() {
		r.applyReport(e, e.next%len(e.engines))
		e.next++
		rate := min(r.cfg.ReadsPerSecond, float64(len(e.engines)))
		r.scheduleRead(e, time.Duration(float64(time.Second)/rate))
	})
}

func (r *run) scheduleSharedRead(engine int, in time.Duration) {
	r.after(in, func() {
		for _, e := range r.entries {
			if at, ok := slices.BinarySearch(e.engines, engine); ok {
				r.applyReport(e, at)
			}
		}
		r.scheduleSharedRead(engine, r.sharedReadInterval())
	})
}

func (r *run) applyReport(e *entry, at int) {
	n := r.engines[e.engines[at]]
	_ = e.pool.Report(ferryengine.Load{
		Name: n.candidate.Name, State: ferryengine.StateLive, OutstandingTokens: n.outstanding,
		TokensPerSecond: ferryid.TokensPerSecond(n.rate), At: r.clock.now,
	})
	if !e.reported[at].IsZero() {
		r.ages += r.clock.now.Sub(e.reported[at])
		r.reports++
	}
	e.reported[at] = r.clock.now
}

func (r *run) scheduleArrival() {
	mean := medianTokens * math.Exp(tokensSigma*tokensSigma/2)
	rate := r.cfg.Load * r.capacity() / mean
	r.after(time.Duration(r.rand.ExpFloat64()/rate*float64(time.Second)), func() {
		i, _ := slices.BinarySearch(r.cumulativeWeights, r.rand.Float64()*r.cumulativeWeights[len(r.cumulativeWeights)-1])
		r.submit(r.entries[i])
		r.scheduleArrival()
	})
}

func (r *run) submit(e *entry) {
	tokens := medianTokens * math.Exp(tokensSigma*r.rand.NormFloat64())
	predicted := int(max(1, tokens*math.Exp(predictionSigma*r.rand.NormFloat64())))
	plan, err := e.pool.Pick(&ferrypipeline.Job{MaxTokens: predicted}, nil)
	if err != nil {
		r.result.Failed++
		return
	}
	began, end := r.clock.now, r.clock.now
	for _, s := range plan.Stages {
		n := r.engines[r.index[s.Name]]
		n.outstanding += ferryid.Tokens(predicted)
		if n.freeAt.Before(began) {
			n.freeAt = began
		}
		n.freeAt = n.freeAt.Add(time.Duration(tokens / n.rate * float64(time.Second)))
		if n.freeAt.After(end) {
			end = n.freeAt
		}
		r.after(n.freeAt.Sub(began), func() { n.outstanding -= ferryid.Tokens(predicted) })
	}
	r.after(end.Sub(began), func() {
		e.pool.Done(plan, ferryid.Tokens(tokens))
		if r.clock.now.Sub(startTime) >= warmup {
			r.tokens += tokens
			r.latencies = append(r.latencies, r.clock.now.Sub(began))
		}
		if r.cfg.Load == 0 {
			r.submit(e)
		}
	})
}

// credit returns an entry's share of the streams of an engine, at least one, or 0 for no limit.
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
