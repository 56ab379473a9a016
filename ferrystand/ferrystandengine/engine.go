package ferrystandengine

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/go-chi/chi/v5"
	"github.com/jonboulle/clockwork"

	"cactusferry.dev/ferry/ferryengine"
	"cactusferry.dev/ferry/ferryid"
	"cactusferry.dev/ferry/ferryoutcome"
)

const (
	defaultSlots        = 16
	defaultLoadLag      = 500 * time.Millisecond
	defaultEventLag     = 500 * time.Millisecond
	defaultCacheEntries = 1024
	heartbeatInterval   = 250 * time.Millisecond
	maxStreams          = 4096
	maxBodyBytes        = 256 << 20
)

// Config sets up an engine; zero values choose the defaults.
type Config struct {
	Name        ferryid.UpstreamName
	Service     ferryid.ServiceName
	Layers      ferryid.LayerRange
	Accelerator string
	// TokensPerSecond is the rate of tokens through all of Layers; a stage of fewer layers costs less, and 0 means no limit.
	TokensPerSecond ferryid.TokensPerSecond
	// Slots is the number of streams that share the rate at once.
	Slots        int
	LoadLag      time.Duration
	EventLag     time.Duration
	CacheEntries int
	Clock        clockwork.Clock
	// HTTP sends the calls to the next stage of a chain.
	HTTP *http.Client
	// Journal, if set, is written one JSON line for each step before its result leaves the engine, so that it outlives a killed process.
	Journal io.Writer
	// OnDie runs when a fault kills the engine, in place of the usual broken connections only.
	OnDie func()
}

func (cfg *Config) setDefaults() {
	if cfg.Slots <= 0 {
		cfg.Slots = defaultSlots
	}
	if cfg.LoadLag <= 0 {
		cfg.LoadLag = defaultLoadLag
	}
	if cfg.EventLag <= 0 {
		cfg.EventLag = defaultEventLag
	}
	if cfg.CacheEntries <= 0 {
		cfg.CacheEntries = defaultCacheEntries
	}
	if cfg.Clock == nil {
		cfg.Clock = clockwork.NewRealClock()
	}
}

// Engine is one stand-in engine.
type Engine struct {
	cfg    Config
	clock  clockwork.Clock
	client *ferryengine.Client
	sched  *scheduler
	mux    *chi.Mux
	stop   context.CancelFunc

	mu          sync.Mutex
	incarnation ferryid.Incarnation
	life        context.Context
	die         context.CancelFunc
	faults      Faults
	order       ferryengine.Order
	layers      ferryid.LayerRange
	leaving     bool
	streams     streams
	records     recordLog
	cache       *prefixCache
	reports     reports
	silent      chan struct{}
}

// New returns an engine that runs until Close.
func New(cfg Config) *Engine {
	cfg.setDefaults()
	ctx, stop := context.WithCancel(context.Background())
	e := &Engine{
		cfg:    cfg,
		clock:  cfg.Clock,
		client: ferryengine.New(ferryengine.ClientConfig{HTTP: cfg.HTTP, Clock: cfg.Clock}),
		sched:  newScheduler(cfg.Clock, cfg.Slots),
		stop:   stop,
		layers: cfg.Layers,
		silent: make(chan struct{}),
	}
	e.reset()
	e.routes()
	go e.sched.run(ctx)
	go e.report(ctx)
	return e
}

// reset starts a new incarnation, which knows no stream.
func (e *Engine) reset() {
	e.incarnation = ferryid.NewIncarnation()
	e.life, e.die = context.WithCancel(context.Background())
	e.streams = newStreams()
	e.cache = newPrefixCache(e.cfg.CacheEntries)
}

// Restart brings a dead engine back as a new incarnation with nothing in memory and no faults.
func (e *Engine) Restart() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.die()
	e.reset()
	e.faults = Faults{}
}

// Kill breaks all connections and refuses new ones until Restart.
func (e *Engine) Kill() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.die()
}

// Close stops the engine's goroutines.
func (e *Engine) Close() {
	e.Kill()
	e.stop()
}

// Leave marks the engine as leaving: running streams go on, new work is refused.
func (e *Engine) Leave() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.leaving = true
}

// WentSilent receives while a run of the engine hangs in silence.
func (e *Engine) WentSilent() <-chan struct{} {
	return e.silent
}

// Incarnation identifies the engine's present run.
func (e *Engine) Incarnation() ferryid.Incarnation {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.incarnation
}

func (e *Engine) routes() {
	e.mux = chi.NewRouter()
	e.mux.Post("/v1/stages/run", e.handleRun)
	e.mux.Post("/v1/streams/{stream}/cancel", e.handleCancel)
	e.mux.Get("/v1/kv/{stream}", e.handleExport)
	e.mux.Put("/v1/kv/{stream}", e.handleImport)
	e.mux.Get("/v1/load", e.handleLoad)
	e.mux.Get("/v1/cache-events", e.handleCacheEvents)
	e.mux.Post("/v1/orders", e.handleOrder)
	e.mux.Get("/admin/records", e.handleRecords)
	e.mux.Put("/admin/faults", e.handleFaults)
}

// ServeHTTP answers the engine interface and the stand-in's own calls under /admin.
func (e *Engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	e.mu.Lock()
	life, silent := e.life, e.faults.Silent
	e.mu.Unlock()
	admin := r.URL.Path == "/admin/faults" || r.URL.Path == "/admin/records"
	if silent && !admin {
		e.hang(r.Context(), life)
	}
	if !admin && (silent || life.Err() != nil) {
		abort(w)
		return
	}
	ctx, cancel := context.WithCancel(r.Context())
	defer cancel()
	defer context.AfterFunc(life, cancel)()
	e.mux.ServeHTTP(w, r.WithContext(ctx))
}

// hang holds a connection without a byte until the other side gives up or the engine dies.
func (e *Engine) hang(ctx, life context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-life.Done():
			return
		case e.silent <- struct{}{}:
			// A reader waits for the silence; it may need to hear of it more than once.
		}
	}
}

// abort closes the connection at once, without an end of the answer and without reading the rest of the request.
func abort(w http.ResponseWriter) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	_ = conn.Close()
}

func readJSON(w http.ResponseWriter, r *http.Request, v interface{ Check() error }) bool {
	err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes)).Decode(v)
	if err == nil {
		err = v.Check()
	}
	if err != nil {
		ferryoutcome.New(ferryoutcome.KindBadRequest, ferryoutcome.NotRun, "%v", err).Write(w)
		return false
	}
	return true
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}
