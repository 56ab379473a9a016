package ferryingress

import (
	"fmt"
	"net/http"
	"time"
)

// Limits are the limits on callers' requests and connections; zero values take defaults.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	BodyTimeout   time.Duration
	IdleTimeout   time.Duration
}

const (
	defaultHeaderBytes   = 16 << 10
	defaultBodyBytes     = 4 << 20
	defaultHeaderTimeout = 10 * time.Second
	defaultBodyTimeout   = 30 * time.Second
	defaultIdleTimeout   = time.Minute
)

// withDefaults replaces zero values by the defaults.
func (l Limits) withDefaults() Limits {
	if l.HeaderBytes <= 0 {
		l.HeaderBytes = defaultHeaderBytes
	}
	if l.BodyBytes <= 0 {
		l.BodyBytes = defaultBodyBytes
	}
	if l.HeaderTimeout <= 0 {
		l.HeaderTimeout = defaultHeaderTimeout
	}
	if l.BodyTimeout <= 0 {
		l.BodyTimeout = defaultBodyTimeout
	}
	if l.IdleTimeout <= 0 {
		l.IdleTimeout = defaultIdleTimeout
	}
	return l
}

// RequestError is the reason for refusing a request, with the status and detail of the answer.
type RequestError struct {
	Status int
	Detail string
}

func (e *RequestError) Error() string {
	return fmt.Sprintf("%d %s: %s", e.Status, http.StatusText(e.Status), e.Detail)
}

func malformed(format string, args ...any) *RequestError {
	return &RequestError{Status: http.StatusBadRequest, Detail: fmt.Sprintf(format, args...)}
}
