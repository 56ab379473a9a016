package ferryplain

import (
	"fmt"
	"io"
	"net/http"

	"cactusferry.dev/ferry/ferryid"
	"cactusferry.dev/ferry/ferryoutcome"
)

// RequestIDHeader carries the router's id of a call to the upstream and back to the caller.
const RequestIDHeader = "Request-ID"

// KeyHeader carries the caller's idempotency key.
const KeyHeader = "Idempotency-Key"

// hopHeaders belong to one connection and are not passed on.
var hopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Authorization",
}

// Call is one call to a plain service.
type Call struct {
	RequestID  ferryid.RequestID
	Method     string
	Path       string
	Query      string
	Header     http.Header
	Body       []byte
	Idempotent bool
}

// Answer is an upstream's answer; Rest holds what did not fit in Body and is nil if all did.
type Answer struct {
	Status int
	Header http.Header
	Body   []byte
	Rest   io.ReadCloser
}

// DispatchError says how far a call had come when it failed.
type DispatchError struct {
	Address string
	Phase   ferryoutcome.Phase
	Err     error
}

func (e *DispatchError) Error() string {
	return fmt.Sprintf("call to upstream %s: %v", e.Address, e.Err)
}

// Unwrap returns the underlying error.
func (e *DispatchError) Unwrap() error { return e.Err }

// Outcome is what is known of the failed call.
func (e *DispatchError) Outcome() ferryoutcome.Outcome {
	return ferryoutcome.OfFailure(e.Phase)
}

// RefusedError says that the upstream answered that it has not run the call.
type RefusedError struct {
	Address string
	Status  int
	Leaving bool
}

func (e *RefusedError) Error() string {
	return fmt.Sprintf("upstream %s refused the call with status %d and has not run it", e.Address, e.Status)
}

// CopyHeader adds the headers that may be passed on from one side to the other.
func CopyHeader(to, from http.Header) {
	drop := map[string]bool{}
	for _, h := range hopHeaders {
		drop[h] = true
	}
	for _, v := range from.Values("Connection") {
		drop[http.CanonicalHeaderKey(v)] = true
	}
	for k, vs := range from {
		if drop[k] {
			continue
		}
		to[k] = append([]string(nil), vs...)
	}
}
