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

// Config is the configuration of an engine; zero values select the defaults.
type Config struct {
	Name        ferryid.UpstreamName
	Service     ferryid.ServiceName
	Layers      ferryid.LayerRange
	Accelerator string
	// TokensPerSecond is the rate of tokens through all of Layers, 0 for
	// no limit. A stage with fewer layers takes less time per token.
	TokensPerSecond ferryid.TokensPerSecond
	// Slots is the number of concurrent streams that share the rate.
	Slots        int
	LoadLag      time.Duration
	EventLag     time.Duration
	CacheEntries int
	Clock        clockwork.Clock
	// HTTP is the client for calls to the next stage of a chain.
	HTTP *http.Client
	// Journal, if set, receives one JSON line per step before the result
	// of the step is sent, so that it is complete after a kill.
	Journal io.Writer
	// OnDie, if set, is called after a fault has killed the engine and broken its connections.
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

// Engine is one engine stand-in. Kill and Restart simulate the end and the restart of its process.
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
	go e.publishLoad(ctx)
	return e
}

// reset starts a new incarnation without any streams.
func (e *Engine) reset() {
	e.incarnation = ferryid.NewIncarnation()
	e.life, e.die = context.WithCancel(context.Background())
	e.streams = newStreams()
	e.cache = newPrefixCache(e.cfg.CacheEntries)
}

// Restart restarts the engine as a new incarnation with empty memory and no faults.
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

// Leave marks the engine as leaving: running streams continue, new work is refused.
func (e *Engine) Leave() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.leaving = true
}

// WentSilent returns a channel from which a value can be
// received while a call hangs because of a silence fault.
func (e *Engine) WentSilent() <-chan struct{} {
	return e.silent
}

// Incarnation returns the engine's current incarnation.
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

// ServeHTTP serves the engine interface and the stand-in's own calls under /admin.
func (e *Engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	e.mu.Lock()
	life, silent := e.life, e.faults.Silent
	e.mu.Unlock()
	admin := r.URL.Path == "/admin/faults" || r.URL.Path == "/admin/records"
	if silent && !admin {
		e.holdOpen(r.Context(), life)
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

// holdOpen keeps a connection open without sending data until the client closes it or the engine is killed.
func (e *Engine) holdOpen(ctx, life context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-life.Done():
			return
		case e.silent <- struct{}{}:
			// A test may wait for the silence more than once.
		}
	}
}

// abort closes the connection immediately, without completing the answer or reading the rest of the request.
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
