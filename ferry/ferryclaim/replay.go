package ferryclaim

import (
	"errors"
	"fmt"
	"net/http"
	"time"

	"cactusferry.dev/ferry/ferryid"
	"cactusferry.dev/ferry/ferryoutcome"
	"cactusferry.dev/ferry/ferryplatform"
)

const (
	platformRetryAfter = 5 * time.Second
	progressRetryAfter = time.Second
)

// Replay is the error for a call that has already finished, with the recorded outcome and,
// if it was stored, the response.
type Replay struct {
	Outcome ferryoutcome.Outcome
	Status  int
	Header  http.Header
	Body    []byte
	// Complete is false if the response was too large to store or never arrived.
	Complete bool
}

func (r *Replay) Error() string {
	return fmt.Sprintf("call already finished with outcome %s and status %d", r.Outcome, r.Status)
}

// ElsewhereError is returned if only another incarnation may run the ticket.
// The call can be redirected to it.
type ElsewhereError struct {
	Incarnation ferryid.Incarnation
}

func (e *ElsewhereError) Error() string {
	return "ticket can be run only by incarnation " + string(e.Incarnation)
}

func replayOf(res Result) error {
	return &Replay{Outcome: res.Outcome, Status: res.Status, Header: res.Header, Body: res.Body, Complete: res.Complete}
}

func inProgress() error {
	return ferryoutcome.New(ferryoutcome.KindConflict, ferryoutcome.Unknown,
		"a call with this key or ticket is in progress").WithRetryAfter(progressRetryAfter)
}

func keyReused() error {
	return ferryoutcome.New(ferryoutcome.KindKeyReused, ferryoutcome.NotRun,
		"the key or ticket was used for another method, path or body; this call was not run")
}

// claimFailed returns the problem for a key that could not be claimed because the platform is unavailable
// or the budget of requests to it is exhausted.
func claimFailed(err error) error {
	var budget *ferryplatform.BudgetError
	if errors.As(err, &budget) {
		return ferryoutcome.New(ferryoutcome.KindOverloaded, ferryoutcome.NotRun,
			"more keys are being claimed than the platform may be asked about; this call was not run, "+
				"and earlier calls with the key were not looked up: retry with the same key").
			WithRetryAfter(max(budget.RetryAfter, progressRetryAfter)).WithCause(err)
	}
	return ferryoutcome.New(ferryoutcome.KindPlatformDown, ferryoutcome.NotRun,
		"the key can't be claimed while the platform is away; this call was not run, "+
			"and earlier calls with the key were not looked up: retry with the same key").
		WithRetryAfter(platformRetryAfter).WithCause(err)
}

func holderUnreachable(r Ref) error {
	return ferryoutcome.New(ferryoutcome.KindUnavailable, ferryoutcome.Unknown,
		"the entry that had the call, %s, does not answer; it may have run and will not be run again", r.By)
}

func draining() error {
	return ferryoutcome.New(ferryoutcome.KindDraining, ferryoutcome.NotRun, "this entry is stopping")
}

func claimLost() error {
	return ferryoutcome.New(ferryoutcome.KindConflict, ferryoutcome.NotRun,
		"the claim was given up before anything was sent; retry with the same key").WithRetryAfter(progressRetryAfter)
}

func claimTimedOut(err error) error {
	return ferryoutcome.New(ferryoutcome.KindTimeout, ferryoutcome.NotRun,
		"the key could not be claimed in time; this call was not run").WithRetryAfter(progressRetryAfter).WithCause(err)
}
