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
	"cactusferry.dev/ferry/ferrymemory"
	"cactusferry.dev/ferry/ferryoutcome"
	"cactusferry.dev/ferry/ferrystatus"
)

const (
	defaultIdleTimeout  = 1500 * time.Millisecond
	idleTimeoutPerStage = 500 * time.Millisecond
	maxProblemBytes     = 64 << 10
	maxReportBytes      = 4 << 20
)

// ClientConfig configures a Client; zero values select the defaults.
type ClientConfig struct {
	// HTTP sends the calls. Without a transport from NewTransport, a failed call counts as written once it has
	// a connection.
	HTTP *http.Client
	// Clock is the clock for the idle timeout.
	Clock clockwork.Clock
	// IdleTimeout is the time without progress after which a connection is closed.
	IdleTimeout time.Duration
	// Memory bounds the reports and results of all engines together; its default is that of ferrymemory.
	Memory *ferrymemory.Budget
}

// Client calls the HTTP interface of engines.
type Client struct {
	http        *http.Client
	clock       clockwork.Clock
	idleTimeout time.Duration
	memory      *ferrymemory.Budget
}

// New returns a Client.
func New(cfg ClientConfig) *Client {
	c := &Client{http: &http.Client{}, clock: cfg.Clock, idleTimeout: cfg.IdleTimeout, memory: cfg.Memory}
	if cfg.HTTP != nil {
		*c.http = *cfg.HTTP
	} else {
		c.http.Transport = NewTransport(nil)
	}
	c.http.Transport = &ferrystatus.Transport{Base: c.http.Transport}
	if c.clock == nil {
		c.clock = clockwork.NewRealClock()
	}
	if c.idleTimeout <= 0 {
		c.idleTimeout = defaultIdleTimeout
	}
	if c.memory == nil {
		c.memory = ferrymemory.New(ferrymemory.Config{Name: "engines", Clock: c.clock})
	}
	return c
}

// Run starts an epoch of a stream on its first stage. The error is a *RefusedError or a *DispatchError.
func (c *Client) Run(ctx context.Context, req RunRequest) (Stream, error) {
	return c.Forward(ctx, req, nil)
}

// Forward is Run for a stage that forwards to the next one. The request body continues with activations after
// the request's line; activations is closed when the connection ends.
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
	idle := c.idleTimeout + time.Duration(len(req.Stages)-1)*idleTimeoutPerStage
	cl := c.newCall(ctx, req.Stages[0].Address, idle)
	if activations != nil {
		// The transport waits for the write of the request body to end, even after the connection is closed.
		cl.onClose = func() { _ = activations.Close() }
		context.AfterFunc(cl.ctx, cl.onClose)
	}
	resp, err := cl.send(http.MethodPost, "/v1/stages/run", body)
	if err != nil {
		cl.finish()
		return nil, err
	}
	return &runStream{call: cl, body: resp.Body, lines: NewItemReader(resp.Body)}, nil
}

// Cancel cancels a stream's work in the epoch and earlier ones, and returns whether the engine ran any of it.
func (c *Client) Cancel(ctx context.Context, address string, stream ferryid.StreamID, epoch ferryid.Epoch) (CancelResult, error) {
	var out CancelResult
	err := c.call(ctx, address, http.MethodPost, "/v1/streams/"+url.PathEscape(string(stream))+"/cancel", CancelRequest{Epoch: epoch}, &out, maxReportBytes)
	return out, err
}

// Load returns the load report of an engine.
func (c *Client) Load(ctx context.Context, address string) (Load, error) {
	var out Load
	err := c.call(ctx, address, http.MethodGet, "/v1/load", nil, &out, maxReportBytes)
	return out, err
}

// ExportKV returns the KV cache of a stream, or a *NotFoundError.
func (c *Client) ExportKV(ctx context.Context, address string, stream ferryid.StreamID) (KV, error) {
	var out KV
	err := c.call(ctx, address, http.MethodGet, "/v1/kv/"+url.PathEscape(string(stream)), nil, &out, maxKVBytes)
	return out, err
}

// ImportKV sends the KV cache of a stream to an engine.
func (c *Client) ImportKV(ctx context.Context, address string, kv KV) error {
	if err := kv.Check(); err != nil {
		return err
	}
	return c.call(ctx, address, http.MethodPut, "/v1/kv/"+url.PathEscape(string(kv.Stream)), kv, nil, maxReportBytes)
}

// Order sets the target state of an engine. It returns a *FenceError if the engine has seen an order with a
// higher fencing number.
func (c *Client) Order(ctx context.Context, address string, o Order) error {
	if err := o.Check(); err != nil {
		return err
	}
	return c.call(ctx, address, http.MethodPost, "/v1/orders", o, nil, maxReportBytes)
}

// CacheEvents returns the cache events after a sequence number.
func (c *Client) CacheEvents(ctx context.Context, address string, after uint64) (CacheEvents, error) {
	var out CacheEvents
	err := c.call(ctx, address, http.MethodGet, "/v1/cache-events?after="+strconv.FormatUint(after, 10), nil, &out, maxReportBytes)
	return out, err
}

type checker interface{ Check() error }

func (c *Client) call(ctx context.Context, address, method, path string, in any, out checker, maxBytes int64) error {
	var body io.Reader
	if in != nil {
		b, err := json.Marshal(in)
		if err != nil {
			return &DispatchError{Upstream: address, Phase: ferryoutcome.PhaseNotConnected, Err: err}
		}
		body = bytes.NewReader(b)
	}
	cl := c.newCall(ctx, address, c.idleTimeout)
	defer cl.finish()
	resp, err := cl.send(method, path, body)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	hold := c.memory.Hold()
	defer hold.Release()
	b, whole, err := hold.Read(&progressReader{call: cl, r: resp.Body}, int(maxBytes)+1)
	switch {
	case err != nil:
		return cl.answerError(err)
	case int64(len(b)) > maxBytes:
		return cl.answerError(&LineTooLongError{Max: int(maxBytes)})
	case !whole:
		return cl.answerError(&ferrymemory.ExhaustedError{Part: "result"})
	}
	if out == nil {
		return nil
	}
	if err := json.Unmarshal(b, out); err != nil {
		return cl.answerError(err)
	}
	if err := out.Check(); err != nil {
		return cl.answerError(err)
	}
	return nil
}

// call is one request with its idle timeout, and the state from which its phase is derived.
type call struct {
	client      *Client
	address     string
	idleTimeout time.Duration
	ctx         context.Context
	cancel      context.CancelCauseFunc
	timer       clockwork.Timer

	mu            sync.Mutex
	conn          *countingConn
	writtenBefore int64
	gotConn       bool
	answerStarted bool
	onClose       func()
}

func (c *Client) newCall(ctx context.Context, address string, idle time.Duration) *call {
	cl := &call{client: c, address: address, idleTimeout: idle}
	cl.ctx, cl.cancel = context.WithCancelCause(ctx)
	cl.timer = c.clock.AfterFunc(idle, func() {
		cl.cancel(&IdleTimeoutError{Upstream: address, Idle: idle})
	})
	return cl
}

func (cl *call) resetTimeout() {
	cl.timer.Reset(cl.idleTimeout)
}

func (cl *call) finish() {
	cl.timer.Stop()
	cl.cancel(context.Canceled)
}

func (cl *call) trace() *httptrace.ClientTrace {
	return &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) {
			cl.mu.Lock()
			defer cl.mu.Unlock()
			cl.gotConn = true
			cl.conn, _ = info.Conn.(*countingConn)
			if cl.conn != nil {
				cl.writtenBefore = cl.conn.bytesWritten()
				cl.conn.notify(cl.onClose)
			}
		},
		GotFirstResponseByte: func() {
			cl.mu.Lock()
			defer cl.mu.Unlock()
			cl.answerStarted = true
		},
	}
}

// sendPhase returns the phase of a send that failed with the error. An answer without a final status counts as none.
func (cl *call) sendPhase(err error) ferryoutcome.Phase {
	if errors.As(err, new(*ferrystatus.InvalidError)) {
		return ferryoutcome.PhaseWriting
	}
	return cl.phase()
}

// phase returns the phase of a failed send. It seals the connection, so that a call reported as not written
// can't be written later.
func (cl *call) phase() ferryoutcome.Phase {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	switch {
	case cl.answerStarted:
		return ferryoutcome.PhaseAnswered
	case !cl.gotConn:
		return ferryoutcome.PhaseNotConnected
	case cl.conn != nil && cl.conn.seal() == cl.writtenBefore:
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
		return nil, &DispatchError{Upstream: cl.address, Phase: cl.sendPhase(err), Err: cl.cause(err)}
	}
	cl.resetTimeout()
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
	return cl.answerError(&StatusError{Status: resp.StatusCode, Detail: p.Detail})
}

func (cl *call) answerError(err error) error {
	return &DispatchError{Upstream: cl.address, Phase: ferryoutcome.PhaseAnswered, Err: cl.cause(err)}
}

func (cl *call) cause(err error) error {
	var idle *IdleTimeoutError
	if errors.As(context.Cause(cl.ctx), &idle) {
		return fmt.Errorf("%w (%v)", idle, err)
	}
	return err
}

type progressReader struct {
	call *call
	r    io.Reader
}

// Read reads from the answer and resets the idle timeout.
func (p *progressReader) Read(b []byte) (int, error) {
	n, err := p.r.Read(b)
	if n > 0 {
		p.call.resetTimeout()
	}
	return n, err
}
