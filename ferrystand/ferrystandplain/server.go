package ferrystandplain

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"io"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/go-chi/chi/v5"
	"github.com/jonboulle/clockwork"

	"cactusferry.dev/ferry/ferryoutcome"
)

const maxBodyBytes = 64 << 20

// Faults are the fault switches of a plain service; a count applies to that many of the next calls.
type Faults struct {
	// DelayMS is the delay in milliseconds between reading a call and running it.
	DelayMS int `json:"DelayMS"`
	// CutBeforeRead closes the connection before the request body is read; the call does not run.
	CutBeforeRead int `json:"CutBeforeRead"`
	// CutAfterRun closes the connection after the call ran, without an answer.
	CutAfterRun int `json:"CutAfterRun"`
	// CutInBody closes the connection after half of the answer's body.
	CutInBody int `json:"CutInBody"`
	// Silent runs the call and does not answer.
	Silent bool `json:"Silent"`
	// Leaving refuses each call with the outcome NotRun.
	Leaving bool `json:"Leaving"`
}

// Record is one call that ran.
type Record struct {
	RequestID      string `json:"RequestID"`
	IdempotencyKey string `json:"IdempotencyKey"`
	Method         string `json:"Method"`
	Path           string `json:"Path"`
	BodySHA256     string `json:"BodySHA256"`
	// AtMillis is the Unix time in milliseconds at which the call ran.
	AtMillis int64 `json:"AtMillis"`
}

// Records are the calls that ran, in order.
type Records []Record

// Answer is the body of a successful answer.
type Answer struct {
	Name string `json:"Name"`
	// Run is the number of calls that the service has run, including this one.
	Run int `json:"Run"`
	Record
}

// Server is one plain service stand-in.
type Server struct {
	name    string
	clock   clockwork.Clock
	router  chi.Router
	mu      sync.Mutex
	faults  Faults
	records Records
}

// New returns a plain service stand-in with the instance name.
func New(name string, clock clockwork.Clock) *Server {
	s := &Server{name: name, clock: clock, router: chi.NewRouter(), records: Records{}}
	s.router.Get("/admin/records", s.showRecords)
	s.router.Put("/admin/faults", s.putFaults)
	s.router.NotFound(s.call)
	s.router.MethodNotAllowed(s.call)
	return s
}

func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.router.ServeHTTP(w, r)
}

// SetFaults replaces the fault switches.
func (s *Server) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
}

// Records returns a copy of the calls that ran.
func (s *Server) Records() Records {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.records)
}

func (s *Server) showRecords(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(s.Records())
}

func (s *Server) putFaults(w http.ResponseWriter, r *http.Request) {
	var f Faults
	d := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	d.DisallowUnknownFields()
	if err := d.Decode(&f); err != nil {
		ferryoutcome.New(ferryoutcome.KindBadRequest, ferryoutcome.NotRun, "%s", err).Write(w)
		return
	}
	s.SetFaults(f)
	w.WriteHeader(http.StatusNoContent)
}

// nextFaults returns the faults for one call and decrements the count of the fault that applies to it.
func (s *Server) nextFaults() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	f := s.faults
	switch {
	case f.CutBeforeRead > 0:
		s.faults.CutBeforeRead--
	case f.CutAfterRun > 0:
		s.faults.CutAfterRun--
	case f.CutInBody > 0:
		s.faults.CutInBody--
	}
	return f
}

// call handles every request that is not for /admin.
func (s *Server) call(w http.ResponseWriter, r *http.Request) {
	f := s.nextFaults()
	if f.Leaving {
		ferryoutcome.New(ferryoutcome.KindDraining, ferryoutcome.NotRun, "%s is leaving", s.name).Write(w)
		return
	}
	if f.CutBeforeRead > 0 {
		panic(http.ErrAbortHandler)
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err != nil {
		ferryoutcome.New(ferryoutcome.KindBadRequest, ferryoutcome.NotRun, "%s", err).Write(w)
		return
	}
	s.clock.Sleep(time.Duration(f.DelayMS) * time.Millisecond)
	a := s.run(r, body)
	switch {
	case f.Silent:
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	case f.CutAfterRun > 0:
		panic(http.ErrAbortHandler)
	}
	s.answer(w, a, f.CutInBody > 0)
}

func (s *Server) run(r *http.Request, body []byte) Answer {
	sum := sha256.Sum256(body)
	rec := Record{
		RequestID:      r.Header.Get("Request-ID"),
		IdempotencyKey: r.Header.Get("Idempotency-Key"),
		Method:         r.Method,
		Path:           r.URL.Path,
		BodySHA256:     hex.EncodeToString(sum[:]),
		AtMillis:       s.clock.Now().UnixMilli(),
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.records = append(s.records, rec)
	return Answer{Name: s.name, Run: len(s.records), Record: rec}
}

func (s *Server) answer(w http.ResponseWriter, a Answer, cut bool) {
	w.Header().Set("Content-Type", "application/json")
	b, _ := json.Marshal(a)
	b = append(b, '\n')
	if !cut {
		_, _ = w.Write(b)
		return
	}
	_, _ = w.Write(b[:len(b)/2])
	_ = http.NewResponseController(w).Flush()
	panic(http.ErrAbortHandler)
}
