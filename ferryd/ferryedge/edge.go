package ferryedge

import (
	"context"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/ansel1/merry/v2"
	"golang.org/x/sync/errgroup"

	"cactusferry.dev/ferry/ferryconfig"
	"cactusferry.dev/ferry/ferrydiscovery"
	"cactusferry.dev/ferry/ferryevent"
	"cactusferry.dev/ferry/ferryexchange"
	"cactusferry.dev/ferry/ferryfollow"
	"cactusferry.dev/ferry/ferryforward"
	"cactusferry.dev/ferry/ferryid"
	"cactusferry.dev/ferry/ferryingress"
	"cactusferry.dev/ferry/ferrypeer"
	"cactusferry.dev/ferry/ferryrelay"
	"cactusferry.dev/ferryd/ferrymetrics"
)

const (
	eventRing       = 1024
	metricsInterval = 5 * time.Second
	dialTimeout     = 400 * time.Millisecond // a lost opening packet is sent again after a second, when another upstream has long answered
)

// State says whether an edge serves callers.
type State int32

// The states of an edge, in the order they follow one another.
const (
	// StateStarting lacks the configuration or the upstreams.
	StateStarting State = iota
	// StateReady serves.
	StateReady
	// StateStopping finishes what is open.
	StateStopping
)

func (s State) String() string {
	return [...]string{"Starting", "Ready", "Stopping"}[s]
}

// Edge is one entry for routed services.
type Edge struct {
	cfg       Config
	self      ferryid.Incarnation
	state     atomic.Int32
	listed    atomic.Bool
	holder    *ferryconfig.Holder
	upstreams *ferrydiscovery.Table
	services  *ferryforward.Services
	client    *ferryexchange.Client
	forwarder *ferryforward.Forwarder
	ingress   *ferryingress.Server
	callers   net.Listener
	events    *ferryevent.Log
	peer      *ferrypeer.Node
	placement *placement
	states    *ferrypeer.Latest[entryState]
	relay     *ferryrelay.Relay
	// started is closed once requests can be served.
	started chan struct{}
	start   sync.Once
	// blind says that this entry cannot prove the configuration current.
	blind atomic.Bool
	// conditions are what the engines say of themselves, as some entries have read it.
	conditions *ferrypeer.Latest[conditions]
	metrics    *ferrymetrics.Metrics
}

// New puts an edge together; nothing runs yet.
func New(cfg Config) *Edge {
	e := &Edge{
		cfg: cfg, self: newIncarnation(cfg.Name),
		holder: &ferryconfig.Holder{}, started: make(chan struct{}), upstreams: ferrydiscovery.NewTable(cfg.Clock),
		events:  ferryevent.NewLog(cfg.Steady, string(cfg.Name), eventRing),
		metrics: ferrymetrics.New("edge", metricsInterval),
		client:  ferryexchange.New(ferryexchange.Config{Clock: cfg.Clock, DialTimeout: dialTimeout}),
	}
	e.services = ferryforward.NewServices(ferryforward.ServicesConfig{
		Clock: cfg.Clock, Domain: cfg.Domain,
		RepeatWindow: cfg.Promise.RepeatWindow, RepeatRatio: cfg.Promise.RepeatRatio, RepeatAllowance: cfg.Promise.RepeatAllowance, Resumed: !cfg.First,
	})
	e.forwarder = ferryforward.New(ferryforward.Config{
		Clock: cfg.Clock, Steady: cfg.Steady, Holder: e.holder, Services: e.services, Dialect: cfg.Dialect, Client: e.client, Rerouter: cfg.Engines(e.client),
		Log: cfg.Log, Scope: e.metrics.Scope, MaxAge: cfg.Promise.KeyAge, Started: e.started, OthersServe: func() bool { return e.anySighted(false) },
	})
	e.ingress = ferryingress.NewServer(ferryingress.Config{
		Clock: cfg.Clock, Log: cfg.Log, Handle: e.forwarder.Handle, Refused: e.forwarder.Refused, Limits: e.limits, MaxConns: cfg.MaxConns,
	})
	e.newRelay()
	e.placement = e.newPlacement()
	e.holder.OnChange(e.onConfig)
	e.upstreams.OnChange(e.services.SetView)
	e.upstreams.OnChange(e.placement.setView)
	e.newShare()
	e.newConditions()
	e.newOverlay()
	return e
}

// Ready reports whether callers may be sent here.
func (e *Edge) Ready() bool { return State(e.state.Load()) == StateReady }

// Metrics is the page of counters and histograms.
func (e *Edge) Metrics() *ferrymetrics.Metrics { return e.metrics }

// setState moves the edge on; states only follow one another.
func (e *Edge) setState(s State) {
	for {
		old := State(e.state.Load())
		if old >= s {
			return
		}
		if e.state.CompareAndSwap(int32(old), int32(s)) {
			break
		}
	}
	e.cfg.Log.Info().Str("State", s.String()).Msg("state")
	e.tellState()
}

// readyIf makes the edge ready once it knows the configuration and has read the list of upstreams.
func (e *Edge) readyIf() {
	if e.holder.Current() != nil && e.listed.Load() {
		e.setState(StateReady)
	}
	e.startIf()
}

// startIf lets the requests go that wait for the start: configuration and upstreams must be known, and keys known to be valid.
func (e *Edge) startIf() {
	s := e.holder.Current()
	if s == nil || !e.listed.Load() {
		return
	}
	if _, proved := e.holder.Age(e.cfg.Steady.Now()); proved || !s.Keyed() || e.cfg.Promise.KeyAge <= 0 {
		e.start.Do(func() { close(e.started) })
	}
}

// onConfig brings a new configuration into force.
func (e *Edge) onConfig(s *ferryconfig.Snapshot) {
	e.services.SetConfig(s)
	e.placement.setConfig(s)
	e.readyIf()
}

// limits are those of the configuration in force.
func (e *Edge) limits() ferryingress.Limits {
	s := e.holder.Current()
	if s == nil {
		return ferryingress.Limits{}
	}
	l := s.Limits
	return ferryingress.Limits{HeaderBytes: l.HeaderBytes, BodyBytes: l.BodyBytes, HeaderTimeout: l.HeaderTimeout, IdleTimeout: l.IdleTimeout}
}

// Run serves until a signal asks it to stop and everything open is finished.
func (e *Edge) Run(ctx context.Context, signals <-chan os.Signal) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	e.cfg.Log.Info().Str("Entry", string(e.cfg.Name)).Str("Domain", string(e.cfg.Domain)).Str("Callers", e.cfg.Callers).
		Str("Incarnation", string(e.self)).Msg("started")
	g, ctx := errgroup.WithContext(ctx)
	if err := e.listen(ctx, g); err != nil {
		return merry.Prepend(err, "listen")
	}
	g.Go(func() error { return e.peer.Run(ctx) })
	g.Go(func() error { e.readPlatform(ctx); return nil })
	g.Go(func() error { e.expireUpstreams(ctx); return nil })
	g.Go(func() error { e.placement.run(ctx); return nil })
	g.Go(func() error { e.shareState(ctx); return nil })
	g.Go(func() error { e.readConditions(ctx); return nil })
	g.Go(func() error { e.probeDown(ctx); return nil })
	g.Go(func() error { e.sweep(ctx); return nil })
	stopped := make(chan struct{})
	go func() {
		defer close(stopped)
		e.stop(ctx, signals)
		cancel()
	}()
	err := g.Wait()
	cancel()
	<-stopped
	e.client.Close()
	return err
}

// readPlatform follows the configuration and the upstreams.
func (e *Edge) readPlatform(ctx context.Context) {
	e.awaitCompany(ctx)
	var wg sync.WaitGroup
	for _, read := range []func(context.Context){e.followConfig, e.proveConfig, e.followUpstreams} {
		wg.Go(func() { read(ctx) })
	}
	wg.Wait()
}

// sweep closes idle connections to upstreams now and then.
func (e *Edge) sweep(ctx context.Context) {
	for e.pause(ctx, sweepEvery) {
		e.client.Sweep()
	}
}

const sweepEvery = time.Second

// pause waits and reports whether the context still lasts.
func (e *Edge) pause(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-e.cfg.Clock.After(d):
		return true
	}
}

// follow keeps a view of one kind of the platform's objects current until the context ends.
func (e *Edge) follow(ctx context.Context, kind string, wait, pace time.Duration, w ferryfollow.Watcher) {
	ferryfollow.New(ferryfollow.Config{
		Source: e.relay, Kind: kind, Clock: e.cfg.Clock, Log: e.cfg.Log, Wait: wait, Pace: pace, Watcher: w,
	}).Run(ctx)
}

// SetPromise takes the figures of changed settings; those of the listeners and of duties that run stay as they were at the start.
func (e *Edge) SetPromise(p Promise) {
	e.forwarder.SetMaxAge(p.KeyAge)
	e.cfg.Log.Info().Dur("KeyAge", p.KeyAge).Msg("promise")
}
