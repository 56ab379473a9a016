package ferryoutcome

import (
	"encoding/json"
	"fmt"
	"math"
	"net/http"
	"strconv"
	"time"
)

// ContentType is the media type of problem details.
const ContentType = "application/problem+json"

// Header is the response header that repeats a problem's outcome.
const Header = "Outcome"

// ScopeHeader is the response header that repeats a problem's scope.
const ScopeHeader = "Outcome-Scope"

// Scope is what an outcome applies to: the whole request unless it is ScopeAttempt.
type Scope string

// ScopeAttempt marks an outcome of this attempt only; earlier attempts with the same key or ticket were not
// looked up.
const ScopeAttempt Scope = "Attempt"

// Kind is the machine-readable type of a problem.
type Kind string

// The kinds of problems.
const (
	KindBadRequest     Kind = "BadRequest"
	KindUnauthorized   Kind = "Unauthorized"
	KindForbidden      Kind = "Forbidden"
	KindNotFound       Kind = "NotFound"
	KindConflict       Kind = "Conflict"
	KindKeyReused      Kind = "KeyReused"
	KindTooLarge       Kind = "TooLarge"
	KindTimeout        Kind = "Timeout"
	KindLimit          Kind = "Limit"
	KindOverloaded     Kind = "Overloaded"
	KindDraining       Kind = "Draining"
	KindUnavailable    Kind = "Unavailable"
	KindPlatformDown   Kind = "PlatformDown"
	KindUpstreamFailed Kind = "UpstreamFailed"
	KindInternal       Kind = "Internal"
)

var statuses = map[Kind]int{
	KindBadRequest:     http.StatusBadRequest,
	KindUnauthorized:   http.StatusUnauthorized,
	KindForbidden:      http.StatusForbidden,
	KindNotFound:       http.StatusNotFound,
	KindConflict:       http.StatusConflict,
	KindKeyReused:      http.StatusUnprocessableEntity,
	KindTooLarge:       http.StatusRequestEntityTooLarge,
	KindTimeout:        http.StatusGatewayTimeout,
	KindLimit:          http.StatusTooManyRequests,
	KindOverloaded:     http.StatusServiceUnavailable,
	KindDraining:       http.StatusServiceUnavailable,
	KindUnavailable:    http.StatusServiceUnavailable,
	KindPlatformDown:   http.StatusServiceUnavailable,
	KindUpstreamFailed: http.StatusBadGateway,
	KindInternal:       http.StatusInternalServerError,
}

// Problem is an error with an outcome, written to callers as problem details.
type Problem struct {
	Kind       Kind          `json:"type"`
	Title      string        `json:"title"`
	Status     int           `json:"status"`
	Detail     string        `json:"detail,omitempty"`
	Outcome    Outcome       `json:"Outcome"`
	Scope      Scope         `json:"Scope,omitempty"`
	RequestID  string        `json:"RequestID,omitempty"`
	RetryAfter time.Duration `json:"-"`
	Entries    []string      `json:"Entries,omitempty"`
	Cause      error         `json:"-"`
}

// New returns a problem of the kind with its default status.
func New(k Kind, o Outcome, format string, args ...any) *Problem {
	status, ok := statuses[k]
	if !ok {
		status = http.StatusInternalServerError
	}
	return &Problem{Kind: k, Title: string(k), Status: status, Outcome: o, Detail: fmt.Sprintf(format, args...)}
}

// WithRetryAfter sets how long the caller should wait before a retry.
func (p *Problem) WithRetryAfter(d time.Duration) *Problem {
	p.RetryAfter = d
	return p
}

// WithCause sets the underlying error, which is logged and not sent to callers.
func (p *Problem) WithCause(err error) *Problem {
	p.Cause = err
	return p
}

func (p *Problem) Error() string {
	if p.Cause != nil {
		return fmt.Sprintf("%s (%s): %s: %v", p.Kind, p.Outcome, p.Detail, p.Cause)
	}
	return fmt.Sprintf("%s (%s): %s", p.Kind, p.Outcome, p.Detail)
}

// Unwrap returns the underlying error.
func (p *Problem) Unwrap() error {
	return p.Cause
}

// Write writes the problem as the complete response.
func (p *Problem) Write(w http.ResponseWriter) {
	b, err := json.Marshal(p)
	if err != nil {
		b = []byte(`{"type":"Internal","status":500}`)
	}
	h := w.Header()
	h.Set("Content-Type", ContentType)
	h.Set(Header, string(p.Outcome))
	if p.Scope != "" {
		h.Set(ScopeHeader, string(p.Scope))
	}
	if p.RetryAfter > 0 {
		h.Set("Retry-After", strconv.Itoa(int(math.Ceil(p.RetryAfter.Seconds()))))
	}
	w.WriteHeader(p.Status)
	_, _ = w.Write(append(b, '\n'))
}
