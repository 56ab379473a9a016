package ferrydocument

import (
	"errors"
	"fmt"
	"net/http"

	"cactusferry.dev/ferry/ferryid"
	"cactusferry.dev/ferry/ferryservice"
	"cactusferry.dev/ferry/ferrytoml"
)

// LostRaceError says that the document had moved on from the version that was edited, so the change certainly is not accepted.
type LostRaceError struct {
	// Winner is the version that stands.
	Winner ferryservice.Accepted
	// Diff shows by lines what the winner and the loser changed.
	Diff string
}

func (e *LostRaceError) Error() string {
	return fmt.Sprintf("lost the race: generation %d of %s was accepted from %s at %s", e.Winner.Generation, e.Winner.Service, e.Winner.Operator, e.Winner.At.UTC().Format("15:04:05"))
}

// UnresolvedError says that it is not known whether the change is accepted, and which command settles it.
type UnresolvedError struct {
	ApplyID string
	Command string
	Err     error
}

func (e *UnresolvedError) Error() string {
	return fmt.Sprintf("not known whether apply %s is accepted; settle it with: %s: %v", e.ApplyID, e.Command, e.Err)
}

func (e *UnresolvedError) Unwrap() error { return e.Err }

// ForkError says that the store holds another branch of the document than this entry, which an operator has to settle.
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

// ApplyIDReusedError says that another change was accepted under the same apply id.
type ApplyIDReusedError struct {
	ApplyID string
}

func (e *ApplyIDReusedError) Error() string {
	return fmt.Sprintf("another change was accepted under apply id %s; use a fresh one", e.ApplyID)
}

// Status is the HTTP status with which an operators' API answers an error of Apply.
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
