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

	"cactusferry.dev/ferry/ferrymemory"
)

const (
	maxValueBytes  = 1 << 20
	maxListBytes   = 256 << 20
	maxDetailBytes = 4 << 10
)

// RefusedError reports that the platform refused the call; the call had no effect.
type RefusedError struct {
	Op     string
	Status int
	Detail string
}

func (e *RefusedError) Error() string {
	return fmt.Sprintf("platform refused: %s: %d %s: %s", e.Op, e.Status, http.StatusText(e.Status), e.Detail)
}

// do sends one call, subject to the budget and the timeout.
func (c *Client) do(ctx context.Context, in Call) (Reply, error) {
	op := in.String()
	if latest, known := c.epoch.get(); known && max(in.After, in.Expected).Epoch() < latest {
		if err := checkEpoch(in, latest, false); err != nil {
			return Reply{}, err
		}
	}
	if err := c.bucket.take(op); err != nil {
		return Reply{}, err
	}
	c.calls[in.Op].Add(1)
	ctx, cancel := withTimeout(ctx, c.clock, c.timeout+in.Wait)
	defer cancel()
	var sent atomic.Bool
	trace := httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { sent.Store(true) }}
	encoded, err := c.protocol.Encode(in)
	if err != nil {
		return Reply{}, &UnavailableError{Op: op, Err: err}
	}
	req, err := c.request(httptrace.WithClientTrace(ctx, &trace), encoded)
	if err != nil {
		return Reply{}, &UnavailableError{Op: op, Err: err}
	}
	res, err := c.http.Do(req)
	if err != nil {
		c.down.Store(true)
		if cause := context.Cause(ctx); cause != nil {
			err = cause
		}
		return Reply{}, incompleteError(in, sent.Load(), err)
	}
	defer res.Body.Close()
	out, err := c.read(in, encoded, res)
	var unavailable *UnavailableError
	c.down.Store(errors.As(err, &unavailable))
	return out, err
}

func (c *Client) request(ctx context.Context, encoded HTTPRequest) (*http.Request, error) {
	var body io.Reader
	if encoded.Body != nil {
		body = bytes.NewReader(encoded.Body)
	}
	req, err := http.NewRequestWithContext(ctx, encoded.Method, c.base+encoded.Path, body)
	if err != nil {
		return nil, err
	}
	for k, vs := range encoded.Header {
		req.Header[k] = vs
	}
	return req, nil
}

// incompleteError returns the error of a call without a complete answer. A write certainly had no effect only
// if no connection was obtained.
func incompleteError(in Call, sent bool, err error) error {
	if in.isWrite() && sent {
		return &UnknownOutcomeError{Op: in.String(), Err: err}
	}
	return &UnavailableError{Op: in.String(), Err: err}
}

// read decodes an answer, or returns the error for its status.
func (c *Client) read(in Call, encoded HTTPRequest, res *http.Response) (Reply, error) {
	epoch, err := c.answerEpoch(res.Header)
	if err != nil {
		return Reply{}, incompleteError(in, true, err)
	}
	if res.StatusCode/100 != 2 {
		return Reply{}, c.statusError(in, res)
	}
	if err := checkEpoch(in, epoch, true); err != nil {
		return Reply{}, err
	}
	maxBytes := encoded.MaxAnswer
	if maxBytes == 0 {
		maxBytes = maxListBytes
	}
	hold := c.memory.Hold()
	defer hold.Release()
	b, whole, err := hold.Read(res.Body, int(maxBytes)+1)
	switch {
	case err != nil:
	case int64(len(b)) > maxBytes:
		err = fmt.Errorf("answer over %d bytes", maxBytes)
	case !whole:
		err = &ferrymemory.ExhaustedError{Part: "answer of the platform"}
	}
	if err != nil && !in.isWrite() {
		return Reply{}, &UnavailableError{Op: in.String(), Err: err}
	}
	out, err := c.protocol.Decode(in, res.Header, b)
	if err == nil {
		err = out.setEpoch(epoch)
	}
	if err != nil {
		return Reply{}, incompleteError(in, true, err)
	}
	return out, nil
}

// statusError returns the error for an answer with a status other than 2xx.
func (c *Client) statusError(in Call, res *http.Response) error {
	if err := c.protocol.Refusal(in, res.StatusCode); err != nil {
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
	return incompleteError(in, true, err)
}
