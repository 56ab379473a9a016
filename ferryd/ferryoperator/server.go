package ferryoperator

import (
	"context"
	"crypto/subtle"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strings"

	"github.com/go-chi/chi/v5"
	"github.com/go-chi/chi/v5/middleware"
	"github.com/rs/zerolog"

	"cactusferry.dev/ferry/ferryadmin"
	"cactusferry.dev/ferry/ferrydocument"
	"cactusferry.dev/ferry/ferryevent"
	"cactusferry.dev/ferry/ferryid"
	"cactusferry.dev/ferry/ferryoutcome"
	"cactusferry.dev/ferry/ferryplatform"
	"cactusferry.dev/ferry/ferryservice"
)

const maxBodyBytes = 1 << 20

// Server serves the operators' API.
type Server struct {
	Token     string
	Log       zerolog.Logger
	Events    *ferryevent.Log
	Documents *ferrydocument.Holder
	Store     ferryplatform.Store
	Status    func() ferryadmin.Status
	Leave     func(ferryadmin.DrainRequest) error
	Claim     func(ctx context.Context, service ferryid.ServiceName, key string) (any, error)
	SetLevel  func(zerolog.Level)
}

// Mount adds the routes of the operators' API.
func (s *Server) Mount(m chi.Router) {
	m.Route("/admin", func(m chi.Router) {
		m.Use(s.authenticate)
		m.Get("/status", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, http.StatusOK, s.Status()) })
		m.Get("/events", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, http.StatusOK, s.Events.Events()) })
		m.Get("/documents", s.documents)
		m.Get("/documents/{service}", s.document)
		m.Post("/documents/{service}", s.apply)
		m.Post("/drain", s.drain)
		m.Get("/claims", s.claim)
		m.Put("/log-level", s.logLevel)
		m.Mount("/debug", middleware.Profiler())
	})
}

func (s *Server) authenticate(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		given := strings.TrimPrefix(r.Header.Get("Authorization"), "Bearer ")
		if subtle.ConstantTimeCompare([]byte(given), []byte(s.Token)) != 1 {
			ferryoutcome.New(ferryoutcome.KindUnauthorized, ferryoutcome.NotRun,
				"The operator token is missing or wrong; send it as Authorization: Bearer TOKEN.").Write(w)
			return
		}
		next.ServeHTTP(w, r)
	})
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}

func readJSON(w http.ResponseWriter, r *http.Request, v any) *ferryoutcome.Problem {
	d := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	d.DisallowUnknownFields()
	err := d.Decode(v)
	var large *http.MaxBytesError
	if errors.As(err, &large) {
		return ferryoutcome.New(ferryoutcome.KindTooLarge, ferryoutcome.NotRun, "The body is over %d bytes.", maxBodyBytes)
	}
	if err != nil {
		return ferryoutcome.New(ferryoutcome.KindBadRequest, ferryoutcome.NotRun, "The body is not the JSON expected: %s.", err)
	}
	return nil
}

func (s *Server) document(w http.ResponseWriter, r *http.Request) {
	name := chi.URLParam(r, "service")
	f, ok := s.Documents.Get(ferryid.ServiceName(name))
	if !ok {
		ferryoutcome.New(ferryoutcome.KindNotFound, ferryoutcome.NotRun, "There is no service %.80q here.", name).Write(w)
		return
	}
	writeJSON(w, http.StatusOK, f.Accepted)
}

func (s *Server) documents(w http.ResponseWriter, _ *http.Request) {
	list := []ferryservice.Accepted{}
	for _, f := range s.Documents.All() {
		list = append(list, f.Accepted)
	}
	writeJSON(w, http.StatusOK, list)
}

func (s *Server) drain(w http.ResponseWriter, r *http.Request) {
	var req ferryadmin.DrainRequest
	if p := readJSON(w, r, &req); p != nil {
		p.Write(w)
		return
	}
	if err := s.Leave(req); err != nil {
		ferryoutcome.New(ferryoutcome.KindBadRequest, ferryoutcome.NotRun, "%s", err).Write(w)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

func (s *Server) claim(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	v, err := s.Claim(r.Context(), ferryid.ServiceName(q.Get("service")), q.Get("key"))
	var p *ferryoutcome.Problem
	switch {
	case errors.As(err, &p):
		p.Write(w)
	case err != nil:
		ferryoutcome.New(ferryoutcome.KindInternal, ferryoutcome.Unknown, "%s", err).Write(w)
	default:
		writeJSON(w, http.StatusOK, v)
	}
}

func (s *Server) logLevel(w http.ResponseWriter, r *http.Request) {
	b, _ := io.ReadAll(io.LimitReader(r.Body, 64))
	level, err := zerolog.ParseLevel(strings.TrimSpace(string(b)))
	if err != nil || len(b) == 0 {
		ferryoutcome.New(ferryoutcome.KindBadRequest, ferryoutcome.NotRun, "The level must be debug, info, warn or error.").Write(w)
		return
	}
	s.SetLevel(level)
	s.Log.WithLevel(level).Str("Level", level.String()).Msg("log level changed")
	w.WriteHeader(http.StatusNoContent)
}
