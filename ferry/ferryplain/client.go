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
)

const (
	// bufferBytes is how much of an answer is read before any of it is passed on.
	bufferBytes = 1 << 20
	// problemBytes bounds how much of a refusal is read.
	problemBytes        = 64 << 10
	defaultDialTimeout  = 2 * time.Second
	defaultIdleTimeout  = 30 * time.Second
	idleConnections     = 256
	idleConnectionsHost = 32
)

// ErrSilent says that an open connection made no progress for the idle timeout.
var ErrSilent = errors.New("connection made no progress")

// ClientConfig sets up a Client; zero values take the defaults of 2 s and 30 s.
type ClientConfig struct {
	Clock       clockwork.Clock
	DialTimeout time.Duration
	IdleTimeout time.Duration
}

// Client calls plain services.
type Client struct {
	clock  clockwork.Clock
	idle   time.Duration
	pooled *http.Transport
	single *http.Transport
}

// New returns a client; calls that may not be repeated each get a connection of their own.
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
		clock: cfg.Clock,
		idle:  cfg.IdleTimeout,
		pooled: &http.Transport{
			DialContext:         dialer.DialContext,
			MaxIdleConns:        idleConnections,
			MaxIdleConnsPerHost: idleConnectionsHost,
			IdleConnTimeout:     cfg.IdleTimeout,
			DisableCompression:  true,
		},
		single: &http.Transport{
			DialContext:        dialCounted(dialer.DialContext),
			DisableKeepAlives:  true,
			DisableCompression: true,
		},
	}
}

// Close closes idle connections.
func (c *Client) Close() {
	c.pooled.CloseIdleConnections()
	c.single.CloseIdleConnections()
}

type writtenKey struct{}

// countedConn notes whether any byte may have left; only the transport's writing goroutine writes to it.
type countedConn struct {
	net.Conn
	written *atomic.Bool
}

func (c *countedConn) Write(b []byte) (int, error) {
	before := c.written.Swap(true)
	n, err := c.Conn.Write(b)
	if n == 0 && err != nil {
		c.written.Store(before)
	}
	return n, err
}

type dialFunc func(ctx context.Context, network, addr string) (net.Conn, error)

func dialCounted(dial dialFunc) dialFunc {
	return func(ctx context.Context, network, addr string) (net.Conn, error) {
		conn, err := dial(ctx, network, addr)
		if err != nil {
			return nil, err
		}
		written, ok := ctx.Value(writtenKey{}).(*atomic.Bool)
		if !ok {
			return conn, nil
		}
		return &countedConn{Conn: conn, written: written}, nil
	}
}

// Do sends the call once to the address and returns its answer, a *DispatchError or a *RefusedError.
func (c *Client) Do(ctx context.Context, address string, call Call) (*Answer, error) {
	ctx, cancel := context.WithCancelCause(ctx)
	watch := c.clock.AfterFunc(c.idle, func() { cancel(ErrSilent) })
	stop := func() { watch.Stop(); cancel(nil) }
	written := &atomic.Bool{}
	w, err := c.send(context.WithValue(ctx, writtenKey{}, written), address, call)
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
	body := &progressBody{ReadCloser: w.Body, ctx: ctx, watch: watch, idle: c.idle, stop: stop}
	if w.Header.Get(ferryoutcome.Header) == string(ferryoutcome.NotRun) {
		defer body.Close()
		return nil, refusal(address, w.StatusCode, body)
	}
	return readAnswer(address, w, body)
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
		return c.pooled.RoundTrip(r)
	}
	// The transport would repeat a call by itself if it could read the body again.
	r.GetBody = nil
	return c.single.RoundTrip(r)
}

func refusal(address string, status int, body io.Reader) error {
	b, _ := io.ReadAll(io.LimitReader(body, problemBytes))
	var p ferryoutcome.Problem
	_ = json.Unmarshal(b, &p)
	return &RefusedError{Address: address, Status: status, Leaving: p.Kind == ferryoutcome.KindDraining}
}

func readAnswer(address string, w *http.Response, body *progressBody) (*Answer, error) {
	a := &Answer{Status: w.StatusCode, Header: w.Header}
	b, err := io.ReadAll(io.LimitReader(body, bufferBytes))
	if err != nil {
		body.Close()
		return nil, &DispatchError{Address: address, Phase: ferryoutcome.PhaseAnswered, Err: err}
	}
	a.Body = b
	if len(b) < bufferBytes {
		body.Close()
		return a, nil
	}
	a.Rest = body
	return a, nil
}

// progressBody fails a read when the connection goes silent.
type progressBody struct {
	io.ReadCloser
	ctx   context.Context
	watch clockwork.Timer
	idle  time.Duration
	stop  func()
}

func (b *progressBody) Read(p []byte) (int, error) {
	b.watch.Reset(b.idle)
	n, err := b.ReadCloser.Read(p)
	if err != nil && !errors.Is(err, io.EOF) && context.Cause(b.ctx) != nil {
		err = context.Cause(b.ctx)
	}
	return n, err
}

func (b *progressBody) Close() error {
	b.stop()
	return b.ReadCloser.Close()
}
