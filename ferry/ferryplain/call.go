package ferryplain

import (
	"fmt"
	"io"
	"net/http"

	"cactusferry.dev/ferry/ferryid"
	"cactusferry.dev/ferry/ferryoutcome"
)

// RequestIDHeader is the header with the request id, in calls to upstreams and in answers to callers.
const RequestIDHeader = "Request-ID"

// IdempotencyKeyHeader is the request header with the caller's idempotency key.
const IdempotencyKeyHeader = "Idempotency-Key"

// droppedHeaders are not forwarded: the hop-by-hop headers, and Authorization, which holds the caller's key.
var droppedHeaders = []string{
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

// Answer is an upstream's answer.
// Rest reads the part of the body that did not fit in Body; it is nil if all did.
type Answer struct {
	Status int
	Header http.Header
	Body   []byte
	Rest   io.ReadCloser
}

// DispatchError is returned for a call that failed, with the phase in which it failed.
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

// Outcome returns the outcome of the failed call.
func (e *DispatchError) Outcome() ferryoutcome.Outcome {
	return ferryoutcome.OfFailure(e.Phase)
}

// RefusedError is returned if the upstream answered that it did not run the call.
type RefusedError struct {
	Address string
	Status  int
	Leaving bool
}

func (e *RefusedError) Error() string {
	return fmt.Sprintf("upstream %s refused the call with status %d and has not run it", e.Address, e.Status)
}

// CopyHeader copies the headers that may be forwarded.
func CopyHeader(to, from http.Header) {
	drop := map[string]bool{}
	for _, h := range droppedHeaders {
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
