package ferryexchange

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"cactusferry.dev/ferry/ferryoutcome"
)

const (
	defaultDialTimeout = time.Second
	defaultIdleTimeout = 4 * time.Second // below the 5 s that common servers keep idle connections
	defaultIdleConns   = 8
	// idleMargin is taken from the time that the other end keeps an idle connection, for a request under way while it closes.
	idleMargin = time.Second
	// maxForeign is how many answers to other requests are passed over before the connection is given up.
	maxForeign = 4
	// maxSkipBytes bounds how much of a foreign answer is read to reach the next one.
	maxSkipBytes = 256 << 10
)

// Config sets up a Client; zero values take the defaults of 1 s, 4 s and 8.
type Config struct {
	Clock       clockwork.Clock
	DialTimeout time.Duration
	// IdleTimeout is how long an idle connection is kept where the upstream does not say.
	IdleTimeout time.Duration
	// IdleConns is the most idle connections to one upstream.
	IdleConns int
	// Dial opens connections, or is nil for TCP.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
}

// Client sends requests to upstreams.
type Client struct {
	cfg   Config
	pool  *pool
	bufs  sync.Pool
	dials counter
}

// New returns a client.
func New(cfg Config) *Client {
	if cfg.Clock == nil {
		cfg.Clock = clockwork.NewRealClock()
	}
	if cfg.DialTimeout == 0 {
		cfg.DialTimeout = defaultDialTimeout
	}
	if cfg.IdleTimeout == 0 {
		cfg.IdleTimeout = defaultIdleTimeout
	}
	if cfg.IdleConns == 0 {
		cfg.IdleConns = defaultIdleConns
	}
	if cfg.Dial == nil {
		cfg.Dial = (&net.Dialer{KeepAlive: -1}).DialContext
	}
	return &Client{cfg: cfg, pool: newPool(cfg.IdleConns), bufs: sync.Pool{New: func() any { return new(bytes.Buffer) }}}
}

// Dials counts the connections opened since the start.
func (c *Client) Dials() int64 { return c.dials.Load() }

// Sweep closes idle connections whose time is over.
func (c *Client) Sweep() { c.pool.sweep(c.cfg.Clock.Now()) }

// Drop closes the idle connections to an address whose upstream is gone.
func (c *Client) Drop(address string) { c.pool.drop(address) }

// Close closes all idle connections.
func (c *Client) Close() { c.pool.close() }

// Do sends a request once and returns its answer, whose body must be closed, or an *Error.
//
// The connection is closed when the context ends, which tells the upstream that nobody waits any more.
func (c *Client) Do(ctx context.Context, address string, r *Request) (*Answer, error) {
	cn, err := c.connect(ctx, address, r.Alone)
	if err != nil {
		return nil, &Error{Address: address, Phase: ferryoutcome.PhaseNotConnected, Err: err}
	}
	reused := cn.used
	cn.used = true
	stop := context.AfterFunc(ctx, func() { _ = cn.Close() })
	n, err := c.write(cn, r)
	if err != nil {
		stop()
		_ = cn.Close()
		phase := ferryoutcome.PhaseWriting
		if n == 0 {
			phase = ferryoutcome.PhaseNotConnected
		}
		return nil, &Error{Address: address, Phase: phase, Reused: reused, Err: cause(ctx, err)}
	}
	a, err := c.read(cn, r)
	if err != nil {
		stop()
		_ = cn.Close()
		return nil, &Error{Address: address, Phase: ferryoutcome.PhaseWriting, Reused: reused, Err: cause(ctx, err)}
	}
	a.ctx, a.stop, a.client = ctx, stop, c
	return a, nil
}

// Probe opens a connection and closes it again, to see whether anything answers at the address.
func (c *Client) Probe(ctx context.Context, address string) error {
	c.dials.Add(1)
	nc, err := c.cfg.Dial(ctx, "tcp", address)
	if err != nil {
		return err
	}
	return nc.Close()
}

// cause prefers the reason for which the context ended over the error that closing the connection brought.
func cause(ctx context.Context, err error) error {
	if ctx.Err() != nil {
		return context.Cause(ctx)
	}
	return err
}

func (c *Client) connect(ctx context.Context, address string, alone bool) (*conn, error) {
	if !alone {
		if cn := c.pool.take(address, c.cfg.Clock.Now()); cn != nil {
			return cn, nil
		}
	}
	dialing, cancel := context.WithTimeout(ctx, c.cfg.DialTimeout)
	defer cancel()
	c.dials.Add(1)
	nc, err := c.cfg.Dial(dialing, "tcp", address)
	if err != nil {
		return nil, cause(ctx, err)
	}
	return newConn(nc, address), nil
}

// write hands the request over in one piece and returns how many bytes the connection took.
func (c *Client) write(cn *conn, r *Request) (int, error) {
	b, _ := c.bufs.Get().(*bytes.Buffer)
	defer c.bufs.Put(b)
	b.Reset()
	r.appendTo(b)
	return cn.Write(b.Bytes())
}

// read returns the answer to the request, past interim answers and answers to other requests.
func (c *Client) read(cn *conn, r *Request) (*Answer, error) {
	method := &http.Request{Method: r.Method}
	for foreign := 0; foreign < maxForeign; {
		w, err := http.ReadResponse(cn.br, method)
		if err != nil {
			return nil, unexpected(err)
		}
		switch {
		case w.StatusCode == http.StatusSwitchingProtocols:
			return nil, errors.New("upstream switched protocols unasked")
		case w.StatusCode/100 == 1:
			continue
		case r.Echo == "" || w.Header.Get(r.Echo) == "" || w.Header.Get(r.Echo) == r.Header.Get(r.Echo):
			return &Answer{Status: w.StatusCode, Header: w.Header, body: w.Body, conn: cn, keep: !w.Close, Skipped: foreign}, nil
		}
		foreign++
		if err := skip(w); err != nil {
			return nil, err
		}
	}
	return nil, ErrForeign
}

// skip reads past a foreign answer; one that ends with its connection leaves no room for ours.
func skip(w *http.Response) error {
	defer w.Body.Close()
	if w.Close {
		return ErrForeign
	}
	n, err := io.Copy(io.Discard, io.LimitReader(w.Body, maxSkipBytes))
	if err != nil || n == maxSkipBytes {
		return ErrForeign
	}
	return nil
}
