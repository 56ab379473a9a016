package ferryedge

import (
	"context"
	"errors"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/cespare/xxhash/v2"
	"golang.org/x/sync/errgroup"

	"cactusferry.dev/ferry/ferryconfig"
	"cactusferry.dev/ferry/ferrydiscovery"
	"cactusferry.dev/ferry/ferryevent"
	"cactusferry.dev/ferry/ferryexchange"
	"cactusferry.dev/ferry/ferryfollow"
	"cactusferry.dev/ferry/ferryforward"
	"cactusferry.dev/ferry/ferryguard"
	"cactusferry.dev/ferry/ferryid"
	"cactusferry.dev/ferry/ferryingress"
	"cactusferry.dev/ferry/ferrylog"
	"cactusferry.dev/ferry/ferrymemory"
	"cactusferry.dev/ferry/ferrypeer"
	"cactusferry.dev/ferry/ferryplatform"
	"cactusferry.dev/ferry/ferryrelay"
	"cactusferry.dev/ferry/ferrysuspect"
	"cactusferry.dev/ferryd/ferrymetrics"
)

const (
	eventBuffer     = 1024
	metricsInterval = 5 * time.Second
	firstAnswers    = 1 << 16 // numbers from which entries count their answers
	// dialTimeout is shorter than the 1 s after which TCP repeats a lost SYN, since another upstream answers sooner.
	dialTimeout = 400 * time.Millisecond
	// observerLinesPerSecond limits the log lines on what upstreams state in their answers.
	observerLinesPerSecond = 20
)

// State is the serving state of an edge.
type State int32

// The states of an edge, in their order.
const (
	// StateStarting means that the configuration or the upstreams are not known yet.
	StateStarting State = iota
	// StateReady means that callers are served.
	StateReady
	// StateStopping means that open calls are being finished.
	StateStopping
)

func (s State) String() string {
	return [...]string{"Starting", "Ready", "Stopping"}[s]
}

// Edge is an entry for routed services.
type Edge struct {
	cfg             Config
	self            ferryid.Incarnation
	state           atomic.Int32
	upstreamsListed atomic.Bool // set once the upstreams are known
	holder          *ferryconfig.Holder
	upstreams       *ferrydiscovery.Table
	services        *ferryforward.Services
	client          *ferryexchange.Client
	observer        *ferryforward.Observer
	guard           *ferryguard.Guard
	forwarder       *ferryforward.Forwarder
	ingress         *ferryingress.Server
	callerListener  net.Listener
	events          *ferryevent.Log
	peer            *ferrypeer.Node
	// leave announces the departure to the peers.
	leave     func(context.Context) error
	placement *placement
	states    *ferrypeer.Latest[entryState]
	relay     *ferryrelay.Relay
	// started is closed when requests can be served.
	started   chan struct{}
	startOnce sync.Once
	// accepted is closed when no further connection of a caller is accepted.
	accepted chan struct{}
	// answers counts the steering answers of this entry, from a number that differs between entries.
	answers atomic.Uint32
	// configStale is set while this entry cannot prove its configuration current.
	configStale atomic.Bool
	// configObject is the object of the configuration in force.
	configObject atomic.Pointer[ferryplatform.Object]
	// configEpoch is the epoch of the platform in which it last had the configuration in force, plus one.
	configEpoch atomic.Uint32
	// configAhead is the version in force while the platform holds an older one, else 0.
	configAhead atomic.Uint64
	// conditions are the engines' conditions as published by the entries that read them.
	conditions *ferrypeer.Latest[conditions]
	// engineIndex belongs to the condition reader.
	engineIndex engineIndex
	// silent maps the engines that did not answer their reader to when that was published, as a time.Time.
	silent sync.Map
	// reports are the observations of prompt parts that entries share, and suspects what follows from them.
	reports  *ferrypeer.Latest[ferrysuspect.Report]
	suspects *ferrysuspect.Suspects
	// crashReports counts the crashes that this entry has reported.
	crashReports atomic.Uint32
	metrics      *ferrymetrics.Metrics
	// unlogged are the upstreams' states that have no log line yet.
	unlogged unlogged
}

// New assembles an edge; Run starts it.
func New(cfg Config) *Edge {
	if cfg.Listen == nil {
		cfg.Listen = net.Listen
	}
	e := &Edge{
		cfg: cfg, self: newIncarnation(cfg.Name),
		holder: &ferryconfig.Holder{}, started: make(chan struct{}), accepted: make(chan struct{}), upstreams: ferrydiscovery.NewTable(cfg.Clock),
		events:  ferryevent.NewLog(cfg.Steady, string(cfg.Name), eventBuffer),
		metrics: ferrymetrics.New("edge", metricsInterval),
	}
	e.client = ferryexchange.New(ferryexchange.Config{Clock: cfg.Clock, DialTimeout: dialTimeout, Dial: cfg.Dial, Memory: e.newMemory("answers")})
	e.answers.Store(uint32(xxhash.Sum64String(string(e.self)) % firstAnswers))
	e.guard = ferryguard.New(ferryguard.Config{Log: &e.cfg.Log, Scope: e.metrics.Scope, Clock: cfg.Clock})
	e.services = ferryforward.NewServices(ferryforward.ServicesConfig{
		Clock: cfg.Clock, Domain: cfg.Domain,
		RetryWindow: cfg.Objectives.RetryWindow, RetryRatio: cfg.Objectives.RetryRatio, RetryAllowance: cfg.Objectives.RetryAllowance, Resumed: !cfg.FirstStart,
	})
	e.newSuspects()
	e.observer = &ferryforward.Observer{
		Upstreams: e.upstreams, Clock: cfg.Clock,
		Log: ferrylog.New(ferrylog.Config{Log: cfg.Log, Clock: cfg.Clock, PerSecond: observerLinesPerSecond, Scope: e.metrics.Scope}),
	}
	e.forwarder = ferryforward.New(ferryforward.Config{
		Clock: cfg.Clock, Steady: cfg.Steady, Holder: e.holder, Services: e.services, Dialect: cfg.Dialect, Client: e.client, Observer: e.observer, Rerouter: cfg.Engines(e.client, e.observer), Suspects: e.suspects,
		Log: cfg.Log, Scope: e.metrics.Scope, MaxProofAge: cfg.Objectives.KeyAge, DrainTime: cfg.Objectives.LeaveWithin, Started: e.started, OthersServe: func() bool { return e.anyConfigCurrent(false) },
	})
	e.ingress = ferryingress.NewServer(ferryingress.Config{
		Clock: cfg.Clock, Log: cfg.Log, Handle: e.forwarder.Handle, Refused: e.forwarder.Refused, Limits: e.limits, MaxConns: cfg.MaxConns, Guard: e.guard, Memory: e.newMemory("requests"),
	})
	e.newRelay()
	e.placement = e.newPlacement()
	e.holder.OnChange(e.onConfig)
	e.upstreams.OnChange(e.services.SetView)
	e.upstreams.OnChange(e.placement.setView)
	e.newStates()
	e.newConditions()
	e.newOverlay()
	e.leave = e.peer.Leave
	return e
}

// memoryShare is the part of the memory limit that each budget gets. The rest is for connections, state and garbage.
const memoryShare = 8

func (e *Edge) newMemory(name string) *ferrymemory.Budget {
	return ferrymemory.New(ferrymemory.Config{
		Name: name, Size: e.cfg.Memory / memoryShare, Log: e.cfg.Log, Clock: e.cfg.Steady, Scope: e.metrics.Scope,
	})
}

// Ready reports whether callers may be sent to this entry.
func (e *Edge) Ready() bool { return State(e.state.Load()) == StateReady }

// Metrics returns the metrics of the edge.
func (e *Edge) Metrics() *ferrymetrics.Metrics { return e.metrics }

// setState changes the state to a later one; earlier states are ignored.
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
	e.cfg.Log.Info().Str("State", s.String()).Msg("entry state changed")
	e.publishReadiness()
}

// setReadyIfListed makes the edge ready if the configuration and the list of upstreams are known.
func (e *Edge) setReadyIfListed() {
	if e.holder.Current() != nil && e.upstreamsListed.Load() {
		e.setState(StateReady)
	}
	e.startIfProved()
}

// startIfProved releases the requests that wait for the start, if the configuration and the upstreams are
// known and keys are proved valid.
func (e *Edge) startIfProved() {
	s := e.holder.Current()
	if s == nil || !e.upstreamsListed.Load() {
		return
	}
	if _, proved := e.holder.Age(e.cfg.Steady.Now()); proved || !s.Keyed || e.cfg.Objectives.KeyAge <= 0 {
		e.startOnce.Do(func() { close(e.started) })
	}
}

// onConfig applies a new configuration.
func (e *Edge) onConfig(s *ferryconfig.Snapshot) {
	e.services.SetConfig(s)
	e.placement.setConfig(s)
	e.setReadyIfListed()
}

// limits returns the limits of the configuration in force.
func (e *Edge) limits() ferryingress.Limits {
	s := e.holder.Current()
	if s == nil {
		return ferryingress.Limits{}
	}
	l := s.Limits
	return ferryingress.Limits{HeaderBytes: l.HeaderBytes, BodyBytes: l.BodyBytes, HeaderTimeout: l.HeaderTimeout, IdleTimeout: l.IdleTimeout}
}

// Run serves until a signal requests a stop and all open work has ended.
func (e *Edge) Run(ctx context.Context, signals <-chan os.Signal) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	e.cfg.Log.Info().Str("Entry", string(e.cfg.Name)).Str("Domain", string(e.cfg.Domain)).Str("Callers", e.cfg.Callers).
		Str("Incarnation", string(e.self)).Msg("entry started")
	g, ctx := errgroup.WithContext(ctx)
	if err := e.listen(ctx, g); err != nil {
		return merry.Prepend(err, "listen")
	}
	peerCtx, endPeer := context.WithCancel(context.WithoutCancel(ctx))
	defer endPeer()
	g.Go(func() error { return e.peer.Run(peerCtx) })
	g.Go(func() error { return e.readPlatform(ctx) })
	for name, duty := range map[string]func(context.Context){
		"upstream expiry": e.expireUpstreams, "placement": e.placement.run, "placement lease": e.placement.runLease, "state sharing": e.shareEntryState,
		"condition reader": e.readConditions, "probes of engines that are down": e.probeDown, "connection sweep": e.sweep, "late lines of upstreams": e.writeUnlogged, "metrics of customers": e.recordCustomers,
	} {
		g.Go(func() error { return e.guard.Loop(ctx, name, duty) })
	}
	stopped := make(chan time.Time, 1)
	go func() {
		stopped <- e.stop(ctx, signals)
		cancel()
	}()
	<-ctx.Done()
	left := make(chan struct{})
	go func(began time.Time) {
		defer close(left)
		defer endPeer()
		if !began.IsZero() {
			e.announceDeparture(began)
		}
	}(<-stopped)
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		_ = g.Wait()
	}()
	limit := e.cfg.Clock.After(cutTime)
	e.awaitCut()
	<-left
	select {
	case <-ended:
	case <-limit:
	}
	e.client.Close()
	if err := context.Cause(ctx); !errors.Is(err, context.Canceled) {
		return err
	}
	return nil
}

// readPlatform keeps the configuration and the upstreams current.
func (e *Edge) readPlatform(ctx context.Context) error {
	e.awaitPeers(ctx)
	g, ctx := errgroup.WithContext(ctx)
	for name, read := range map[string]func(context.Context){
		"configuration watch": e.followConfig, "configuration proof": e.proveConfig, "upstream watch": e.followUpstreams,
	} {
		g.Go(func() error { return e.guard.Loop(ctx, name, read) })
	}
	return g.Wait()
}

// sweep closes idle connections to upstreams periodically.
func (e *Edge) sweep(ctx context.Context) {
	for e.pause(ctx, sweepInterval) {
		e.client.Sweep()
	}
}

const sweepInterval = time.Second

// recordCustomers updates the metrics of customers periodically.
func (e *Edge) recordCustomers(ctx context.Context) {
	for e.pause(ctx, customerInterval) {
		e.forwarder.RecordCustomers()
	}
}

// customerInterval is the time in which the weight of a customer's requests falls to 1/e.
const customerInterval = 10 * time.Second

// pause waits for d and reports whether the context is still active.
func (e *Edge) pause(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-e.cfg.Clock.After(d):
		return true
	}
}

// follow keeps a view of one kind of the platform's objects current until the context ends.
func (e *Edge) follow(ctx context.Context, kind string, wait, changePause time.Duration, w ferryfollow.Watcher) {
	ferryfollow.New(ferryfollow.Config{
		Source: e.relay, Kind: kind, Clock: e.cfg.Clock, Log: e.cfg.Log, Wait: wait, ChangePause: changePause, Watcher: w,
	}).Run(ctx)
}

// SetObjectives applies changed objectives. Only KeyAge takes effect while the edge runs.
func (e *Edge) SetObjectives(p Objectives) {
	e.forwarder.SetMaxProofAge(p.KeyAge)
	e.cfg.Log.Info().Dur("KeyAge", p.KeyAge).Msg("service objectives applied; only KeyAge takes effect without a restart")
}
