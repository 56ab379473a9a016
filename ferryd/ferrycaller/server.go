package ferrycaller

import (
	"context"
	"encoding/json"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/go-chi/chi/v5"
	"github.com/jonboulle/clockwork"
	"github.com/rs/zerolog"

	"cactusferry.dev/ferry/ferryclaim"
	"cactusferry.dev/ferry/ferryevent"
	"cactusferry.dev/ferry/ferryid"
	"cactusferry.dev/ferry/ferryoutcome"
	"cactusferry.dev/ferry/ferrypipeline"
	"cactusferry.dev/ferry/ferryplain"
	"cactusferry.dev/ferry/ferryqueue"
	"cactusferry.dev/ferry/ferryroute"
	"cactusferry.dev/ferry/ferryservice"
	"cactusferry.dev/ferry/ferrysteer"
	"cactusferry.dev/ferry/ferrystream"
)

// Documents provides the service documents in force.
type Documents interface {
	Document(name ferryid.ServiceName) (*ferryservice.Document, bool)
	// Customer returns the customer of the service with the given key.
	Customer(name ferryid.ServiceName, key string) (ferryservice.Customer, bool)
	// BodyLimit returns the largest body size, in bytes, that any model service accepts from the key's customer;
	// it returns false for an unknown key.
	BodyLimit(key string) (int64, bool)
}

// Upstreams chooses among the upstreams of plain services.
type Upstreams interface {
	// Choose returns an upstream that is not excluded and counts the call as dispatched to it.
	Choose(d *ferryservice.Document, exclude []ferryid.UpstreamName) (ferryservice.Upstream, *ferryroute.Dispatch, bool)
	// Done reports the result of a call.
	Done(d *ferryservice.Document, u ferryservice.Upstream, dispatch *ferryroute.Dispatch, err error)
	// Retry takes one retry from the service's retry budget and returns false if there is none left.
	Retry(d *ferryservice.Document) bool
}

// Models admits calls and runs completions.
type Models interface {
	// Acquire waits for a slot of the service or returns a *ferryoutcome.Problem.
	Acquire(ctx context.Context, d *ferryservice.Document, it ferryqueue.Item) (*ferryqueue.Grant, error)
	// Run generates one answer and calls emit for each token in order.
	Run(ctx context.Context, d *ferryservice.Document, job ferrypipeline.Job, emit func(ferrypipeline.Token) error) (ferrypipeline.Result, error)
}

// Limits are the timeouts of the callers' listener.
type Limits struct {
	BodyTimeout  time.Duration
	WriteTimeout time.Duration
}

// EntriesAnswer lists the entries that a caller should use, the best first, and how long the list is valid.
type EntriesAnswer struct {
	Service         ferryid.ServiceName
	Entries         []ferrysteer.Target
	LifetimeSeconds int
}

// Server serves the callers' HTTP interface.
type Server struct {
	Clock     clockwork.Clock
	Log       zerolog.Logger
	Events    *ferryevent.Log
	Metrics   *Metrics
	Documents Documents
	Upstreams Upstreams
	Models    Models
	Claims    *ferryclaim.Claims
	Sealer    *ferrystream.Sealer
	Plain     *ferryplain.Client
	Limits    Limits
	Advertise string
	// Steer returns the entries that a customer should use.
	Steer func(d *ferryservice.Document, cu ferryservice.Customer, id ferryid.RequestID) EntriesAnswer
	// Allow takes n calls from the customer's rate limit, or returns how long to wait and false.
	Allow func(d *ferryservice.Document, cu ferryservice.Customer, n float64) (time.Duration, bool)
	// AddressOf returns the address that callers of another incarnation use.
	AddressOf func(ferryid.Incarnation) (string, bool)
	// Refuse returns a problem while this entry accepts no new calls, else nil.
	Refuse func() *ferryoutcome.Problem

	openStreams atomic.Int64
	openCalls   atomic.Int64
}

// OpenCounts returns the numbers of open streams and calls.
func (s *Server) OpenCounts() (streams, calls int) {
	return int(s.openStreams.Load()), int(s.openCalls.Load())
}

// trackOpen increments n and returns the function that decrements it.
func (s *Server) trackOpen(n *atomic.Int64) func() {
	n.Add(1)
	return func() { n.Add(-1) }
}

// checkServing returns a problem while the entry accepts no new calls.
func (s *Server) checkServing() *ferryoutcome.Problem {
	return s.Refuse()
}

// checkRateLimit takes n calls from the customer's rate limit.
func (s *Server) checkRateLimit(c *caller, n float64) *ferryoutcome.Problem {
	after, ok := s.Allow(c.doc, c.customer, n)
	if ok {
		return nil
	}
	return ferryoutcome.New(ferryoutcome.KindLimit, ferryoutcome.NotRun,
		"Customer %q is over its limit of %v calls a second for this service.", c.customer.Name, c.customer.RequestsPerSecond).WithRetryAfter(after)
}

// entries handles GET /v1/entries.
func (s *Server) entries(w http.ResponseWriter, r *http.Request) {
	c, p := s.authenticate(r, r.URL.Query().Get("service"), "")
	if p != nil {
		s.fail(w, r, p)
		return
	}
	writeJSON(w, s.Steer(c.doc, c.customer, c.id))
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}

// Handler returns the handler of the callers' listener.
func (s *Server) Handler() http.Handler {
	m := chi.NewRouter()
	m.Use(s.assignRequestID)
	m.Post("/v1/completions", func(w http.ResponseWriter, r *http.Request) { s.completions(w, r, false) })
	m.Post("/v1/chat/completions", func(w http.ResponseWriter, r *http.Request) { s.completions(w, r, true) })
	m.HandleFunc("/v1/services/{service}/*", s.service)
	m.Get("/v1/entries", s.entries)
	m.Post("/v1/tickets", s.tickets)
	m.NotFound(func(w http.ResponseWriter, r *http.Request) {
		s.fail(w, r, ferryoutcome.New(ferryoutcome.KindNotFound, ferryoutcome.NotRun, "There is nothing at %.200q; see the README for the paths.", r.URL.Path))
	})
	m.MethodNotAllowed(func(w http.ResponseWriter, r *http.Request) {
		p := badRequest("The method %s is not allowed here.", r.Method)
		p.Status = http.StatusMethodNotAllowed
		s.fail(w, r, p)
	})
	return m
}

// assignRequestID gives each request an id, which is in its answer, in the log and in the call
// to the upstream.
func (s *Server) assignRequestID(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		id := ferryid.NewRequestID()
		r.Header.Set(ferryplain.RequestIDHeader, string(id))
		w.Header().Set(ferryplain.RequestIDHeader, string(id))
		next.ServeHTTP(w, r.WithContext(context.WithValue(r.Context(), callInfoKey{}, &callInfo{})))
	})
}

type callInfoKey struct{}

// callInfo is what is known of a call when it fails, for its log line and the scope of its outcome.
type callInfo struct {
	customer ferryid.CustomerName
	stream   ferryid.StreamID
	// keyed is true for a call with a key or a ticket; lookedUp once earlier attempts with it were looked up.
	keyed    bool
	lookedUp bool
}

// setScope limits a refusal to this attempt if earlier attempts with the key or ticket were not looked up.
func (info *callInfo) setScope(p *ferryoutcome.Problem) {
	switch p.Kind {
	case ferryoutcome.KindKeyReused, ferryoutcome.KindConflict:
		return
	}
	if info.keyed && !info.lookedUp && p.Outcome == ferryoutcome.NotRun {
		p.Scope = ferryoutcome.ScopeAttempt
	}
}

func callInfoOf(ctx context.Context) *callInfo {
	if info, ok := ctx.Value(callInfoKey{}).(*callInfo); ok {
		return info
	}
	return &callInfo{}
}

func requestID(r *http.Request) ferryid.RequestID {
	return ferryid.RequestID(r.Header.Get(ferryplain.RequestIDHeader))
}

// fail answers with a problem and logs it.
func (s *Server) fail(w http.ResponseWriter, r *http.Request, p *ferryoutcome.Problem) {
	callInfoOf(r.Context()).setScope(p)
	s.logFailure(r, p)
	p.Write(w)
}

func (s *Server) logFailure(r *http.Request, p *ferryoutcome.Problem) {
	p.RequestID = string(requestID(r))
	s.Metrics.countFailure(p)
	e := s.Log.Info()
	if p.Status >= http.StatusInternalServerError && p.Outcome != ferryoutcome.NotRun {
		e = s.Log.Warn()
	}
	info := callInfoOf(r.Context())
	e.Str("RequestID", p.RequestID).Str("Customer", string(info.customer)).Str("StreamID", string(info.stream)).Str("Kind", string(p.Kind)).Str("Outcome", string(p.Outcome)).AnErr("Cause", p.Cause).Msg("call failed")
}

func (s *Server) logUpstreamFailure(c *caller, u ferryservice.Upstream, err error) {
	s.Log.Info().Str("RequestID", string(c.id)).Str("Customer", string(c.customer.Name)).Str("Upstream", string(u.Name)).Err(err).Msg("upstream call failed")
	s.Events.Add("UpstreamFailed", string(u.Name), "request %s: %v", c.id, err)
}
