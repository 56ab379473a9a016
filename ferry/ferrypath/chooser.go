package ferrypath

import (
	"errors"
	"math/rand/v2"
	"slices"
	"sort"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"

	"cactusferry.dev/ferry/ferryconfig"
	"cactusferry.dev/ferry/ferrydiscovery"
	"cactusferry.dev/ferry/ferryid"
	"cactusferry.dev/ferry/ferrypipeline"
)

// ErrNoPath is returned if the usable engines do not hold all layers between them.
var ErrNoPath = errors.New("no path of engines holds all layers")

// ErrNoRoom is returned if every path needs an engine without enough free memory.
var ErrNoRoom = errors.New("every path needs an engine without enough free memory")

// ErrNoForecastRoom is returned if the forecast has no room for the work and more urgent work may need what is left.
var ErrNoForecastRoom = errors.New("the forecast leaves the remaining memory to more urgent work")

// Options configure a Chooser.
type Options struct {
	Clock clockwork.Clock
	// Domain is the failure domain of this entry. Paths are kept inside it where possible: a path that begins
	// there causes no traffic between this entry and other domains.
	Domain ferryid.DomainName
	// Random is the source of random numbers; nil means the process's own.
	Random rand.Source
}

// Chooser selects paths over the engines of one service. All methods are safe for concurrent use.
type Chooser struct {
	opts    Options
	version atomic.Int64

	mu        sync.Mutex
	model     *ferryconfig.Model
	engines   []*engine
	byName    map[ferryid.UpstreamName]*engine
	upstreams map[ferryid.UpstreamName]*ferrydiscovery.Upstream
	// planner is built from the engines when it is needed; it is nil while they hold no path.
	planner    *ferrypipeline.Planner
	plannerOld bool
	loads      []ferrypipeline.Load
	// runs are the generations in progress.
	runs map[*Run]struct{}
	// entries counts the entries that accept calls, by failure domain.
	entries map[ferryid.DomainName]int
	room    roomState
	// contended is set if the requests of the service have ranks, which is for engines that are expected to be full.
	contended bool
	indexOf   map[ferryid.UpstreamName]int
	// largestWork is the size of the largest generation for which an empty engine has memory, or 0 if it is unknown.
	largestWork ferryid.Tokens
	arrivals    arrivals
	forecast    forecast
	// duration is the moving average of the durations of completed generations.
	duration time.Duration
	// stretch is the moving average of the ratios of those durations to the token times of the engines.
	stretch float64
}

// NewChooser returns a chooser without engines.
func NewChooser(opts Options) *Chooser {
	if opts.Clock == nil {
		opts.Clock = clockwork.NewRealClock()
	}
	return &Chooser{opts: opts, byName: map[ferryid.UpstreamName]*engine{}, runs: map[*Run]struct{}{}}
}

// SetEntries sets the number of entries that send work to the engines, by failure domain.
func (c *Chooser) SetEntries(byDomain map[ferryid.DomainName]int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.entries = byDomain
}

// entriesSharing estimates how many entries send work to an engine: those of its failure domain, since paths
// are kept inside one domain where possible, and this one.
func (c *Chooser) entriesSharing(e *engine) int {
	n := c.entries[e.up.FailureDomain]
	if e.up.FailureDomain != c.opts.Domain {
		n++
	}
	return max(1, n)
}

// SetContended sets whether paths are selected for engines that are expected to be full.
func (c *Chooser) SetContended(on bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.contended = on
}

// Version returns a number that increases whenever the engines or their layers may have changed.
func (c *Chooser) Version() int64 { return c.version.Load() }

// Set replaces the model and the engines of the service. The state of an engine is kept while its process is
// the same.
func (c *Chooser) Set(m *ferryconfig.Model, list []*ferrydiscovery.Upstream) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.version.Add(1)
	old := c.byName
	c.model = m
	c.engines = c.engines[:0]
	c.byName = make(map[ferryid.UpstreamName]*engine, len(list))
	c.upstreams = make(map[ferryid.UpstreamName]*ferrydiscovery.Upstream, len(list))
	for _, u := range list {
		kind, known := m.Accelerator(ferryconfig.AcceleratorName(u.Accelerator))
		name := ferryid.UpstreamName(u.Name)
		e := old[name]
		if e == nil || !e.up.SameProcess(u) {
			e = &engine{}
		}
		e.up, e.kind = u, kind
		c.byName[name] = e
		if !known || !u.Ready() || u.Layers.Len() == 0 {
			continue
		}
		c.upstreams[name] = u
		c.engines = append(c.engines, e)
	}
	c.plannerOld = true
}

// updatePlanner builds the planner if the engines have changed. Engines often change more than once between two
// picks of an entry, most of all in large fleets.
func (c *Chooser) updatePlanner() {
	if !c.plannerOld {
		return
	}
	c.plannerOld = false
	candidates := make(ferrypipeline.Candidates, 0, len(c.engines))
	for _, e := range c.engines {
		u := e.up
		candidates = append(candidates, ferrypipeline.Candidate{Name: ferryid.UpstreamName(u.Name), Address: u.Address, Domain: u.FailureDomain, Layers: u.Layers})
	}
	c.loads = make([]ferrypipeline.Load, len(c.engines))
	c.indexOf = make(map[ferryid.UpstreamName]int, len(c.engines))
	c.largestWork = 0
	for i, e := range c.engines {
		c.indexOf[ferryid.UpstreamName(e.up.Name)] = i
		layers := e.up.Layers.Len()
		memory := max(c.model.RequestMemory(e.kind, layers), e.reported.Room)
		c.largestWork = max(c.largestWork, ferryid.Tokens(memory/int64(layers)))
	}
	c.planner = nil
	p, err := ferrypipeline.NewPlanner(ferrypipeline.PlannerConfig{Layers: ferryid.Layer(c.model.Layers), Candidates: candidates, Links: links(c.model, domainLinkWeight)})
	if err == nil {
		c.planner = p
	}
}

// hopTime is the cost per token of each further engine: the transfer, and the risk of one
// more engine that may fail.
const hopTime = 300 * time.Microsecond

// domainLinkWeight multiplies the transfer time between domains. All transfers share that link, and a
// generation's memory may have to cross it whole, so paths cross only if their own domain lacks layers or
// memory.
const domainLinkWeight = 1000

// links returns the costs per token of a transfer between two engines, by their failure domains; the time on the
// link that domains share is multiplied by weight.
func links(m *ferryconfig.Model, weight time.Duration) ferrypipeline.LinkCosts {
	costs := ferrypipeline.LinkCosts{}
	shared := time.Duration(0)
	if m.DomainLinkRate > 0 {
		shared = time.Duration(float64(m.HandoverBytes) * 8 / (m.DomainLinkRate * 1e6) * float64(time.Second))
	}
	for _, d := range m.Delays {
		costs[[2]ferryid.DomainName{d.From, d.From}] = hopTime
		costs[[2]ferryid.DomainName{d.To, d.To}] = hopTime
		costs[[2]ferryid.DomainName{d.From, d.To}] = hopTime + d.OneWay + weight*shared
		costs[[2]ferryid.DomainName{d.To, d.From}] = hopTime + d.OneWay + weight*shared
	}
	return costs
}

// Work describes a generation that needs a path.
type Work struct {
	Prompt, Answer ferryid.Tokens
	Avoid          []ferryid.UpstreamName
	// Urgency is from 0 to 1, for the most urgent. Where the forecast has no room, the rest is left to urgent work.
	Urgency float64
	// Counted is set if an earlier Pick was for the same request, which then is no further arrival.
	Counted bool
}

// Run is one generation on its path. The first of Done, Cancelled, Failed, Unreachable and Refused ends it.
type Run struct {
	path    atomic.Pointer[Path]
	chooser *Chooser
	work    Work
	// reportAge is the age of the oldest engine report when the path was selected, or Unreported.
	reportAge time.Duration
	began     time.Time
	// forecast is set if the path is one of the forecast's.
	forecast bool
	// tokenTimes is the predicted time of the tokens on the engines, without prefill and waiting.
	tokenTimes time.Duration
	ended      atomic.Bool
	// progress is the time of the last event in Unix nanoseconds, by the chooser's clock, and switched that of the last
	// switch to another path.
	progress, switched atomic.Int64
}

// Progress records an event, which shows that all engines of the path were working.
func (r *Run) Progress(now time.Time) { r.progress.Store(now.UnixNano()) }

// Path returns the current path of the generation.
func (r *Run) Path() *Path { return r.path.Load() }

// PathAge returns how long ago the generation began on its current path.
func (r *Run) PathAge() time.Duration {
	now := r.chooser.opts.Clock.Now()
	if at := r.switched.Load(); at != 0 {
		return now.Sub(time.Unix(0, at))
	}
	return now.Sub(r.began)
}

// Unreported is the report age if an engine has no recent report.
const Unreported = time.Duration(-1)

// ReportAge returns the age of the oldest engine report when the path was selected.
//
// It is Unreported if one of the engines had no recent report.
func (r *Run) ReportAge() time.Duration { return r.reportAge }

// Forecast reports whether the path was selected from the forecast of the failure domain's arrivals.
func (r *Run) Forecast() bool { return r.forecast }

// Chooser returns the chooser that started the run.
func (r *Run) Chooser() *Chooser { return r.chooser }

// Pick selects a path and counts the generation on it, or returns ErrNoPath, ErrNoRoom or ErrNoForecastRoom.
func (c *Chooser) Pick(w Work) (*Run, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.updatePlanner()
	if c.planner == nil {
		return nil, ErrNoPath
	}
	now := c.opts.Clock.Now()
	if c.contended {
		if run, ok, err := c.pickForecast(w, now); ok || err != nil {
			return run, err
		}
	}
	plan := ferrypipeline.Plan{}
	for _, try := range []constraints{{sameDomain: true, healthy: true, fits: true, reserve: true}, {sameDomain: true, healthy: true, fits: true}, {healthy: true, fits: true}, {healthy: true, fits: true, tight: true}, {fits: true, tight: true}} {
		c.updateLoads(w, now, try)
		if err := c.planner.Choose(c.loads, nil, max(1, w.Answer), &plan); err == nil {
			return c.begin(&plan, w)
		}
	}
	c.updateLoads(w, now, constraints{healthy: true})
	if err := c.planner.Choose(c.loads, nil, max(1, w.Answer), &plan); err == nil {
		return nil, ErrNoRoom
	}
	return nil, ErrNoPath
}

// constraints restricts which engines may be selected.
type constraints struct {
	// sameDomain allows only engines of this entry's failure domain.
	sameDomain bool
	healthy    bool
	// fits requires free memory for the work. Unless tight is set, the expected growth of running generations
	// counts as used; reserve also keeps some memory free.
	fits    bool
	tight   bool
	reserve bool
	// moving is set for a running generation. Other entries probably move theirs at the same time.
	moving bool
	// movesPart is the part of those others that must fit too, all if it is zero.
	movesPart float64
	// present is set for an engine that already runs the generation.
	present bool
	// asOf replaces the time at which engines must want requests; it is zero for the present time.
	asOf time.Time
}

// updateLoads updates the planner's load of each engine.
func (c *Chooser) updateLoads(w Work, now time.Time, cons constraints) {
	for i, e := range c.engines {
		c.updateLoad(&c.loads[i], e, w, now, cons)
	}
}

func (c *Chooser) updateLoad(l *ferrypipeline.Load, e *engine, w Work, now time.Time, cons constraints) {
	wanted := now
	if !cons.asOf.IsZero() {
		wanted = cons.asOf
	}
	if e.down || (!cons.present && e.up.Deferred(wanted)) || (cons.sameDomain && e.up.FailureDomain != c.opts.Domain) {
		l.Avoid = true
		return
	}
	t := time.Duration(float64(c.model.TokenTime(e.kind, e.up.Layers.Len(), c.running(e, now)+1)) * e.pace(now))
	l.Rate = ferryid.TokensPerSecond(1 / max(t, minTokenTime).Seconds())
	l.Avoid = (cons.healthy && (e.pace(now) >= slowPace || !e.health.Usable(now, true))) ||
		(cons.fits && !c.fits(e, w, now, cons)) || excluded(w.Avoid, e)
}

// AvailableAt returns the earliest time at which the engines of some path want requests again, or zero unless every
// path has an engine that wants none now.
func (c *Chooser) AvailableAt() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.updatePlanner()
	now := c.opts.Clock.Now()
	var ends []time.Time
	for _, e := range c.engines {
		if e.up.Deferred(now) {
			ends = append(ends, e.up.RetryAt())
		}
	}
	if c.planner == nil || len(ends) == 0 || c.hasPath(now, now) {
		return time.Time{}
	}
	slices.SortFunc(ends, time.Time.Compare)
	i := sort.Search(len(ends), func(i int) bool { return c.hasPath(now, ends[i]) })
	if i == len(ends) {
		return time.Time{}
	}
	return ends[i]
}

// hasPath reports whether the engines that want requests at a time and are not down hold a path.
func (c *Chooser) hasPath(now, asOf time.Time) bool {
	c.updateLoads(Work{}, now, constraints{asOf: asOf})
	return c.planner.Choose(c.loads, nil, 1, &ferrypipeline.Plan{}) == nil
}

// slowPace is the slowdown from which an engine is used only if there is no other.
const slowPace = 2

// running estimates how many generations run on an engine: from the engine's last report and what this entry
// has started since, or from this entry's own count.
func (c *Chooser) running(e *engine, now time.Time) int {
	if !e.reportFresh(now) {
		return e.running * c.entriesSharing(e)
	}
	return max(e.running, e.reported.Running+(e.running-e.runningAtReport)*c.entriesSharing(e))
}

// minTokenTime keeps the rate of an engine with an unknown accelerator finite.
const minTokenTime = time.Microsecond

func excluded(avoid []ferryid.UpstreamName, e *engine) bool {
	for _, name := range avoid {
		if string(name) == e.up.Name {
			return true
		}
	}
	return false
}

// overcommit is the factor by which an entry may exceed its even share of an engine's memory while there is no
// report. Entries seldom use their shares at the same time, answers mostly stay below their limit, and an
// engine without memory refuses work before it starts.
const overcommit = 1.5

const (
	// expectedGrowth is the mean part of its answer for which a running generation still needs memory.
	expectedGrowth = 0.5
	// newWorkFactor estimates what all entries have started on an engine since its last report, as a
	// multiple of what this one has: entries are not all busy at once, and an engine without memory
	// refuses work before it starts.
	newWorkFactor = 1.5
)

// preferredFill is the fill level of an engine's memory above which other engines are preferred. Entries see
// each other's work about a second late and would otherwise all fill the fastest engine of a layer at once.
const preferredFill = 0.8

// fits reports whether the engine has memory for the work beside its running generations and, unless
// cons.tight is set, for their expected growth.
func (c *Chooser) fits(e *engine, w Work, now time.Time, cons constraints) bool {
	layers := int64(e.up.Layers.Len())
	work := int64(w.Prompt+w.Answer) * layers
	fill := 1.0
	if cons.reserve {
		fill = preferredFill
	}
	if !e.reportFresh(now) || e.reported.Room == 0 {
		share := overcommit * float64(c.model.RequestMemory(e.kind, int(layers))) / float64(c.entriesSharing(e))
		return e.running == 0 || float64(e.held+work) <= fill*share
	}
	factor := newWorkFactor
	if cons.moving {
		factor = max(factor, float64(c.entriesSharing(e)))
	}
	used := e.reported.Used + int64(factor*float64(max(0, e.held-e.heldAtReport)))
	if !cons.tight {
		used += int64(expectedGrowth*c.model.UsualAnswer) * layers * int64(e.reported.Running)
	}
	if cons.moving {
		// The moves that this one stands for.
		work = movingWork(work, factor, cons.movesPart)
	}
	return float64(used+work) <= fill*float64(e.reported.Room)
}

func (c *Chooser) begin(plan *ferrypipeline.Plan, w Work) (*Run, error) {
	path, err := New(plan, c.upstreams)
	if err != nil {
		return nil, err
	}
	now := c.opts.Clock.Now()
	for _, h := range path.hops {
		c.byName[ferryid.UpstreamName(h.Upstream.Name)].health.Chosen(now)
	}
	c.count(path, w, 1)
	run := &Run{chooser: c, work: w, began: now, tokenTimes: c.tokenTimes(path, w, now), reportAge: c.reportAge(path, now)}
	run.path.Store(path)
	c.runs[run] = struct{}{}
	return run, nil
}

// reportAge returns the age of the oldest report of the path's engines, or Unreported.
func (c *Chooser) reportAge(p *Path, now time.Time) time.Duration {
	oldest := time.Duration(0)
	for _, h := range p.hops {
		e := c.byName[ferryid.UpstreamName(h.Upstream.Name)]
		if !e.reportFresh(now) {
			return Unreported
		}
		oldest = max(oldest, now.Sub(e.reportedAt))
	}
	return oldest
}

func memoryNeed(w Work, h Hop) int64 {
	return int64(w.Prompt+w.Answer) * int64(h.Layers.Len())
}

// Done ends a generation that was delivered completely.
func (r *Run) Done() {
	recorded := false
	r.end(func(e *engine, now time.Time) {
		e.health.Succeeded()
		if !recorded {
			recorded = true
			r.chooser.recordDuration(now.Sub(r.began), r.tokenTimes)
		}
	})
}

// Cancelled ends a generation that the caller or this entry cancelled.
func (r *Run) Cancelled() {
	r.end(func(*engine, time.Time) {})
}

// Failed ends a generation that failed on the engine at the given index of the path. If the index is
// negative, the failure is not counted against any engine.
func (r *Run) Failed(at int) {
	r.endAt(at, func(e *engine, now time.Time) { e.health.Failed(now) })
}

// Unreachable ends a generation whose engine at the given index could not be reached.
func (r *Run) Unreachable(at int) {
	r.endAt(at, func(e *engine, now time.Time) {
		if !e.down {
			e.markDown(now)
		}
	})
}

// Refused ends a generation that the engine at the given index refused for lack of memory.
func (r *Run) Refused(at int) {
	r.endAt(at, func(e *engine, now time.Time) { e.health.Refused(now) })
}

func (r *Run) endAt(at int, f func(*engine, time.Time)) {
	r.end(func(e *engine, now time.Time) {
		if at >= 0 && e.up.Name == r.Path().hops[at].Upstream.Name {
			f(e, now)
		}
	})
}

// Report stores an engine's report, which was requested at the given time; older reports are ignored.
func (c *Chooser) Report(name string, cond Condition, at time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	e := c.byName[ferryid.UpstreamName(name)]
	if e == nil || !e.reportedAt.Before(at) {
		return
	}
	e.reported, e.reportedAt = cond, at
	e.heldAtReport, e.runningAtReport = e.held, e.running
}

func (r *Run) end(f func(*engine, time.Time)) {
	if r.ended.Swap(true) {
		return
	}
	c := r.chooser
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.opts.Clock.Now()
	c.count(r.Path(), r.work, -1)
	delete(c.runs, r)
	for _, h := range r.Path().hops {
		e := c.byName[ferryid.UpstreamName(h.Upstream.Name)]
		if e != nil && e.up.SameProcess(h.Upstream) {
			f(e, now)
		}
	}
}
