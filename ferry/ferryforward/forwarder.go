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
	"cactusferry.dev/ferry/ferryid"
	"cactusferry.dev/ferry/ferryingress"
	"cactusferry.dev/ferry/ferrylog"
	"cactusferry.dev/ferry/ferryoutcome"
)

// Config is what a Forwarder needs; all but MaxAge, OthersServe and Started must be set.
type Config struct {
	Clock clockwork.Clock
	// Steady is a clock that also counts the time for which the instance is suspended.
	Steady   clockwork.Clock
	Holder   *ferryconfig.Holder
	Services *Services
	Dialect  Dialect
	Client   *ferryexchange.Client
	// Started is closed once the entry knows all that it needs to serve; requests that come before wait a little. It may be nil.
	Started <-chan struct{}
	// OthersServe reports whether some other entry could serve what this one cannot for want of the platform.
	OthersServe func() bool
	// Rerouter moves runs around engines that are gone.
	Rerouter Rerouter
	Log      zerolog.Logger
	Scope    tally.Scope
	// MaxAge is how long ago the configuration must have been proved current for a request with a key; zero stands for no limit.
	MaxAge time.Duration
}

// Forwarder takes requests to upstreams.
type Forwarder struct {
	cfg Config
	// log takes what goes wrong with requests, and answers the lines of those that went well; each is bounded by itself.
	log, answers zerolog.Logger
	metrics      metrics
	prober       *prober
	maxAge       atomic.Int64
}

// New returns a forwarder.
func New(cfg Config) *Forwarder {
	f := &Forwarder{
		cfg: cfg, log: bounded(cfg, troubleLines), answers: bounded(cfg, answerLines),
		metrics: metrics{cfg.Scope}, prober: newProber(cfg.Client, cfg.Clock),
	}
	f.SetMaxAge(cfg.MaxAge)
	return f
}

// The most lines in a second on requests that went well, and on all else; a line costs about ten microseconds.
const (
	answerLines  = 60
	troubleLines = 150
)

func bounded(cfg Config, perSecond int) zerolog.Logger {
	return ferrylog.New(ferrylog.Config{Log: cfg.Log, Clock: cfg.Clock, PerSecond: perSecond, Scope: cfg.Scope})
}

// SetMaxAge says how long ago the configuration must have been proved current for a request with a key; zero stands for no limit.
func (f *Forwarder) SetMaxAge(d time.Duration) {
	f.maxAge.Store(int64(d))
}

// Handle answers one call.
func (f *Forwarder) Handle(ctx context.Context, c *ferryingress.Call) {
	f.awaitStart(ctx)
	r, p := f.admit(c)
	if p != nil {
		f.problem(r, p)
		return
	}
	ctx, cancel := r.timed(ctx)
	defer cancel()
	r.service.budget.Request()
	if r.route.Streaming || r.service.chooser != nil {
		f.stream(ctx, r)
		return
	}
	f.plain(ctx, r)
}

// startWait is how long a request waits for an entry that starts, which reads what it needs in about 150 ms where the platform answers.
const startWait = 400 * time.Millisecond

// awaitStart keeps a request that came while the entry was starting for a little while: it will be served sooner than by coming back.
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

// admit finds the route and the customer of a call, or the problem that stands in its way.
func (f *Forwarder) admit(c *ferryingress.Call) (*request, *ferryoutcome.Problem) {
	r := &request{call: c, proofAge: noProof}
	ask, err := f.cfg.Dialect.Ask(c.Header)
	r.Ask = ask
	if err != nil {
		return r, ferryoutcome.New(ferryoutcome.KindBadRequest, ferryoutcome.NotRun, "%s", err)
	}
	s := f.cfg.Holder.Current()
	if s == nil {
		return r, ferryoutcome.New(ferryoutcome.KindUnavailable, ferryoutcome.NotRun, "This entry has no configuration yet.").After(afterRestart)
	}
	r.version = s.Version
	if age, proved := f.cfg.Holder.Age(f.cfg.Steady.Now()); proved {
		r.proofAge = age
	}
	if r.route = s.Route(c.Host, c.Path()); r.route == nil {
		return r, ferryoutcome.New(ferryoutcome.KindNotFound, ferryoutcome.NotRun, "No route for host %q and this path in configuration %d.", c.Host, s.Version)
	}
	if p := f.authenticate(r, s); p != nil {
		return r, p
	}
	now := f.cfg.Clock.Now()
	r.deadline = now.Add(maxWait)
	for _, wait := range []time.Duration{r.Wait, r.route.Timeout} {
		if at := c.At.Add(wait); wait > 0 && at.Before(r.deadline) {
			r.deadline = at
		}
	}
	r.service = f.cfg.Services.get(r.route.Target(xxhash.Sum64String(string(r.ID))))
	if r.service == nil {
		return r, ferryoutcome.New(ferryoutcome.KindUnavailable, ferryoutcome.NotRun, "The route's service is not known here yet.").After(afterRestart)
	}
	r.header = ferryexchange.PassOn(c.Header)
	return r, nil
}

// maxWait bounds a request for which nobody states a limit.
const maxWait = 10 * time.Minute

// authenticate finds the customer; a key can only be trusted while the configuration is known to be current.
func (f *Forwarder) authenticate(r *request, s *ferryconfig.Snapshot) *ferryoutcome.Problem {
	if !s.Keyed() || r.route.Public {
		return nil
	}
	if most := time.Duration(f.maxAge.Load()); most > 0 && (r.proofAge == noProof || r.proofAge >= most) {
		p := ferryoutcome.New(ferryoutcome.KindPlatformDown, ferryoutcome.NotRun, "The keys were last known to be valid %s ago, the limit is %s.", r.proofAge.Round(time.Millisecond), most)
		if f.cfg.OthersServe != nil && f.cfg.OthersServe() {
			return p.After(afterStale)
		}
		return p.After(afterOutage)
	}
	customer := s.Customer(r.Key)
	if customer == nil {
		return ferryoutcome.New(ferryoutcome.KindUnauthorized, ferryoutcome.NotRun, "The key is unknown in configuration %d.", s.Version)
	}
	r.customer = customer.Name
	return nil
}

// avoidName adds an upstream to those that the request has failed at.
func (r *request) avoidName(name string) {
	r.avoid = append(r.avoid, ferryid.UpstreamName(name))
}
