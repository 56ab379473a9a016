package ferryexchange

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"cactusferry.dev/ferry/ferrymemory"
	"cactusferry.dev/ferry/ferryoutcome"
	"cactusferry.dev/ferry/ferrystatus"
)

const (
	defaultDialTimeout = time.Second
	defaultIdleTimeout = 4 * time.Second // below the 5 s idle timeout of common servers
	defaultIdleConns   = 8
	// idleMargin is subtracted from the upstream's idle timeout, so that no request meets a connection being
	// closed.
	idleMargin = time.Second
	// maxForeignAnswers is the number of answers to other requests after which an exchange fails.
	maxForeignAnswers = 4
	// maxSkipBytes is the maximum body size of an answer to another request that is skipped.
	maxSkipBytes = 256 << 10
)

// Config configures a Client; DialTimeout, IdleTimeout and IdleConns default to 1 s, 4 s and 8.
type Config struct {
	Clock       clockwork.Clock
	DialTimeout time.Duration
	// IdleTimeout is how long an idle connection is kept if the upstream sends no Keep-Alive timeout.
	IdleTimeout time.Duration
	// IdleConns is the maximum number of idle connections per upstream.
	IdleConns int
	// Limits bounds what an upstream may send.
	Limits Limits
	// Memory bounds what is buffered of all answers together; its default is that of ferrymemory.
	Memory *ferrymemory.Budget
	// Dial opens connections; nil means TCP.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
}

// Client sends requests to upstreams; it is safe for concurrent use.
type Client struct {
	cfg   Config
	pool  *pool
	bufs  sync.Pool
	dials counter
}

// New returns a Client.
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
	cfg.Limits = cfg.Limits.withDefaults()
	if cfg.Memory == nil {
		cfg.Memory = ferrymemory.New(ferrymemory.Config{Name: "answers", Clock: cfg.Clock})
	}
	if cfg.Dial == nil {
		cfg.Dial = (&net.Dialer{KeepAlive: -1}).DialContext
	}
	return &Client{cfg: cfg, pool: newPool(cfg.IdleConns), bufs: sync.Pool{New: func() any { return new(bytes.Buffer) }}}
}

// Dials returns the number of attempts to open a connection so far.
func (c *Client) Dials() int64 { return c.dials.Load() }

// Sweep closes idle connections that have reached their idle timeout.
func (c *Client) Sweep() { c.pool.sweep(c.cfg.Clock.Now()) }

// Drop closes the idle connections to an address, for use when its upstream is gone.
func (c *Client) Drop(address string) { c.pool.drop(address) }

// Close closes all idle connections.
func (c *Client) Close() { c.pool.close() }

// Do sends a request once and returns its answer, which must be closed, or an *Error.
//
// The connection is closed when the context ends, so that the upstream can stop.
func (c *Client) Do(ctx context.Context, address string, r *Request) (*Answer, error) {
	cn, err := c.getConn(ctx, address, r.NewConn)
	if err != nil {
		return nil, &Error{Address: address, Phase: ferryoutcome.PhaseNotConnected, Err: err}
	}
	reused := cn.used
	cn.used = true
	stop := context.AfterFunc(ctx, func() { _ = cn.Close() })
	n, err := c.writeRequest(cn, r)
	if err != nil {
		stop()
		_ = cn.Close()
		phase := ferryoutcome.PhaseWriting
		if n == 0 {
			phase = ferryoutcome.PhaseNotConnected
		}
		return nil, &Error{Address: address, Phase: phase, Reused: reused, Err: cause(ctx, err)}
	}
	hold := c.cfg.Memory.Hold()
	a, err := c.readAnswer(cn, r, reused, hold)
	if err != nil {
		stop()
		hold.Release()
		_ = cn.Close()
		return nil, &Error{Address: address, Phase: ferryoutcome.PhaseWriting, Reused: reused, Err: cause(ctx, err)}
	}
	a.ctx, a.stopWatch, a.client, a.hold = ctx, stop, c, hold
	return a, nil
}

// Probe checks that the address accepts connections.
func (c *Client) Probe(ctx context.Context, address string) error {
	c.dials.Add(1)
	nc, err := c.cfg.Dial(ctx, "tcp", address)
	if err != nil {
		return err
	}
	return nc.Close()
}

// cause returns the cancellation cause of an ended context in place of the resulting connection error.
func cause(ctx context.Context, err error) error {
	if ctx.Err() != nil {
		return context.Cause(ctx)
	}
	return err
}

func (c *Client) getConn(ctx context.Context, address string, newConnOnly bool) (*conn, error) {
	if !newConnOnly {
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

// maxCopiedBytes is the size up to which a body is copied to be written in one go with its head.
const maxCopiedBytes = 8 << 10

// writeRequest sends the request, a short one in a single write, and returns the number of bytes written.
func (c *Client) writeRequest(cn *conn, r *Request) (int, error) {
	b, _ := c.bufs.Get().(*bytes.Buffer)
	defer c.bufs.Put(b)
	b.Reset()
	r.appendHead(b)
	if len(r.Body) <= maxCopiedBytes {
		b.Write(r.Body)
		return cn.Write(b.Bytes())
	}
	n, err := cn.Write(b.Bytes())
	if err != nil {
		return n, err
	}
	m, err := cn.Write(r.Body)
	return n + m, err
}

// readAnswer returns the answer to the request; it skips interim answers and answers to other requests.
func (c *Client) readAnswer(cn *conn, r *Request, reused bool, hold *ferrymemory.Hold) (*Answer, error) {
	method := &http.Request{Method: r.Method}
	interim := 0
	for foreign := 0; foreign < maxForeignAnswers; {
		resp, err := c.readHead(cn, method, hold)
		if err != nil {
			return nil, err
		}
		switch {
		case resp.StatusCode == http.StatusSwitchingProtocols:
			return nil, errors.New("upstream answered 101 Switching Protocols to a request without Upgrade")
		case resp.StatusCode/100 == 1:
			if interim++; interim > c.cfg.Limits.InterimAnswers {
				return nil, &LimitError{Part: "answer", Limit: fmt.Sprintf("%d interim answers", c.cfg.Limits.InterimAnswers)}
			}
			continue
		case !ferrystatus.IsFinal(resp.StatusCode):
			return nil, ferrystatus.Check(resp.StatusCode, cn.address)
		case r.owns(resp.Header, reused):
			return &Answer{
				Status: resp.StatusCode, Header: resp.Header, body: resp.Body, conn: cn,
				reusable: !resp.Close && r.identifies(resp.Header), Skipped: foreign,
				Unframed: resp.ContentLength < 0 && len(resp.TransferEncoding) == 0,
			}, nil
		}
		foreign++
		if err := skipAnswer(resp); err != nil {
			return nil, err
		}
	}
	return nil, ErrForeignAnswers
}

// readHead reads the head of one answer within the limits and the budget.
func (c *Client) readHead(cn *conn, r *http.Request, hold *ferrymemory.Hold) (*http.Response, error) {
	cn.metered.head.begin(c.cfg.Limits, hold)
	defer cn.metered.head.end()
	if _, err := cn.br.Peek(1); err != nil {
		return nil, unexpectedEOF(err)
	}
	_ = cn.SetReadDeadline(time.Now().Add(c.cfg.Limits.HeadTimeout))
	resp, err := http.ReadResponse(cn.br, r)
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return nil, &LimitError{Part: "head of the answer", Limit: c.cfg.Limits.HeadTimeout.String()}
	}
	if err != nil {
		return nil, unexpectedEOF(err)
	}
	_ = cn.SetReadDeadline(time.Time{})
	return resp, nil
}

// skipAnswer reads the body of an answer to another request. It fails if no further answer can follow on the
// connection.
func skipAnswer(resp *http.Response) error {
	defer resp.Body.Close()
	if resp.Close {
		return ErrForeignAnswers
	}
	n, err := io.Copy(io.Discard, io.LimitReader(resp.Body, maxSkipBytes))
	if err != nil || n == maxSkipBytes {
		return ErrForeignAnswers
	}
	return nil
}
