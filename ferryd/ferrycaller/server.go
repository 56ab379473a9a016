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

// Documents gives the documents in force.
type Documents interface {
	Document(name ferryid.ServiceName) (*ferryservice.Document, bool)
	// Customer returns the customer of the service that a key belongs to.
	Customer(name ferryid.ServiceName, key string) (ferryservice.Customer, bool)
	// BodyLimit returns the bytes of the largest body that any model service takes from the key's customer, and false for a key of none.
	BodyLimit(key string) (int64, bool)
}

// Upstreams chooses among the upstreams of plain services.
type Upstreams interface {
	// Choose returns an upstream that is not excluded, and counts the call at once.
	Choose(d *ferryservice.Document, exclude []ferryid.UpstreamName) (ferryservice.Upstream, *ferryroute.Dispatch, bool)
	// Done reports how a call went.
	Done(d *ferryservice.Document, u ferryservice.Upstream, dispatch *ferryroute.Dispatch, err error)
	// Retry takes one retry from the service's budget.
	Retry(d *ferryservice.Document) bool
}

// Models admits calls and runs completions.
type Models interface {
	// Acquire waits for a slot of the service or returns a *ferryoutcome.Problem.
	Acquire(ctx context.Context, d *ferryservice.Document, it ferryqueue.Item) (*ferryqueue.Grant, error)
	// Run generates one answer and calls emit for each token in order.
	Run(ctx context.Context, d *ferryservice.Document, job ferrypipeline.Job, emit func(ferrypipeline.Token) error) (ferrypipeline.Result, error)
}

// Limits are the listener's limits.
type Limits struct {
	BodyTimeout  time.Duration
	WriteTimeout time.Duration
}

// EntriesAnswer tells a caller which entries to use, the best first, and for how long.
type EntriesAnswer struct {
	Service         ferryid.ServiceName
	Entries         []ferrysteer.Target
	LifetimeSeconds int
}

// Server answers callers.
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
	// Steer chooses the entries that a customer should use.
	Steer func(d *ferryservice.Document, cu ferryservice.Customer, id ferryid.RequestID) EntriesAnswer
	// Allow takes calls from a customer's limit, and says when to come back if there is none left.
	Allow func(d *ferryservice.Document, cu ferryservice.Customer, n float64) (time.Duration, bool)
	// AddressOf finds the callers' address of another incarnation.
	AddressOf func(ferryid.Incarnation) (string, bool)
	// Refuse returns a problem if new calls are not taken here now.
	Refuse func() *ferryoutcome.Problem

	openStreams atomic.Int64
	openCalls   atomic.Int64
}

// Open counts the streams and calls that are being answered.
func (s *Server) Open() (streams, calls int) {
	return int(s.openStreams.Load()), int(s.openCalls.Load())
}

// opened counts an open call until the function it returns is called.
func (s *Server) opened(n *atomic.Int64) func() {
	n.Add(1)
	return func() { n.Add(-1) }
}

// admitNew refuses new calls while the entry is not serving.
func (s *Server) admitNew() *ferryoutcome.Problem {
	return s.Refuse()
}

// limited takes a call from the customer's limit.
func (s *Server) limited(c *caller, n float64) *ferryoutcome.Problem {
	after, ok := s.Allow(c.doc, c.customer, n)
	if ok {
		return nil
	}
	return ferryoutcome.New(ferryoutcome.KindLimit, ferryoutcome.NotRun,
		"Customer %q is over its limit of %v calls a second for this service.", c.customer.Name, c.customer.RequestsPerSecond).After(after)
}

// entries answers which entry to use.
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

// Handler returns the routes of the callers' listener.
func (s *Server) Handler() http.Handler {
	m := chi.NewRouter()
	m.Use(s.identify)
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

// identify gives every call an id that its answer, the log and the upstream carry.
func (s *Server) identify(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		id := ferryid.NewRequestID()
		r.Header.Set(ferryplain.RequestIDHeader, string(id))
		w.Header().Set(ferryplain.RequestIDHeader, string(id))
		next.ServeHTTP(w, r.WithContext(context.WithValue(r.Context(), identityKey{}, &identity{})))
	})
}

type identityKey struct{}

// identity is what the log says of a call beside its id, as far as it is known when the call fails.
type identity struct {
	customer ferryid.CustomerName
	stream   ferryid.StreamID
	// keyed is true for a call with a key or a ticket, and lookedUp once it is known what came of earlier ones.
	keyed    bool
	lookedUp bool
}

// scope marks a refusal that does not speak of earlier attempts.
func (id *identity) scope(p *ferryoutcome.Problem) {
	switch p.Kind {
	case ferryoutcome.KindKeyReused, ferryoutcome.KindConflict:
		return
	}
	if id.keyed && !id.lookedUp && p.Outcome == ferryoutcome.NotRun {
		p.Scope = ferryoutcome.ScopeAttempt
	}
}

func identityOf(ctx context.Context) *identity {
	if id, ok := ctx.Value(identityKey{}).(*identity); ok {
		return id
	}
	return &identity{}
}

func requestID(r *http.Request) ferryid.RequestID {
	return ferryid.RequestID(r.Header.Get(ferryplain.RequestIDHeader))
}

// fail answers with a problem and logs it.
func (s *Server) fail(w http.ResponseWriter, r *http.Request, p *ferryoutcome.Problem) {
	identityOf(r.Context()).scope(p)
	s.logFailure(r, p)
	p.Write(w)
}

func (s *Server) logFailure(r *http.Request, p *ferryoutcome.Problem) {
	p.RequestID = string(requestID(r))
	s.Metrics.failed(p)
	e := s.Log.Info()
	if p.Status >= http.StatusInternalServerError && p.Outcome != ferryoutcome.NotRun {
		e = s.Log.Warn()
	}
	id := identityOf(r.Context())
	e.Str("RequestID", p.RequestID).Str("Customer", string(id.customer)).Str("StreamID", string(id.stream)).Str("Kind", string(p.Kind)).Str("Outcome", string(p.Outcome)).AnErr("Cause", p.Cause).Msg("call failed")
}

func (s *Server) logCall(c *caller, u ferryservice.Upstream, err error) {
	s.Log.Info().Str("RequestID", string(c.id)).Str("Customer", string(c.customer.Name)).Str("Upstream", string(u.Name)).Err(err).Msg("upstream failed a call")
	s.Events.Add("UpstreamFailed", string(u.Name), "request %s: %v", c.id, err)
}
