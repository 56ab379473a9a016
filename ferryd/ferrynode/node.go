package ferrynode

import (
	"context"
	"errors"
	"fmt"
	stdlog "log"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/rs/zerolog"

	"cactusferry.dev/ferry/ferryclaim"
	"cactusferry.dev/ferry/ferrydocument"
	"cactusferry.dev/ferry/ferrydrain"
	"cactusferry.dev/ferry/ferryengine"
	"cactusferry.dev/ferry/ferryevent"
	"cactusferry.dev/ferry/ferryid"
	"cactusferry.dev/ferry/ferrypeer"
	"cactusferry.dev/ferry/ferryplain"
	"cactusferry.dev/ferry/ferryplatform"
	"cactusferry.dev/ferry/ferrystream"
	"cactusferry.dev/ferry/ferrysubset"
	"cactusferry.dev/ferryd/ferrycaller"
	"cactusferry.dev/ferryd/ferrykeys"
	"cactusferry.dev/ferryd/ferrymetrics"
	"cactusferry.dev/ferryd/ferryoperator"
	"cactusferry.dev/ferryd/ferrysettings"
)

const (
	eventLogSize   = 8192
	resumeLifetime = time.Hour
)

// State is the lifecycle state of a node.
type State int32

// The states of a node, in lifecycle order.
const (
	// StateStarting means that the node waits until a document is in force or the platform reports that there is none.
	StateStarting State = iota
	// StateReady means that the node accepts calls.
	StateReady
	// StateDraining means that the node finishes open calls and refuses new ones.
	StateDraining
)

func (s State) String() string {
	switch s {
	case StateStarting:
		return "Starting"
	case StateReady:
		return "Ready"
	case StateDraining:
		return "Draining"
	}
	return fmt.Sprintf("State(%d)", int32(s))
}

// Node is one entry instance.
type Node struct {
	cfg      ferrysettings.Settings
	clock    clockwork.Clock
	log      zerolog.Logger
	listener func(network, address string) (net.Listener, error)
	self     ferryid.Incarnation
	current  atomic.Int32
	stopping atomic.Bool
	events   *ferryevent.Log
	list     atomic.Pointer[ferryplatform.Instances]
	metrics  *ferrymetrics.Metrics
	platform *ferryplatform.Client
	holder   *ferrydocument.Holder
	// activated maps each ferryid.ServiceName to the *ferrydocument.InForce that callers are served by.
	activated   sync.Map
	watcher     *ferrydocument.Watcher
	services    *services
	engines     *ferryengine.Client
	plain       *ferryplain.Client
	claims      *ferryclaim.Claims
	peer        *ferrypeer.Node
	sharedLoads *ferrypeer.Latest[engineLoad]
	// subsetLoads holds the reports that this entry read for its own subsets; they are not replicated.
	subsetLoads *ferrypeer.Latest[engineLoad]
	marks       *ferrydrain.Marks
	limits      *limits
	// appliedLoads holds the time of the last applied report by upstream; it is accessed only by the readLoads loop.
	appliedLoads map[string]time.Time
	nextLoadRead time.Time
	// rotation is accessed only by the readSubset loop.
	rotation    ferrysubset.Rotation
	loadReads   atomic.Int64
	peerKeys    *ferrykeys.Pair
	callers     *ferrycaller.Server
	callersHTTP *http.Server
	operators   *ferryoperator.Server
}

// New creates a node; it is inactive until Run.
func New(cfg ferrysettings.Settings, clock clockwork.Clock, log zerolog.Logger) (*Node, error) {
	n := &Node{
		cfg:      cfg,
		clock:    clock,
		listener: net.Listen,
		self:     ferryid.NewIncarnation(),
		log:      log.With().Str("Entry", string(cfg.Name)).Logger(),
		events:   ferryevent.NewLog(clock, string(cfg.Name), eventLogSize),
		metrics:  ferrymetrics.New("ferryd", metricsInterval),
	}
	n.platform = ferryplatform.New(ferryplatform.ClientConfig{
		URL: cfg.Platform.URL, Clock: clock, Timeout: time.Duration(cfg.Platform.Timeout),
		Budget: platformBudget(cfg.Platform.CallsPerSecond, 1),
	})
	n.holder = ferrydocument.NewHolder(clock, n.events)
	n.watcher = ferrydocument.NewWatcher(ferrydocument.WatcherConfig{Store: n.platform, Holder: n.holder, Clock: clock, Seed: uint64(clock.Now().UnixNano())})
	n.engines = ferryengine.New(ferryengine.ClientConfig{Clock: clock})
	n.services = newServices(clock, n.engines, n.events)
	n.services.onLeaving = n.markLeaving
	n.services.self = cfg.Name
	n.plain = ferryplain.New(ferryplain.ClientConfig{Clock: clock})
	n.sharedLoads = ferrypeer.NewLatest[engineLoad](ferrypeer.LatestConfig{
		Name: topicLoads, Self: cfg.Name, Size: maxLoads, Volatile: true, Clock: clock, Events: n.events,
	})
	n.subsetLoads = ferrypeer.NewLatest[engineLoad](ferrypeer.LatestConfig{
		Name: topicLoads, Self: cfg.Name, Size: maxLoads, Clock: clock, Events: n.events,
	})
	n.marks = ferrydrain.NewMarks(clock)
	n.limits = newLimits()
	if err := n.newServers(); err != nil {
		return nil, err
	}
	return n, n.newOverlay()
}

func (n *Node) newServers() error {
	keys := n.cfg.Keys.SealKeys()
	seal, err := ferryclaim.NewSeal(keys...)
	if err != nil {
		return err
	}
	sealer, err := ferrystream.NewSealer(ferrystream.SealerConfig{Keys: keys, MaxAge: resumeLifetime, Clock: n.clock})
	if err != nil {
		return err
	}
	n.claims = ferryclaim.New(ferryclaim.Config{
		Self: n.self, Store: n.platform, Seal: seal, Clock: n.clock, Asker: peerClient{n}, Forwarder: peerClient{n}, Live: n.liveIncarnations,
	})
	n.callers = &ferrycaller.Server{
		Clock: n.clock, Log: n.log, Events: n.events, Metrics: ferrycaller.NewMetrics(n.metrics.Scope), Documents: callerDocuments{n.services, n.holder}, Plain: n.plain, Claims: n.claims, Sealer: sealer,
		Upstreams: plainUpstreams{services: n.services, clock: n.clock, onLeaving: n.markLeaving},
		Models:    &models{node: n},
		Limits: ferrycaller.Limits{
			BodyTimeout: time.Duration(n.cfg.Callers.BodyTimeout), WriteTimeout: time.Duration(n.cfg.Callers.WriteTimeout),
		},
		Advertise: n.cfg.Callers.Advertise,
		Steer:     n.steer, Allow: n.allow, AddressOf: n.addressOf, Refuse: n.refuse,
	}
	n.operators = &ferryoperator.Server{
		Token: n.cfg.Keys.OperatorToken, Log: n.log, Events: n.events, Documents: n.holder, Store: n.platform,
		Status: n.status, Leave: n.setLeaving, Claim: n.lookupKey, SetLevel: zerolog.SetGlobalLevel,
	}
	return nil
}

func (n *Node) state() State {
	return State(n.current.Load())
}

func (n *Node) setState(s State) {
	if n.current.Swap(int32(s)) != int32(s) {
		n.events.Add("State", string(n.cfg.Name), "%s", s)
		n.log.Info().Str("State", s.String()).Msg("state changed")
		n.publishLoad(context.Background())
	}
}

// stdLog returns a logger that writes net/http's messages to the log.
func (n *Node) stdLog() *stdlog.Logger {
	return stdlog.New(n.log.With().Str("From", "net/http").Logger().Level(zerolog.DebugLevel), "", 0)
}

// Run serves until a signal requests a planned stop and all open calls have finished.
func (n *Node) Run(ctx context.Context, signals <-chan os.Signal) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	fail := func(err error) {
		if err != nil && !errors.Is(err, context.Canceled) {
			cancel(err)
		}
	}
	if err := n.startListeners(ctx, fail); err != nil {
		return err
	}
	n.startLoops(ctx, fail)
	stopped := make(chan error, 1)
	go func() { stopped <- n.stop(ctx, signals) }()
	select {
	case err := <-stopped:
		return err
	case <-ctx.Done():
		return context.Cause(ctx)
	}
}
