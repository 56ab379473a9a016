package ferryplain

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"net/url"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"

	"cactusferry.dev/ferry/ferryoutcome"
	"cactusferry.dev/ferry/ferrystatus"
)

const (
	// maxBufferedBytes is how much of an answer is read before any of it is forwarded.
	maxBufferedBytes = 1 << 20
	// maxProblemBytes is how much of a refusal's body is read.
	maxProblemBytes     = 64 << 10
	defaultDialTimeout  = 2 * time.Second
	defaultIdleTimeout  = 30 * time.Second
	maxIdleConns        = 256
	maxIdleConnsPerHost = 32
	maxHeaderBytes      = 64 << 10 // status line and headers of an answer
)

// ErrIdleTimeout means that an open connection made no progress for the idle timeout.
var ErrIdleTimeout = errors.New("connection made no progress")

// ClientConfig configures a Client.
// The zero value of DialTimeout means 2 s, that of IdleTimeout 30 s without progress.
type ClientConfig struct {
	Clock       clockwork.Clock
	DialTimeout time.Duration
	IdleTimeout time.Duration
}

// Client calls plain services.
type Client struct {
	clock       clockwork.Clock
	idleTimeout time.Duration
	pooled      *http.Transport
	unpooled    *http.Transport
}

// New returns a client. It pools connections for idempotent calls; any other call gets a
// connection of its own.
func New(cfg ClientConfig) *Client {
	if cfg.Clock == nil {
		cfg.Clock = clockwork.NewRealClock()
	}
	if cfg.DialTimeout == 0 {
		cfg.DialTimeout = defaultDialTimeout
	}
	if cfg.IdleTimeout == 0 {
		cfg.IdleTimeout = defaultIdleTimeout
	}
	dialer := &net.Dialer{Timeout: cfg.DialTimeout}
	return &Client{
		clock:       cfg.Clock,
		idleTimeout: cfg.IdleTimeout,
		pooled: &http.Transport{
			DialContext:            dialer.DialContext,
			MaxIdleConns:           maxIdleConns,
			MaxIdleConnsPerHost:    maxIdleConnsPerHost,
			IdleConnTimeout:        cfg.IdleTimeout,
			DisableCompression:     true,
			MaxResponseHeaderBytes: maxHeaderBytes,
		},
		unpooled: &http.Transport{
			DialContext:            dialTracked(dialer.DialContext),
			DisableKeepAlives:      true,
			DisableCompression:     true,
			MaxResponseHeaderBytes: maxHeaderBytes,
		},
	}
}

// Close closes idle connections.
func (c *Client) Close() {
	c.pooled.CloseIdleConnections()
	c.unpooled.CloseIdleConnections()
}

type writtenKey struct{}

// trackedConn records whether any byte may have been sent; only the transport's write loop calls Write.
type trackedConn struct {
	net.Conn
	written *atomic.Bool
}

func (c *trackedConn) Write(b []byte) (int, error) {
	before := c.written.Swap(true)
	n, err := c.Conn.Write(b)
	if n == 0 && err != nil {
		c.written.Store(before)
	}
	return n, err
}

type dialFunc func(ctx context.Context, network, addr string) (net.Conn, error)

func dialTracked(dial dialFunc) dialFunc {
	return func(ctx context.Context, network, addr string) (net.Conn, error) {
		conn, err := dial(ctx, network, addr)
		if err != nil {
			return nil, err
		}
		written, ok := ctx.Value(writtenKey{}).(*atomic.Bool)
		if !ok {
			return conn, nil
		}
		return &trackedConn{Conn: conn, written: written}, nil
	}
}

// Do sends the call once to the address and returns its answer, or a *DispatchError or a *RefusedError.
func (c *Client) Do(ctx context.Context, address string, call Call) (*Answer, error) {
	ctx, cancel := context.WithCancelCause(ctx)
	idleTimer := c.clock.AfterFunc(c.idleTimeout, func() { cancel(ErrIdleTimeout) })
	stop := func() { idleTimer.Stop(); cancel(nil) }
	written := &atomic.Bool{}
	resp, err := c.send(context.WithValue(ctx, writtenKey{}, written), address, call)
	if err != nil {
		cause := err
		if context.Cause(ctx) != nil {
			cause = context.Cause(ctx)
		}
		stop()
		phase := ferryoutcome.PhaseWriting
		if !call.Idempotent && !written.Load() {
			phase = ferryoutcome.PhaseNotConnected
		}
		var op *net.OpError
		if errors.As(err, &op) && op.Op == "dial" {
			phase = ferryoutcome.PhaseNotConnected
		}
		return nil, &DispatchError{Address: address, Phase: phase, Err: cause}
	}
	body := &idleTimeoutBody{ReadCloser: resp.Body, ctx: ctx, idleTimer: idleTimer, idleTimeout: c.idleTimeout, stop: stop}
	if resp.Header.Get(ferryoutcome.Header) == string(ferryoutcome.NotRun) {
		defer body.Close()
		return nil, refusal(address, resp.StatusCode, body)
	}
	return readAnswer(address, resp, body)
}

func (c *Client) send(ctx context.Context, address string, call Call) (*http.Response, error) {
	u := url.URL{Scheme: "http", Host: address, Path: call.Path, RawQuery: call.Query}
	r, err := http.NewRequestWithContext(ctx, call.Method, u.String(), bytes.NewReader(call.Body))
	if err != nil {
		return nil, err
	}
	CopyHeader(r.Header, call.Header)
	r.Header.Set(RequestIDHeader, string(call.RequestID))
	if call.Idempotent {
		return (&ferrystatus.Transport{Base: c.pooled}).RoundTrip(r)
	}
	// With GetBody the transport would retry the call itself.
	r.GetBody = nil
	return (&ferrystatus.Transport{Base: c.unpooled}).RoundTrip(r)
}

func refusal(address string, status int, body io.Reader) error {
	b, _ := io.ReadAll(io.LimitReader(body, maxProblemBytes))
	var p ferryoutcome.Problem
	_ = json.Unmarshal(b, &p)
	return &RefusedError{Address: address, Status: status, Leaving: p.Kind == ferryoutcome.KindDraining}
}

func readAnswer(address string, resp *http.Response, body *idleTimeoutBody) (*Answer, error) {
	a := &Answer{Status: resp.StatusCode, Header: resp.Header}
	b, err := io.ReadAll(io.LimitReader(body, maxBufferedBytes))
	if err != nil {
		body.Close()
		return nil, &DispatchError{Address: address, Phase: ferryoutcome.PhaseAnswered, Err: err}
	}
	a.Body = b
	if len(b) < maxBufferedBytes {
		body.Close()
		return a, nil
	}
	a.Rest = body
	return a, nil
}

// idleTimeoutBody fails a read when the connection is idle for too long.
type idleTimeoutBody struct {
	io.ReadCloser
	ctx         context.Context
	idleTimer   clockwork.Timer
	idleTimeout time.Duration
	stop        func()
}

func (b *idleTimeoutBody) Read(p []byte) (int, error) {
	b.idleTimer.Reset(b.idleTimeout)
	n, err := b.ReadCloser.Read(p)
	if err != nil && !errors.Is(err, io.EOF) && context.Cause(b.ctx) != nil {
		err = context.Cause(b.ctx)
	}
	return n, err
}

func (b *idleTimeoutBody) Close() error {
	b.stop()
	return b.ReadCloser.Close()
}
