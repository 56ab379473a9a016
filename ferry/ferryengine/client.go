package ferryengine

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strconv"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"cactusferry.dev/ferry/ferryid"
	"cactusferry.dev/ferry/ferryoutcome"
)

const (
	defaultIdleTimeout = 1500 * time.Millisecond
	stageAllowance     = 500 * time.Millisecond
	maxProblemBytes    = 64 << 10
	maxReportBytes     = 4 << 20
)

// ClientConfig sets up a Client; zero values choose the defaults.
type ClientConfig struct {
	// HTTP sends the calls; without a transport of NewTransport a failed call counts as written from the moment it has a connection.
	HTTP *http.Client
	// Clock measures the progress deadlines.
	Clock clockwork.Clock
	// IdleTimeout is how long a connection may make no progress before it is closed.
	IdleTimeout time.Duration
}

// Client calls engines.
type Client struct {
	http  *http.Client
	clock clockwork.Clock
	idle  time.Duration
}

// New returns a client.
func New(cfg ClientConfig) *Client {
	c := &Client{http: cfg.HTTP, clock: cfg.Clock, idle: cfg.IdleTimeout}
	if c.http == nil {
		c.http = &http.Client{Transport: NewTransport(nil)}
	}
	if c.clock == nil {
		c.clock = clockwork.NewRealClock()
	}
	if c.idle <= 0 {
		c.idle = defaultIdleTimeout
	}
	return c
}

// Run starts an epoch of a stream on its first stage; an error is a *RefusedError or a *DispatchError.
func (c *Client) Run(ctx context.Context, req RunRequest) (Stream, error) {
	return c.Forward(ctx, req, nil)
}

// Forward is Run from one stage to the next: the body goes on after the request's line with activations, which are closed when the connection ends.
func (c *Client) Forward(ctx context.Context, req RunRequest, activations io.ReadCloser) (Stream, error) {
	if err := req.Check(); err != nil {
		return nil, &DispatchError{Upstream: "", Phase: ferryoutcome.PhaseNotConnected, Err: err}
	}
	line, err := json.Marshal(&req)
	if err != nil {
		return nil, &DispatchError{Upstream: req.Stages[0].Address, Phase: ferryoutcome.PhaseNotConnected, Err: err}
	}
	var body io.Reader = bytes.NewReader(append(line, '\n'))
	if activations != nil {
		body = io.MultiReader(body, activations)
	}
	idle := c.idle + time.Duration(len(req.Stages)-1)*stageAllowance
	cl := c.begin(ctx, req.Stages[0].Address, idle)
	if activations != nil {
		// The transport waits for its write of the request even when the connection is gone.
		cl.onClose = func() { _ = activations.Close() }
		context.AfterFunc(cl.ctx, cl.onClose)
	}
	resp, err := cl.send(http.MethodPost, "/v1/stages/run", body)
	if err != nil {
		cl.end()
		return nil, err
	}
	return &runStream{call: cl, body: resp.Body, lines: NewItemReader(resp.Body)}, nil
}

// Cancel stops a stream's work of the epoch and older ones and reports whether any of it ran there.
func (c *Client) Cancel(ctx context.Context, address string, stream ferryid.StreamID, epoch ferryid.Epoch) (CancelResult, error) {
	var out CancelResult
	err := c.call(ctx, address, http.MethodPost, "/v1/streams/"+url.PathEscape(string(stream))+"/cancel", CancelRequest{Epoch: epoch}, &out, maxReportBytes)
	return out, err
}

// Load reads an engine's load report.
func (c *Client) Load(ctx context.Context, address string) (Load, error) {
	var out Load
	err := c.call(ctx, address, http.MethodGet, "/v1/load", nil, &out, maxReportBytes)
	return out, err
}

// ExportKV reads the KV cache of a stream or returns a *NotFoundError.
func (c *Client) ExportKV(ctx context.Context, address string, stream ferryid.StreamID) (KV, error) {
	var out KV
	err := c.call(ctx, address, http.MethodGet, "/v1/kv/"+url.PathEscape(string(stream)), nil, &out, maxKVBytes)
	return out, err
}

// ImportKV gives an engine the KV cache of a stream.
func (c *Client) ImportKV(ctx context.Context, address string, kv KV) error {
	if err := kv.Check(); err != nil {
		return err
	}
	return c.call(ctx, address, http.MethodPut, "/v1/kv/"+url.PathEscape(string(kv.Stream)), kv, nil, maxReportBytes)
}

// Order sets an engine's target state; a *FenceError says that a newer holder has ordered since.
func (c *Client) Order(ctx context.Context, address string, o Order) error {
	if err := o.Check(); err != nil {
		return err
	}
	return c.call(ctx, address, http.MethodPost, "/v1/orders", o, nil, maxReportBytes)
}

// CacheEvents reads the cache events after a sequence number.
func (c *Client) CacheEvents(ctx context.Context, address string, after uint64) (CacheEvents, error) {
	var out CacheEvents
	err := c.call(ctx, address, http.MethodGet, "/v1/cache-events?after="+strconv.FormatUint(after, 10), nil, &out, maxReportBytes)
	return out, err
}

type checked interface{ Check() error }

func (c *Client) call(ctx context.Context, address, method, path string, in any, out checked, maxBytes int64) error {
	var body io.Reader
	if in != nil {
		b, err := json.Marshal(in)
		if err != nil {
			return &DispatchError{Upstream: address, Phase: ferryoutcome.PhaseNotConnected, Err: err}
		}
		body = bytes.NewReader(b)
	}
	cl := c.begin(ctx, address, c.idle)
	defer cl.end()
	resp, err := cl.send(method, path, body)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(io.LimitReader(&progressReader{call: cl, r: resp.Body}, maxBytes+1))
	if err != nil {
		return cl.answered(err)
	}
	if int64(len(b)) > maxBytes {
		return cl.answered(&LineTooLongError{Max: int(maxBytes)})
	}
	if out == nil {
		return nil
	}
	if err := json.Unmarshal(b, out); err != nil {
		return cl.answered(err)
	}
	if err := out.Check(); err != nil {
		return cl.answered(err)
	}
	return nil
}

// call is one request with its progress deadline and what is known of its phase.
type call struct {
	client  *Client
	address string
	idle    time.Duration
	ctx     context.Context
	cancel  context.CancelCauseFunc
	timer   clockwork.Timer

	mu       sync.Mutex
	conn     *meteredConn
	before   int64
	gotConn  bool
	answerOK bool
	onClose  func()
}

func (c *Client) begin(ctx context.Context, address string, idle time.Duration) *call {
	cl := &call{client: c, address: address, idle: idle}
	cl.ctx, cl.cancel = context.WithCancelCause(ctx)
	cl.timer = c.clock.AfterFunc(idle, func() {
		cl.cancel(&SilentError{Upstream: address, Idle: idle})
	})
	return cl
}

func (cl *call) progress() {
	cl.timer.Reset(cl.idle)
}

func (cl *call) end() {
	cl.timer.Stop()
	cl.cancel(context.Canceled)
}

func (cl *call) trace() *httptrace.ClientTrace {
	return &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) {
			cl.mu.Lock()
			defer cl.mu.Unlock()
			cl.gotConn = true
			cl.conn, _ = info.Conn.(*meteredConn)
			if cl.conn != nil {
				cl.before = cl.conn.count()
				cl.conn.notify(cl.onClose)
			}
		},
		GotFirstResponseByte: func() {
			cl.mu.Lock()
			defer cl.mu.Unlock()
			cl.answerOK = true
		},
	}
}

// phase judges a failed send and makes sure that what it says stays true.
func (cl *call) phase() ferryoutcome.Phase {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	switch {
	case cl.answerOK:
		return ferryoutcome.PhaseAnswered
	case !cl.gotConn:
		return ferryoutcome.PhaseNotConnected
	case cl.conn != nil && cl.conn.seal() == cl.before:
		return ferryoutcome.PhaseNotConnected
	}
	return ferryoutcome.PhaseWriting
}

func (cl *call) send(method, path string, body io.Reader) (*http.Response, error) {
	ctx := httptrace.WithClientTrace(cl.ctx, cl.trace())
	req, err := http.NewRequestWithContext(ctx, method, "http://"+cl.address+path, body)
	if err != nil {
		return nil, &DispatchError{Upstream: cl.address, Phase: ferryoutcome.PhaseNotConnected, Err: err}
	}
	if body != nil {
		req.Header.Set("Content-Type", "application/json")
	}
	resp, err := cl.client.http.Do(req)
	if err != nil {
		return nil, &DispatchError{Upstream: cl.address, Phase: cl.phase(), Err: cl.cause(err)}
	}
	cl.progress()
	if resp.StatusCode/100 == 2 {
		return resp, nil
	}
	defer resp.Body.Close()
	return nil, cl.statusError(path, resp)
}

func (cl *call) statusError(path string, resp *http.Response) error {
	b, _ := io.ReadAll(io.LimitReader(resp.Body, maxProblemBytes))
	var p struct {
		Kind   ferryoutcome.Kind `json:"type"`
		Detail string            `json:"detail"`
		Fence  ferryid.Fence     `json:"Fence"`
	}
	_ = json.Unmarshal(b, &p)
	switch {
	case resp.Header.Get(ferryoutcome.Header) == string(ferryoutcome.NotRun):
		return &RefusedError{Upstream: cl.address, Kind: p.Kind, Detail: p.Detail}
	case resp.StatusCode == http.StatusConflict && p.Fence > 0:
		return &FenceError{Upstream: cl.address, Highest: p.Fence}
	case resp.StatusCode == http.StatusNotFound:
		return &NotFoundError{Upstream: cl.address, Path: path}
	}
	return cl.answered(&StatusError{Status: resp.StatusCode, Detail: p.Detail})
}

func (cl *call) answered(err error) error {
	return &DispatchError{Upstream: cl.address, Phase: ferryoutcome.PhaseAnswered, Err: cl.cause(err)}
}

func (cl *call) cause(err error) error {
	var silent *SilentError
	if errors.As(context.Cause(cl.ctx), &silent) {
		return fmt.Errorf("%w (%v)", silent, err)
	}
	return err
}

type progressReader struct {
	call *call
	r    io.Reader
}

// Read reads and counts what came as progress.
func (p *progressReader) Read(b []byte) (int, error) {
	n, err := p.r.Read(b)
	if n > 0 {
		p.call.progress()
	}
	return n, err
}
