package ferryengine

import (
	"fmt"
	"time"

	"cactusferry.dev/ferry/ferryid"
	"cactusferry.dev/ferry/ferryoutcome"
)

// DispatchError reports a failed call to an upstream with the phase that it had reached.
type DispatchError struct {
	Upstream string
	Phase    ferryoutcome.Phase
	Err      error
}

func (e *DispatchError) Error() string {
	return fmt.Sprintf("upstream %s (%s): %v", e.Upstream, ferryoutcome.OfFailure(e.Phase), e.Err)
}

// Unwrap returns the underlying error.
func (e *DispatchError) Unwrap() error { return e.Err }

// Outcome returns the outcome of the call that follows from its phase.
func (e *DispatchError) Outcome() ferryoutcome.Outcome { return ferryoutcome.OfFailure(e.Phase) }

// RefusedError reports that the upstream refused the call and stated that it did not run it.
type RefusedError struct {
	Upstream string
	Kind     ferryoutcome.Kind
	Detail   string
}

func (e *RefusedError) Error() string {
	return fmt.Sprintf("upstream %s refused (%s): %s", e.Upstream, e.Kind, e.Detail)
}

// StatusError reports an answer with an unexpected HTTP status.
type StatusError struct {
	Status int
	Detail string
}

func (e *StatusError) Error() string {
	return fmt.Sprintf("status %d: %s", e.Status, e.Detail)
}

// NotFoundError reports that the upstream does not have the requested resource.
type NotFoundError struct {
	Upstream string
	Path     string
}

func (e *NotFoundError) Error() string {
	return fmt.Sprintf("upstream %s has no %s", e.Upstream, e.Path)
}

// FenceError reports that the upstream has seen a higher fencing number than that of the order.
type FenceError struct {
	Upstream string
	Highest  ferryid.Fence
}

func (e *FenceError) Error() string {
	return fmt.Sprintf("upstream %s refused an order: it has seen fencing number %d", e.Upstream, e.Highest)
}

// IdleTimeoutError reports that a connection was closed after the idle timeout.
type IdleTimeoutError struct {
	Upstream string
	Idle     time.Duration
}

func (e *IdleTimeoutError) Error() string {
	return fmt.Sprintf("upstream %s made no progress for %s", e.Upstream, e.Idle)
}

// FieldError reports an invalid field of a wire type.
type FieldError struct {
	Field  string
	Detail string
}

func (e *FieldError) Error() string {
	return e.Field + ": " + e.Detail
}

func fieldError(field, format string, args ...any) error {
	return &FieldError{Field: field, Detail: fmt.Sprintf(format, args...)}
}

// LineTooLongError reports a line or body longer than Max bytes.
type LineTooLongError struct {
	Max int
}

func (e *LineTooLongError) Error() string {
	return fmt.Sprintf("line longer than %d bytes", e.Max)
}
