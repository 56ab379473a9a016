package ferryexchange

import (
	"errors"
	"fmt"

	"cactusferry.dev/ferry/ferryoutcome"
)

// ErrForeign says that only answers to other requests came.
var ErrForeign = errors.New("answers to other requests came in place of this one's")

// Error says how far a request had come when it failed.
type Error struct {
	Address string
	Phase   ferryoutcome.Phase
	// Reused says that the connection had carried another request before.
	Reused bool
	Err    error
}

func (e *Error) Error() string {
	return fmt.Sprintf("exchange with %s: %v", e.Address, e.Err)
}

// Unwrap returns the underlying error.
func (e *Error) Unwrap() error { return e.Err }

// Outcome is what is known of the failed request.
func (e *Error) Outcome() ferryoutcome.Outcome {
	return ferryoutcome.OfFailure(e.Phase)
}
