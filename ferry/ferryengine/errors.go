package ferryengine

import (
	"fmt"
	"time"

	"cactusferry.dev/ferry/ferryid"
	"cactusferry.dev/ferry/ferryoutcome"
)

// DispatchError says how far a call to an upstream had come when it failed.
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

// Outcome is what the failure leaves known about the call.
func (e *DispatchError) Outcome() ferryoutcome.Outcome { return ferryoutcome.OfFailure(e.Phase) }

// RefusedError says that the upstream itself said that it did not run the call.
type RefusedError struct {
	Upstream string
	Kind     ferryoutcome.Kind
	Detail   string
}

func (e *RefusedError) Error() string {
	return fmt.Sprintf("upstream %s refused (%s): %s", e.Upstream, e.Kind, e.Detail)
}

// StatusError says that the upstream answered with an unexpected status.
type StatusError struct {
	Status int
	Detail string
}

func (e *StatusError) Error() string {
	return fmt.Sprintf("status %d: %s", e.Status, e.Detail)
}

// NotFoundError says that the upstream does not hold what was asked for.
type NotFoundError struct {
	Upstream string
	Path     string
}

func (e *NotFoundError) Error() string {
	return fmt.Sprintf("upstream %s has no %s", e.Upstream, e.Path)
}

// FenceError says that the upstream has seen a higher fencing number than the order's.
type FenceError struct {
	Upstream string
	Highest  ferryid.Fence
}

func (e *FenceError) Error() string {
	return fmt.Sprintf("upstream %s refused an order: it has seen fencing number %d", e.Upstream, e.Highest)
}

// SilentError says that a connection made no progress for too long and was closed.
type SilentError struct {
	Upstream string
	Idle     time.Duration
}

func (e *SilentError) Error() string {
	return fmt.Sprintf("upstream %s made no progress for %s", e.Upstream, e.Idle)
}

// FieldError says which field of a wire type is at fault.
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

// LineTooLongError says that a line is longer than its bound in bytes.
type LineTooLongError struct {
	Max int
}

func (e *LineTooLongError) Error() string {
	return fmt.Sprintf("line longer than %d bytes", e.Max)
}
