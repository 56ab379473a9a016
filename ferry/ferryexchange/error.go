package ferryexchange

import (
	"errors"
	"fmt"

	"cactusferry.dev/ferry/ferryoutcome"
)

// ErrForeignAnswers reports that the connection delivered only answers to other requests.
var ErrForeignAnswers = errors.New("no answer to this request: connection delivered answers to other requests")

// Error is the error of a failed request with the phase in which it failed.
type Error struct {
	Address string
	Phase   ferryoutcome.Phase
	// Reused is set if the connection had carried another request before.
	Reused bool
	Err    error
}

func (e *Error) Error() string {
	return fmt.Sprintf("exchange with %s: %v", e.Address, e.Err)
}

// Unwrap returns the cause of the failure.
func (e *Error) Unwrap() error { return e.Err }

// Outcome returns whether the failed request may have run.
func (e *Error) Outcome() ferryoutcome.Outcome {
	return ferryoutcome.OfFailure(e.Phase)
}
