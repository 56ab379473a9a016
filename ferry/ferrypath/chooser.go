package ferrypath

import (
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"

	"cactusferry.dev/ferry/ferryconfig"
	"cactusferry.dev/ferry/ferrydiscovery"
	"cactusferry.dev/ferry/ferryid"
	"cactusferry.dev/ferry/ferrypipeline"
)

// ErrNoPath says that the engines that may be used do not hold all layers.
var ErrNoPath = errors.New("no path of engines holds all layers")

// ErrNoRoom says that every path leads over an engine whose memory is full.
var ErrNoRoom = errors.New("every path leads over an engine without memory to spare")

// Options set up a Chooser.
type Options struct {
	Clock clockwork.Clock
	// Domain is the failure domain of this entry; a path that begins there costs no bytes between domains.
	Domain ferryid.DomainName
}

// Chooser chooses paths over the engines of one service; all methods may be called from any goroutine.
type Chooser struct {
	opts    Options
	version atomic.Int64

	mu      sync.Mutex
	model   *ferryconfig.Model
	engines []*engine
	names   map[ferryid.UpstreamName]*engine
	ups     map[ferryid.UpstreamName]*ferrydiscovery.Upstream
	planner *ferrypipeline.Planner
	loads   []ferrypipeline.Load
	// runs are the generations under way.
	runs map[*Run]struct{}
	// entries counts those that take calls in each failure domain.
	entries map[ferryid.DomainName]int
}

// NewChooser returns a chooser without engines.
func NewChooser(opts Options) *Chooser {
	if opts.Clock == nil {
		opts.Clock = clockwork.NewRealClock()
	}
	return &Chooser{opts: opts, names: map[ferryid.UpstreamName]*engine{}, runs: map[*Run]struct{}{}}
}

// SetEntries says how many entries of each failure domain give work to the engines.
func (c *Chooser) SetEntries(byDomain map[ferryid.DomainName]int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.entries = byDomain
}

// sharers is how many entries probably give work to an engine: those of its failure domain, since paths keep to one where they can.
func (c *Chooser) sharers(e *engine) int {
	n := c.entries[e.up.FailureDomain]
	if e.up.FailureDomain != c.opts.Domain {
		n++
	}
	return max(1, n)
}

// Version rises whenever the engines change.
func (c *Chooser) Version() int64 { return c.version.Load() }

// Set takes the model and the engines of the service; what is known of an engine that still runs is kept.
func (c *Chooser) Set(m *ferryconfig.Model, list []*ferrydiscovery.Upstream) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.version.Add(1)
	old := c.names
	c.model = m
	c.engines = c.engines[:0]
	c.names = make(map[ferryid.UpstreamName]*engine, len(list))
	c.ups = make(map[ferryid.UpstreamName]*ferrydiscovery.Upstream, len(list))
	candidates := ferrypipeline.Candidates{}
	for _, u := range list {
		kind, known := m.Accelerator(ferryconfig.AcceleratorName(u.Accelerator))
		name := ferryid.UpstreamName(u.Name)
		e := old[name]
		if e == nil || !e.up.SameRun(u) {
			e = &engine{}
		}
		e.up, e.kind = u, kind
		c.names[name] = e
		if !known || !u.Ready() || u.Layers.Len() == 0 {
			continue
		}
		c.ups[name] = u
		c.engines = append(c.engines, e)
		candidates = append(candidates, ferrypipeline.Candidate{Name: name, Address: u.Address, Domain: u.FailureDomain, Layers: u.Layers})
	}
	c.loads = make([]ferrypipeline.Load, len(c.engines))
	c.planner = nil
	p, err := ferrypipeline.NewPlanner(ferrypipeline.PlannerConfig{Layers: ferryid.Layer(m.Layers), Candidates: candidates, Links: links(m)})
	if err == nil {
		c.planner = p
	}
}

// hopTime is what each further engine costs a token, for its way there and for one more engine that may fail.
const hopTime = 300 * time.Microsecond

// linkWeight is how much a transfer between domains weighs beside its own time: all others wait for the same link meanwhile, and
// a generation's memory passes over it whole. Paths cross only where their own domain lacks layers or room.
const linkWeight = 1000

// links are the times that a token takes from one engine to the next, by their failure domains.
func links(m *ferryconfig.Model) ferrypipeline.LinkCosts {
	costs := ferrypipeline.LinkCosts{}
	shared := time.Duration(0)
	if m.DomainLinkRate > 0 {
		shared = time.Duration(float64(m.HandoverBytes) * 8 / (m.DomainLinkRate * 1e6) * float64(time.Second))
	}
	for _, d := range m.Delays {
		costs[[2]ferryid.DomainName{d.From, d.From}] = hopTime
		costs[[2]ferryid.DomainName{d.To, d.To}] = hopTime
		costs[[2]ferryid.DomainName{d.From, d.To}] = hopTime + d.OneWay + linkWeight*shared
		costs[[2]ferryid.DomainName{d.To, d.From}] = hopTime + d.OneWay + linkWeight*shared
	}
	return costs
}

// Work is one generation to be placed.
type Work struct {
	Prompt, Answer ferryid.Tokens
	Avoid          []ferryid.UpstreamName
}

// Run is one generation on its path; it is ended by exactly one of Done, Cancelled, Failed, Unreachable and Refused.
type Run struct {
	path    atomic.Pointer[Path]
	chooser *Chooser
	work    Work
	// reportAge is how old the oldest of the engines' reports was by which the path was chosen, or Unreported.
	reportAge time.Duration
	// progress is when the last event came, by the chooser's clock in nanoseconds.
	progress atomic.Int64
}

// Progress notes that an event came, which shows that all engines of the path were working.
func (r *Run) Progress(now time.Time) { r.progress.Store(now.UnixNano()) }

// Path is the path that the generation runs on now.
func (r *Run) Path() *Path { return r.path.Load() }

// Unreported is the age of a report that was not there.
const Unreported = time.Duration(-1)

// ReportAge is how old the oldest of the engines' reports was by which the path was chosen, or Unreported if one had none.
func (r *Run) ReportAge() time.Duration { return r.reportAge }

// Chooser is what the run was picked by.
func (r *Run) Chooser() *Chooser { return r.chooser }

// Pick chooses a path and counts the generation on it, or returns ErrNoPath or ErrNoRoom.
func (c *Chooser) Pick(w Work) (*Run, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.planner == nil {
		return nil, ErrNoPath
	}
	now := c.opts.Clock.Now()
	plan := ferrypipeline.Plan{}
	for _, try := range []rule{{within: true, healthy: true, fits: true, roomy: true}, {within: true, healthy: true, fits: true}, {healthy: true, fits: true}, {healthy: true, fits: true, tight: true}, {fits: true, tight: true}} {
		c.weigh(w, now, try)
		if err := c.planner.Choose(c.loads, nil, max(1, w.Answer), &plan); err == nil {
			return c.begin(&plan, w)
		}
	}
	c.weigh(w, now, rule{healthy: true})
	if err := c.planner.Choose(c.loads, nil, max(1, w.Answer), &plan); err == nil {
		return nil, ErrNoRoom
	}
	return nil, ErrNoPath
}

// rule says which engines a choice may use.
type rule struct {
	// within allows engines of this entry's failure domain only.
	within  bool
	healthy bool
	// fits asks for memory for the work, and tight leaves out what runs already and will still grow; roomy keeps some free besides.
	fits  bool
	tight bool
	roomy bool
}

// weigh prepares what the planner has to know of each engine.
func (c *Chooser) weigh(w Work, now time.Time, r rule) {
	for i, e := range c.engines {
		c.weighOne(&c.loads[i], e, w, now, r)
	}
}

func (c *Chooser) weighOne(l *ferrypipeline.Load, e *engine, w Work, now time.Time, r rule) {
	t := time.Duration(float64(tokenTime(c.model, e.kind, e.up.Layers.Len(), c.running(e, now)+1)) * e.pace(now))
	l.Rate = ferryid.TokensPerSecond(1 / max(t, minTokenTime).Seconds())
	l.Avoid = e.down || (r.within && e.up.FailureDomain != c.opts.Domain) ||
		(r.healthy && (e.pace(now) >= tooSlow || !e.health.Usable(now, true))) ||
		(r.fits && !c.fits(e, w, now, r)) || avoids(w.Avoid, e)
}

// tooSlow is the pace from which an engine gets work only where there is no other.
const tooSlow = 2

// running estimates how many generations run on an engine: by its own word and what this entry has begun since, or from this entry's own.
func (c *Chooser) running(e *engine, now time.Time) int {
	if !e.known(now) {
		return e.running * c.sharers(e)
	}
	return max(e.running, e.reported.Running+(e.running-e.ranThen)*c.sharers(e))
}

// minTokenTime keeps the rate of an engine of an unknown kind finite.
const minTokenTime = time.Microsecond

func avoids(avoid []ferryid.UpstreamName, e *engine) bool {
	for _, name := range avoid {
		if string(name) == e.up.Name {
			return true
		}
	}
	return false
}

// overcommit is how much more than its even part of an engine's memory an entry may use while the engine has said nothing: the
// others seldom use all of theirs at the same time, answers mostly stay below their limit, and an engine without room says so before it begins.
const overcommit = 1.5

const (
	// growth is how much of its answer a running generation has still to keep in memory on average.
	growth = 0.5
	// othersSince is how much all entries have begun on an engine since its last word, as a multiple of what this one has: not all of
	// them are busy at the same moment, and an engine without room says so before it begins.
	othersSince = 1.5
)

// roomyShare is the part of an engine's memory up to which it gets work before others. The fastest engine of a layer would else be filled
// by all entries at once, since each hears only a second later what the others have given it.
const roomyShare = 0.8

// fits reports whether the engine's memory holds the work besides what runs there, and, unless it is tight, what that will grow to.
func (c *Chooser) fits(e *engine, w Work, now time.Time, r rule) bool {
	layers := int64(e.up.Layers.Len())
	work := int64(w.Prompt+w.Answer) * layers
	most := 1.0
	if r.roomy {
		most = roomyShare
	}
	if !e.known(now) || e.reported.Room == 0 {
		share := overcommit * float64(room(c.model, e.kind, int(layers))) / float64(c.sharers(e))
		return e.running == 0 || float64(e.held+work) <= most*share
	}
	used := e.reported.Used + int64(othersSince*float64(max(0, e.held-e.heldThen)))
	if !r.tight {
		used += int64(growth*float64(c.model.UsualAnswer)) * layers * int64(e.reported.Running)
	}
	return float64(used+work) <= most*float64(e.reported.Room)
}

func (c *Chooser) begin(plan *ferrypipeline.Plan, w Work) (*Run, error) {
	path, err := New(plan, c.ups)
	if err != nil {
		return nil, err
	}
	now := c.opts.Clock.Now()
	for _, h := range path.hops {
		c.names[ferryid.UpstreamName(h.Upstream.Name)].health.Chosen(now)
	}
	c.count(path, w, 1)
	run := &Run{chooser: c, work: w, reportAge: c.reportAge(path, now)}
	run.path.Store(path)
	c.runs[run] = struct{}{}
	return run, nil
}

// reportAge is the age of the oldest report of a path's engines.
func (c *Chooser) reportAge(p *Path, now time.Time) time.Duration {
	oldest := time.Duration(0)
	for _, h := range p.hops {
		e := c.names[ferryid.UpstreamName(h.Upstream.Name)]
		if !e.known(now) {
			return Unreported
		}
		oldest = max(oldest, now.Sub(e.at))
	}
	return oldest
}

func need(w Work, h Hop) int64 {
	return int64(w.Prompt+w.Answer) * int64(h.Layers.Len())
}

// Done ends a generation that came whole.
func (r *Run) Done() {
	r.end(func(e *engine, _ time.Time) { e.health.Succeeded() })
}

// Cancelled ends a generation that the caller or this entry gave up.
func (r *Run) Cancelled() {
	r.end(func(*engine, time.Time) {})
}

// Failed ends a generation that the engine at the given index of the path failed, or any of them if it is negative.
func (r *Run) Failed(at int) {
	r.blame(at, func(e *engine, now time.Time) { e.health.Failed(now) })
}

// Unreachable ends a generation for which the engine at the given index could not be reached.
func (r *Run) Unreachable(at int) {
	r.blame(at, func(e *engine, now time.Time) {
		if !e.down {
			e.down, e.downAt = true, now
		}
	})
}

// Refused ends a generation that the engine at the given index had no room for.
func (r *Run) Refused(at int) {
	r.blame(at, func(e *engine, now time.Time) { e.health.Refused(now) })
}

func (r *Run) blame(at int, f func(*engine, time.Time)) {
	r.end(func(e *engine, now time.Time) {
		if at >= 0 && e.up.Name == r.Path().hops[at].Upstream.Name {
			f(e, now)
		}
	})
}

// Report takes what an engine says of itself; it was asked at the given time.
func (c *Chooser) Report(name string, cond Condition, at time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	e := c.names[ferryid.UpstreamName(name)]
	if e == nil || !e.at.Before(at) {
		return
	}
	e.reported, e.at = cond, at
	e.heldThen, e.ranThen = e.held, e.running
}

func (r *Run) end(f func(*engine, time.Time)) {
	c := r.chooser
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.opts.Clock.Now()
	c.count(r.Path(), r.work, -1)
	delete(c.runs, r)
	for _, h := range r.Path().hops {
		e := c.names[ferryid.UpstreamName(h.Upstream.Name)]
		if e != nil && e.up.SameRun(h.Upstream) {
			f(e, now)
		}
	}
}
