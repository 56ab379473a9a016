package ferryforward

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/jonboulle/clockwork"
	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"

	"cactusferry.dev/ferry/ferryconfig"
	"cactusferry.dev/ferry/ferryexchange"
	"cactusferry.dev/ferry/ferryguard"
	"cactusferry.dev/ferry/ferryid"
	"cactusferry.dev/ferry/ferryingress"
	"cactusferry.dev/ferry/ferrylog"
	"cactusferry.dev/ferry/ferryoutcome"
	"cactusferry.dev/ferry/ferrysuspect"
)

// Config configures a Forwarder; all fields but Observer, MaxProofAge, Patience, DrainTime, OthersServe and Started are required.
type Config struct {
	Clock clockwork.Clock
	// Steady is a clock that also advances while the instance is suspended.
	Steady   clockwork.Clock
	Holder   *ferryconfig.Holder
	Services *Services
	Dialect  Dialect
	Client   *ferryexchange.Client
	// Observer records what upstreams state in their answers. It may be nil.
	Observer *Observer
	// Started is closed once the entry is ready to serve; earlier requests wait up to startWait. It may be nil.
	Started <-chan struct{}
	// OthersServe reports whether another entry could serve a request that this one refuses because the
	// platform is unreachable.
	OthersServe func() bool
	// Rerouter moves runs off unreachable engines.
	Rerouter Rerouter
	// Suspects finds the prompt parts that crash engines; by default it knows what this entry observes.
	Suspects *ferrysuspect.Suspects
	Log      zerolog.Logger
	Scope    tally.Scope
	// MaxProofAge is the maximum age of the proof that the configuration is current, for requests with a key;
	// zero means no limit.
	MaxProofAge time.Duration
	// Patience is how long callers wait for the events of a stream; the zero value means 2 s or longer.
	Patience Patience
	// DrainTime is how long an engine at least goes on after it is reported as leaving; 2 s by default.
	DrainTime time.Duration
}

// Forwarder forwards requests to upstreams.
type Forwarder struct {
	cfg Config
	// log is for failed and late requests, successLog for the others; each has its own rate limit.
	log, successLog zerolog.Logger
	metrics         metrics
	customers       customerMetrics
	prober          *prober
	guard           *ferryguard.Guard
	maxProofAge     atomic.Int64
	// configChanged is when the configuration in force took effect.
	configChanged atomic.Pointer[time.Time]
	// stopping is set once a planned stop has begun.
	stopping atomic.Pointer[stopping]
	// lost are the engines of which it is not known yet whether they crashed on a request.
	lost lostEngines
}

// New returns a Forwarder.
func New(cfg Config) *Forwarder {
	if cfg.Patience == (Patience{}) {
		cfg.Patience = defaultPatience
	}
	if cfg.Suspects == nil {
		cfg.Suspects = ferrysuspect.New(ferrysuspect.Config{Clock: cfg.Steady, Log: cfg.Log, Scope: cfg.Scope})
	}
	if cfg.DrainTime == 0 {
		cfg.DrainTime = defaultDrainTime
	}
	f := &Forwarder{
		cfg: cfg, metrics: metrics{cfg.Scope}, guard: ferryguard.New(ferryguard.Config{Log: &cfg.Log, Scope: cfg.Scope, Clock: cfg.Clock}),
	}
	f.log, f.successLog = f.rateLimited(problemLinesPerSecond), f.rateLimited(successLinesPerSecond)
	f.prober = newProber(cfg.Client, cfg.Clock, f.guard)
	cfg.Services.onView(f.settleLosses)
	f.SetMaxProofAge(cfg.MaxProofAge)
	cfg.Holder.OnChange(func(*ferryconfig.Snapshot) {
		now := cfg.Clock.Now()
		f.configChanged.Store(&now)
	})
	return f
}

// Limits on log lines per second, for successful requests and for everything else. A line costs about 10 µs.
const (
	successLinesPerSecond = 60
	problemLinesPerSecond = 150
)

// rateLimited returns a logger without a limit at the end of a planned stop, when no requests follow and each open one
// has its last lines.
func (f *Forwarder) rateLimited(perSecond int) zerolog.Logger {
	return ferrylog.New(ferrylog.Config{Log: f.cfg.Log, Clock: f.cfg.Clock, PerSecond: perSecond, Scope: f.cfg.Scope, Lifted: f.stopEnds})
}

// SetMaxProofAge sets the maximum age of the proof that the configuration is current, for requests with a
// key; zero means no limit.
func (f *Forwarder) SetMaxProofAge(d time.Duration) {
	f.maxProofAge.Store(int64(d))
}

// Handle serves one call.
func (f *Forwarder) Handle(ctx context.Context, c *ferryingress.Call) {
	f.awaitStart(ctx)
	r := &request{call: c, proofAge: noProof}
	defer f.recordUnanswered(ctx, r)
	var p *ferryoutcome.Problem
	if err := f.guard.Run("admission", c.Remote, func() { p = f.admit(r) }); err != nil {
		p = ferryoutcome.New(ferryoutcome.KindInternal, ferryoutcome.NotRun, "The request failed inside the router.").WithCause(err)
	}
	if p != nil {
		f.answerProblem(r, p)
		return
	}
	ctx, cancel := r.withDeadline(ctx)
	defer cancel()
	r.service.budget.Request()
	err := f.guard.Run("request", string(r.ID), func() {
		if r.route.Streaming || r.service.chooser != nil {
			f.stream(ctx, r)
			return
		}
		f.plain(ctx, r)
	})
	if err != nil {
		f.failAfterPanic(r, err)
	}
}

// failAfterPanic ends a request whose handling panicked. Whether an upstream ran it is not known.
func (f *Forwarder) failAfterPanic(r *request, err error) {
	for _, dest := range r.destinations {
		finishCancelled(dest)
	}
	f.answerProblem(r, ferryoutcome.New(ferryoutcome.KindUpstreamFailed, ferryoutcome.Unknown, "The request failed inside the router.").WithCause(err))
}

// startWait is how long a request waits for the entry to start. Loading takes about 150 ms when the platform
// answers.
const startWait = 400 * time.Millisecond

// awaitStart holds a request that arrives during startup, since a short wait is faster for the caller than a
// retry.
func (f *Forwarder) awaitStart(ctx context.Context) {
	if f.cfg.Started == nil {
		return
	}
	select {
	case <-f.cfg.Started:
		return
	default:
	}
	select {
	case <-f.cfg.Started:
	case <-ctx.Done():
	case <-f.cfg.Clock.After(startWait):
	}
}

// admit resolves the route, customer and service of a call, or returns the problem to answer with.
func (f *Forwarder) admit(r *request) *ferryoutcome.Problem {
	c := r.call
	info, err := f.cfg.Dialect.DecodeRequest(c.Header)
	r.RequestInfo = info
	if err != nil {
		return ferryoutcome.New(ferryoutcome.KindBadRequest, ferryoutcome.NotRun, "%s", err)
	}
	s := f.cfg.Holder.Current()
	if s == nil {
		return ferryoutcome.New(ferryoutcome.KindUnavailable, ferryoutcome.NotRun, "This entry has no configuration yet.").WithRetryAfter(retryAfterRestart)
	}
	r.version = s.Version
	if age, proved := f.cfg.Holder.Age(f.cfg.Steady.Now()); proved {
		r.proofAge = age
	}
	if r.route = s.Route(c.Host, c.Path()); r.route == nil {
		return ferryoutcome.New(ferryoutcome.KindNotFound, ferryoutcome.NotRun, "No route for host %q and this path in configuration %d.", c.Host, s.Version)
	}
	if p := f.authenticate(r, s); p != nil {
		return p
	}
	now := f.cfg.Clock.Now()
	r.deadline = now.Add(maxTimeout)
	for _, wait := range []time.Duration{r.Timeout, r.route.Timeout} {
		if at := c.At.Add(wait); wait > 0 && at.Before(r.deadline) {
			r.deadline = at
		}
	}
	r.service = f.cfg.Services.get(r.route.Target(xxhash.Sum64String(string(r.ID))))
	if p := f.refuseLate(r, now); p != nil {
		return p
	}
	if r.service == nil {
		return ferryoutcome.New(ferryoutcome.KindUnavailable, ferryoutcome.NotRun, "The route's service is not known here yet.").WithRetryAfter(retryAfterRestart)
	}
	if r.service.chooser != nil {
		r.rank, r.ranks = s.Rank(r.service.name, r.route, s.Customer(r.Key)), s.Ranks(r.service.name)
	}
	r.header = ferryexchange.EndToEndHeaders(c.Header)
	return nil
}

// maxTimeout is the timeout of a request for which neither caller nor route sets a shorter one.
const maxTimeout = 10 * time.Minute

// authenticate resolves the customer. A key is accepted only while the configuration is proved to be current,
// since it may have been revoked. A key that nobody has is refused even where none is needed: it may have been one of the
// last to be revoked.
func (f *Forwarder) authenticate(r *request, s *ferryconfig.Snapshot) *ferryoutcome.Problem {
	if r.route.Public || (!s.Keyed && r.Key == "") {
		return nil
	}
	if limit := time.Duration(f.maxProofAge.Load()); limit > 0 && (r.proofAge == noProof || r.proofAge >= limit) {
		p := ferryoutcome.New(ferryoutcome.KindPlatformDown, ferryoutcome.NotRun, "The keys were last known to be valid %s ago, the limit is %s.", r.proofAge.Round(time.Millisecond), limit)
		if f.cfg.OthersServe != nil && f.cfg.OthersServe() {
			return p.WithRetryAfter(retryAfterStale)
		}
		return p.WithRetryAfter(retryAfterOutage)
	}
	customer := s.Customer(r.Key)
	if customer == nil {
		return ferryoutcome.New(ferryoutcome.KindUnauthorized, ferryoutcome.NotRun, "The key is unknown in configuration %d.", s.Version)
	}
	r.customer = customer.Name
	return nil
}

// avoidUpstream excludes an upstream that failed the request from further attempts.
func (r *request) avoidUpstream(name string) {
	r.avoid = append(r.avoid, ferryid.UpstreamName(name))
}
