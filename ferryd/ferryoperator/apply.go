package ferryoperator

import (
	"errors"
	"net/http"

	"github.com/go-chi/chi/v5"

	"cactusferry.dev/ferry/ferrydocument"
	"cactusferry.dev/ferry/ferryid"
	"cactusferry.dev/ferry/ferryoutcome"
	"cactusferry.dev/ferry/ferryservice"
	"cactusferry.dev/ferry/ferrytoml"
)

// conflict tells the loser of a race who won and what differs.
type conflict struct {
	Winner ferryservice.Accepted
	Diff   string
}

// unresolved tells an operator how to settle a write whose answer was lost.
type unresolved struct {
	ApplyID string
	Command string
}

type faults struct {
	Faults []ferrytoml.Fault
}

func (s *Server) apply(w http.ResponseWriter, r *http.Request) {
	var req ApplyRequest
	if p := readJSON(w, r, &req); p != nil {
		p.Write(w)
		return
	}
	req.Service = ferryid.ServiceName(chi.URLParam(r, "service"))
	a, err := s.Documents.Apply(r.Context(), req)
	if err != nil {
		s.Events.Add("ApplyFailed", string(req.Service), "%s from generation %d: %v", req.Operator, req.BaseGeneration, err)
		writeApplyError(w, err)
		return
	}
	s.Log.Info().Str("Service", string(req.Service)).Str("Operator", req.Operator).Uint64("Generation", uint64(a.Generation)).Msg("document accepted")
	writeJSON(w, http.StatusOK, a)
}

func writeApplyError(w http.ResponseWriter, err error) {
	var bad *ferrytoml.FaultsError
	var lost *ferrydocument.LostRaceError
	var open *ferrydocument.UnresolvedError
	switch {
	case errors.As(err, &bad):
		writeJSON(w, http.StatusUnprocessableEntity, faults{Faults: bad.Faults})
	case errors.As(err, &lost):
		writeJSON(w, http.StatusConflict, conflict{Winner: lost.Winner, Diff: lost.Diff})
	case errors.As(err, &open):
		writeJSON(w, http.StatusAccepted, unresolved{ApplyID: open.ApplyID, Command: open.Command})
	default:
		ferryoutcome.New(ferryoutcome.KindPlatformDown, ferryoutcome.NotRun,
			"The platform can't take the document now; nothing was changed.").Because(err).Write(w)
	}
}
