package ferryengine

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	dialTimeout        = 2 * time.Second
	idleConnTimeout    = 90 * time.Second
	maxIdleConns       = 4096
	maxIdleConnsByHost = 512
	// writeBufferBytes is small because a connection writes one request and then only reads.
	writeBufferBytes = 1 << 10
)

// meteredConn counts the bytes handed to a connection and can be sealed against more, so that a count of nothing stays true.
type meteredConn struct {
	net.Conn
	mu      sync.Mutex
	written int64
	sealed  bool
	closed  bool
	onClose func()
}

// Close closes the connection and tells the call that uses it.
func (c *meteredConn) Close() error {
	c.mu.Lock()
	c.closed = true
	f := c.onClose
	c.onClose = nil
	c.mu.Unlock()
	if f != nil {
		f()
	}
	return c.Conn.Close()
}

// notify sets what to call once when the connection is closed, at once if it is already.
func (c *meteredConn) notify(f func()) {
	c.mu.Lock()
	if !c.closed {
		c.onClose = f
		f = nil
	}
	c.mu.Unlock()
	if f != nil {
		f()
	}
}

// Write hands bytes to the connection unless it is sealed.
func (c *meteredConn) Write(b []byte) (int, error) {
	c.mu.Lock()
	if c.sealed {
		c.mu.Unlock()
		return 0, net.ErrClosed
	}
	c.written += int64(len(b))
	c.mu.Unlock()
	return c.Conn.Write(b)
}

func (c *meteredConn) count() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.written
}

func (c *meteredConn) seal() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sealed = true
	return c.written
}

// Dial opens a connection, as net.Dialer's DialContext does.
type Dial func(ctx context.Context, network, address string) (net.Conn, error)

// NewTransport returns an HTTP/1.1 transport whose connections count what is written, so that a failed call's phase is exact; a nil dial stands for TCP.
func NewTransport(dial Dial) *http.Transport {
	if dial == nil {
		dial = (&net.Dialer{Timeout: dialTimeout}).DialContext
	}
	return &http.Transport{
		DialContext: func(ctx context.Context, network, addr string) (net.Conn, error) {
			conn, err := dial(ctx, network, addr)
			if err != nil {
				return nil, err
			}
			return &meteredConn{Conn: conn}, nil
		},
		DisableCompression:  true,
		MaxIdleConns:        maxIdleConns,
		MaxIdleConnsPerHost: maxIdleConnsByHost,
		IdleConnTimeout:     idleConnTimeout,
		WriteBufferSize:     writeBufferBytes,
	}
}
