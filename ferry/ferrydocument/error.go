package ferrydocument

import (
	"errors"
	"fmt"
	"net/http"

	"cactusferry.dev/ferry/ferryid"
	"cactusferry.dev/ferry/ferryservice"
	"cactusferry.dev/ferry/ferrytoml"
)

// LostRaceError reports that another change was accepted after the edited version; this change
// is not accepted.
type LostRaceError struct {
	// Winner is the version in the store.
	Winner ferryservice.Accepted
	// Diff shows the changes of both sides as unified diffs.
	Diff string
}

func (e *LostRaceError) Error() string {
	return fmt.Sprintf("lost the race: generation %d of %s was accepted from %s at %s", e.Winner.Generation, e.Winner.Service, e.Winner.Operator, e.Winner.At.UTC().Format("15:04:05"))
}

// UnresolvedError reports that the outcome of a change is not known, with the command that resolves it.
type UnresolvedError struct {
	ApplyID string
	Command string
	Err     error
}

func (e *UnresolvedError) Error() string {
	return fmt.Sprintf("not known whether apply %s is accepted; settle it with: %s: %v", e.ApplyID, e.Command, e.Err)
}

func (e *UnresolvedError) Unwrap() error { return e.Err }

// ForkError reports that the store and this entry have diverging branches of a document; an operator has to
// resolve the fork.
type ForkError struct {
	Service         ferryid.ServiceName
	StoreGeneration ferryid.Generation
	StoreHash       string
	HeldGeneration  ferryid.Generation
	HeldHash        string
}

func (e *ForkError) Error() string {
	return fmt.Sprintf("the store has generation %d (%.12s) of %s, which does not descend from generation %d (%.12s) in force here; compare both, then apply with --base %d --supersedes %s",
		e.StoreGeneration, e.StoreHash, e.Service, e.HeldGeneration, e.HeldHash, e.StoreGeneration, e.HeldHash)
}

// ApplyIDReusedError reports that another change was accepted under the same apply id.
type ApplyIDReusedError struct {
	ApplyID string
}

func (e *ApplyIDReusedError) Error() string {
	return fmt.Sprintf("another change was accepted under apply id %s; use a fresh one", e.ApplyID)
}

// Status returns the HTTP status code of the operator API for an error of Apply.
func Status(err error) int {
	var (
		lost       *LostRaceError
		fork       *ForkError
		reused     *ApplyIDReusedError
		unresolved *UnresolvedError
		faults     *ferrytoml.FaultsError
		request    *RequestError
	)
	switch {
	case errors.As(err, &lost), errors.As(err, &fork), errors.As(err, &reused):
		return http.StatusConflict
	case errors.As(err, &faults):
		return http.StatusUnprocessableEntity
	case errors.As(err, &request):
		return http.StatusBadRequest
	case errors.As(err, &unresolved):
		return http.StatusAccepted
	}
	return http.StatusServiceUnavailable
}
