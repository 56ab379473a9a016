package ferryplatform

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"strings"
	"sync/atomic"
)

const (
	maxValueBytes  = 1 << 20
	maxListBytes   = 256 << 20
	maxDetailBytes = 4 << 10
)

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
func (c *Client) do(ctx context.Context, in Call) (Reply, error) {
	op := in.String()
	if err := c.bucket.take(op); err != nil {
		return Reply{}, err
	}
	c.calls[in.Op].Add(1)
	ctx, cancel := withTimeout(ctx, c.clock, c.timeout+in.Wait)
	defer cancel()
	var sent atomic.Bool
	trace := httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { sent.Store(true) }}
	w, err := c.wire.Encode(in)
	if err != nil {
		return Reply{}, &UnavailableError{Op: op, Err: err}
	}
	req, err := c.request(httptrace.WithClientTrace(ctx, &trace), w)
	if err != nil {
		return Reply{}, &UnavailableError{Op: op, Err: err}
	}
	res, err := c.http.Do(req)
	if err != nil {
		c.down.Store(true)
		if cause := context.Cause(ctx); cause != nil {
			err = cause
		}
		return Reply{}, broken(in, sent.Load(), err)
	}
	defer res.Body.Close()
	out, err := c.read(in, w, res)
	var gone *UnavailableError
	c.down.Store(errors.As(err, &gone))
	return out, err
}

func (c *Client) request(ctx context.Context, w Wire) (*http.Request, error) {
	var body io.Reader
	if w.Body != nil {
		body = bytes.NewReader(w.Body)
	}
	req, err := http.NewRequestWithContext(ctx, w.Method, c.base+w.Path, body)
	if err != nil {
		return nil, err
	}
	for k, vs := range w.Header {
		req.Header[k] = vs
	}
	return req, nil
}

// broken judges a call without a whole answer; a write is known not to have taken effect only if it never had a connection.
func broken(in Call, sent bool, err error) error {
	if in.write() && sent {
		return &UnknownOutcomeError{Op: in.String(), Err: err}
	}
	return &UnavailableError{Op: in.String(), Err: err}
}

// read judges an answer by its status and decodes it.
func (c *Client) read(in Call, w Wire, res *http.Response) (Reply, error) {
	if res.StatusCode/100 != 2 {
		return Reply{}, c.refusal(in, res)
	}
	most := w.MaxAnswer
	if most == 0 {
		most = maxListBytes
	}
	b, err := io.ReadAll(io.LimitReader(res.Body, most+1))
	if err == nil && int64(len(b)) > most {
		err = fmt.Errorf("answer over %d bytes", most)
	}
	if err != nil && !in.write() {
		return Reply{}, &UnavailableError{Op: in.String(), Err: err}
	}
	out, err := c.wire.Decode(in, res.Header, b)
	if err != nil {
		return Reply{}, broken(in, true, err)
	}
	return out, nil
}

// refusal judges an answer that is no success.
func (c *Client) refusal(in Call, res *http.Response) error {
	if err := c.wire.Refusal(in, res.StatusCode); err != nil {
		return err
	}
	b, readErr := io.ReadAll(io.LimitReader(res.Body, maxDetailBytes))
	detail := strings.TrimSpace(string(b))
	if readErr != nil {
		detail += " (" + readErr.Error() + ")"
	}
	err := &RefusedError{Op: in.String(), Status: res.StatusCode, Detail: detail}
	switch {
	case res.StatusCode == http.StatusServiceUnavailable, res.StatusCode == http.StatusTooManyRequests:
		return &UnavailableError{Op: in.String(), Err: err}
	case res.StatusCode/100 == 4:
		return err
	}
	return broken(in, true, err)
}
