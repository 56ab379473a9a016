package ferrystandplatform

import (
	"encoding/json"
	"net/http"

	"github.com/go-chi/chi/v5"

	"cactusferry.dev/ferry/ferryplatform"
	"cactusferry.dev/ferry/ferryplatform/ferryplatformtest"
)

func (s *Server) setInstance(w http.ResponseWriter, r *http.Request) {
	var in ferryplatform.Instance
	if !decode(w, r, &in) {
		return
	}
	in.Name = chi.URLParam(r, "name")
	if in.State == "" {
		in.State = ferryplatform.StateLive
	}
	s.SetInstance(in)
	w.WriteHeader(http.StatusNoContent)
}

func (s *Server) removeInstance(w http.ResponseWriter, r *http.Request) {
	s.RemoveInstance(chi.URLParam(r, "name"))
	w.WriteHeader(http.StatusNoContent)
}

func (s *Server) setFaults(w http.ResponseWriter, r *http.Request) {
	var f ferryplatformtest.Faults
	if !decode(w, r, &f) {
		return
	}
	s.SetFaults(f)
	w.WriteHeader(http.StatusNoContent)
}

func (s *Server) showCalls(w http.ResponseWriter, _ *http.Request) {
	answer(w, s.Calls(), nil)
}

func (s *Server) snapshot(w http.ResponseWriter, _ *http.Request) {
	s.Snapshot()
	w.WriteHeader(http.StatusNoContent)
}

func (s *Server) restore(w http.ResponseWriter, _ *http.Request) {
	if !s.Restore() {
		refuse(w, http.StatusConflict, "there is no snapshot")
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

// decode decodes a JSON body without unknown fields. If that fails, it answers 400 and returns false.
func decode(w http.ResponseWriter, r *http.Request, v any) bool {
	d := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxValueBytes))
	d.DisallowUnknownFields()
	if err := d.Decode(v); err != nil {
		refuse(w, http.StatusBadRequest, err.Error())
		return false
	}
	return true
}
