package ferrystandplatform

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/go-chi/chi/v5"
	"github.com/jonboulle/clockwork"

	"cactusferry.dev/ferry/ferryoutcome"
	"cactusferry.dev/ferry/ferryplatform"
	"cactusferry.dev/ferry/ferryplatform/ferryplatformtest"
)

const (
	maxValueBytes = 1 << 20
	maxWait       = time.Minute
)

// Server is one platform stand-in.
type Server struct {
	*ferryplatformtest.Fake
	router chi.Router
}

// New returns an empty platform stand-in that uses the clock.
func New(clock clockwork.Clock) *Server {
	s := &Server{Fake: ferryplatformtest.New(clock), router: chi.NewRouter()}
	s.router.Get("/v1/objects/{kind}/{name}", s.get)
	s.router.Put("/v1/objects/{kind}/{name}", s.put)
	s.router.Delete("/v1/objects/{kind}/{name}", s.delete)
	s.router.Get("/v1/objects/{kind}", s.list)
	s.router.Get("/v1/instances", s.listInstances)
	s.router.Put("/admin/instances/{name}", s.setInstance)
	s.router.Delete("/admin/instances/{name}", s.removeInstance)
	s.router.Put("/admin/faults", s.setFaults)
	s.router.Get("/admin/calls", s.showCalls)
	s.router.Put("/admin/snapshot", s.snapshot)
	s.router.Put("/admin/restore", s.restore)
	return s
}

func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.router.ServeHTTP(w, r)
}

func (s *Server) get(w http.ResponseWriter, r *http.Request) {
	o, err := s.Get(r.Context(), chi.URLParam(r, "kind"), chi.URLParam(r, "name"))
	if err != nil {
		fail(w, err)
		return
	}
	w.Header().Set("ETag", tag(o.Version))
	w.Header().Set("Content-Type", "application/octet-stream")
	_, _ = w.Write(o.Value)
}

func (s *Server) put(w http.ResponseWriter, r *http.Request) {
	expected, ok := condition(w, r)
	if !ok {
		return
	}
	value, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxValueBytes))
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		refuse(w, http.StatusRequestEntityTooLarge, "a value has at most 1 MiB")
		return
	}
	if err != nil {
		refuse(w, http.StatusBadRequest, err.Error())
		return
	}
	v, err := s.Put(r.Context(), chi.URLParam(r, "kind"), chi.URLParam(r, "name"), expected, value)
	if err != nil {
		fail(w, err)
		return
	}
	w.Header().Set("ETag", tag(v))
	if expected == ferryplatform.NoVersion {
		w.WriteHeader(http.StatusCreated)
	}
}

func (s *Server) delete(w http.ResponseWriter, r *http.Request) {
	expected, ok := condition(w, r)
	if !ok {
		return
	}
	if err := s.Delete(r.Context(), chi.URLParam(r, "kind"), chi.URLParam(r, "name"), expected); err != nil {
		fail(w, err)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

func (s *Server) list(w http.ResponseWriter, r *http.Request) {
	kind := chi.URLParam(r, "kind")
	q := r.URL.Query()
	if !q.Has("after") {
		out, err := s.List(r.Context(), kind)
		answer(w, out, err)
		return
	}
	after, err := strconv.ParseUint(q.Get("after"), 10, 64)
	if err != nil {
		refuse(w, http.StatusBadRequest, "after must be a version")
		return
	}
	wait, err := time.ParseDuration(q.Get("wait"))
	if err != nil || wait < 0 || wait > maxWait {
		refuse(w, http.StatusBadRequest, "wait must be a duration of at most "+maxWait.String())
		return
	}
	out, err := s.Watch(r.Context(), kind, ferryplatform.Version(after), wait)
	answer(w, out, err)
}

func (s *Server) listInstances(w http.ResponseWriter, r *http.Request) {
	rows, err := s.Instances(r.Context())
	answer(w, rows, err)
}

// condition parses the precondition of a write. Without a valid one it answers 428 or 412 and returns false.
func condition(w http.ResponseWriter, r *http.Request) (ferryplatform.Version, bool) {
	if r.Header.Get("If-None-Match") == "*" && r.Method == http.MethodPut {
		return ferryplatform.NoVersion, true
	}
	match := r.Header.Get("If-Match")
	if match == "" {
		refuse(w, http.StatusPreconditionRequired, "a write needs If-Match or If-None-Match: *")
		return 0, false
	}
	n, err := strconv.ParseUint(strings.Trim(match, `"`), 10, 64)
	if err != nil || n == 0 {
		refuse(w, http.StatusPreconditionFailed, "no version has that tag")
		return 0, false
	}
	return ferryplatform.Version(n), true
}

func tag(v ferryplatform.Version) string {
	return fmt.Sprintf(`"%d"`, v)
}

// fail answers with an error of the fake. For a lost answer it closes the connection without an answer.
func fail(w http.ResponseWriter, err error) {
	var (
		missing  *ferryplatform.NotFoundError
		conflict *ferryplatform.ConflictError
		lost     *ferryplatform.UnknownOutcomeError
	)
	switch {
	case errors.As(err, &lost):
		panic(http.ErrAbortHandler)
	case errors.As(err, &missing):
		refuse(w, http.StatusNotFound, err.Error())
	case errors.As(err, &conflict):
		refuse(w, http.StatusPreconditionFailed, err.Error())
	default:
		refuse(w, http.StatusServiceUnavailable, err.Error())
	}
}

func refuse(w http.ResponseWriter, status int, detail string) {
	w.Header().Set("Content-Type", ferryoutcome.ContentType)
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(ferryoutcome.Problem{Kind: "Platform", Title: http.StatusText(status), Status: status, Detail: detail, Outcome: ferryoutcome.NotRun})
}

func answer(w http.ResponseWriter, v any, err error) {
	if err != nil {
		fail(w, err)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}
