package ferryoperator

import (
	"errors"
	"io"
	"net/http"

	"github.com/go-chi/chi/v5"

	"cactusferry.dev/ferry/ferryadmin"
	"cactusferry.dev/ferry/ferrydocument"
	"cactusferry.dev/ferry/ferryid"
	"cactusferry.dev/ferry/ferryoutcome"
	"cactusferry.dev/ferry/ferrytoml"
)

func (s *Server) apply(w http.ResponseWriter, r *http.Request) {
	b, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err != nil {
		ferryoutcome.New(ferryoutcome.KindTooLarge, ferryoutcome.NotRun, "The body is over %d bytes.", maxBodyBytes).Write(w)
		return
	}
	req, err := ferrydocument.DecodeApplyRequest(ferryid.ServiceName(chi.URLParam(r, "service")), b)
	if err != nil {
		writeApplyError(w, err)
		return
	}
	a, err := s.Documents.Apply(r.Context(), s.Store, req)
	if err != nil {
		s.Log.Info().Str("Service", string(req.Service)).Str("Operator", req.Operator).Err(err).Msg("could not apply the operator's document")
		writeApplyError(w, err)
		return
	}
	s.Log.Info().Str("Service", string(req.Service)).Str("Operator", req.Operator).Uint64("Generation", uint64(a.Generation)).Msg("operator's document accepted")
	writeJSON(w, http.StatusOK, a)
}

func writeApplyError(w http.ResponseWriter, err error) {
	var bad *ferrytoml.FaultsError
	var lost *ferrydocument.LostRaceError
	var open *ferrydocument.UnresolvedError
	status := ferrydocument.Status(err)
	switch {
	case errors.As(err, &bad):
		writeJSON(w, status, ferryadmin.Faults{Faults: bad.Faults})
	case errors.As(err, &lost):
		writeJSON(w, status, ferryadmin.LostRace{Winner: lost.Winner, Diff: lost.Diff})
	case errors.As(err, &open):
		writeJSON(w, status, ferryadmin.Unresolved{ApplyID: open.ApplyID, Command: open.Command})
	case status == http.StatusServiceUnavailable:
		ferryoutcome.New(ferryoutcome.KindPlatformDown, ferryoutcome.NotRun,
			"The platform can't take the document now; nothing was changed.").WithCause(err).Write(w)
	default:
		p := ferryoutcome.New(ferryoutcome.KindConflict, ferryoutcome.NotRun, "%s", err)
		p.Status = status
		p.Write(w)
	}
}
