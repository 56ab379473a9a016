package ferryplatform

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"strings"
	"sync/atomic"
	"time"
)

const (
	maxValueBytes  = 1 << 20
	maxListBytes   = 256 << 20
	maxDetailBytes = 4 << 10
)

// call is one call to the platform.
type call struct {
	kind      callKind
	op        string
	method    string
	path      string
	condition condition
	body      []byte
	write     bool
	wait      time.Duration
	maxBody   int64
}

// condition is the header that makes a write conditional; the zero value is none.
type condition struct {
	header string
	value  string
}

func conditionOf(expected Version) condition {
	if expected == NoVersion {
		return condition{"If-None-Match", "*"}
	}
	return condition{"If-Match", strconv.Quote(strconv.FormatUint(uint64(expected), 10))}
}

// reply is the platform's answer of success.
type reply struct {
	op   string
	etag string
	body []byte
}

func (r reply) version() (Version, error) {
	n, err := strconv.ParseUint(strings.Trim(r.etag, `"`), 10, 64)
	if err != nil || n == 0 {
		return 0, fmt.Errorf("answer with ETag %q", r.etag)
	}
	return Version(n), nil
}

// RefusedError says that the platform answered and refused the call, so nothing took effect.
type RefusedError struct {
	Op     string
	Status int
	Detail string
}

func (e *RefusedError) Error() string {
	return fmt.Sprintf("platform refused: %s: %d %s: %s", e.Op, e.Status, http.StatusText(e.Status), e.Detail)
}

// do makes one call within the budget and the timeout.
func (c *Client) do(ctx context.Context, in call) (reply, error) {
	if err := c.bucket.take(in.op); err != nil {
		return reply{}, err
	}
	c.calls[in.kind].Add(1)
	ctx, cancel := withTimeout(ctx, c.clock, c.timeout+in.wait)
	defer cancel()
	var sent atomic.Bool
	trace := httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { sent.Store(true) }}
	req, err := newRequest(httptrace.WithClientTrace(ctx, &trace), c.base, in)
	if err != nil {
		return reply{}, &UnavailableError{Op: in.op, Err: err}
	}
	res, err := c.http.Do(req)
	if err != nil {
		c.down.Store(true)
		if cause := context.Cause(ctx); cause != nil {
			err = cause
		}
		return reply{}, broken(in, sent.Load(), err)
	}
	defer res.Body.Close()
	out, err := read(in, res)
	var gone *UnavailableError
	c.down.Store(errors.As(err, &gone))
	return out, err
}

func newRequest(ctx context.Context, base string, in call) (*http.Request, error) {
	var body io.Reader
	if in.body != nil {
		body = bytes.NewReader(in.body)
	}
	req, err := http.NewRequestWithContext(ctx, in.method, base+in.path, body)
	if err != nil {
		return nil, err
	}
	if in.condition.header != "" {
		req.Header.Set(in.condition.header, in.condition.value)
	}
	return req, nil
}

// broken judges a call without a whole answer; a write is known not to have taken effect only if it never had a connection.
func broken(in call, sent bool, err error) error {
	if in.write && sent {
		return &UnknownOutcomeError{Op: in.op, Err: err}
	}
	return &UnavailableError{Op: in.op, Err: err}
}

// read judges an answer by its status.
func read(in call, res *http.Response) (reply, error) {
	switch {
	case res.StatusCode/100 == 2:
	case res.StatusCode == http.StatusServiceUnavailable, res.StatusCode == http.StatusTooManyRequests:
		return reply{}, &UnavailableError{Op: in.op, Err: refused(in, res)}
	case res.StatusCode/100 == 4:
		return reply{}, refused(in, res)
	default:
		return reply{}, broken(in, true, refused(in, res))
	}
	b, err := io.ReadAll(io.LimitReader(res.Body, in.maxBody+1))
	if err == nil && int64(len(b)) > in.maxBody {
		err = fmt.Errorf("answer over %d bytes", in.maxBody)
	}
	if err != nil && !in.write {
		return reply{}, &UnavailableError{Op: in.op, Err: err}
	}
	return reply{op: in.op, etag: res.Header.Get("ETag"), body: b}, nil
}

func refused(in call, res *http.Response) *RefusedError {
	b, _ := io.ReadAll(io.LimitReader(res.Body, maxDetailBytes))
	return &RefusedError{Op: in.op, Status: res.StatusCode, Detail: strings.TrimSpace(string(b))}
}

// notFound turns the platform's 404 into a *NotFoundError.
func notFound(err error, kind, name string) error {
	var r *RefusedError
	if errors.As(err, &r) && r.Status == http.StatusNotFound {
		return &NotFoundError{Kind: kind, Name: name}
	}
	return err
}

// conflict turns the platform's 412 into a *ConflictError.
func conflict(err error, kind, name string, expected Version) error {
	var r *RefusedError
	if errors.As(err, &r) && r.Status == http.StatusPreconditionFailed {
		return &ConflictError{Kind: kind, Name: name, Expected: expected}
	}
	return err
}
