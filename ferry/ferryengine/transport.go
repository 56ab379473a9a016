package ferryengine

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	dialTimeout         = 2 * time.Second
	idleConnTimeout     = 90 * time.Second
	maxIdleConns        = 4096
	maxIdleConnsPerHost = 512
	maxHeaderBytes      = 64 << 10 // status line and headers of an answer
	// writeBufferBytes is small, as a connection writes one request and then only reads.
	writeBufferBytes = 1 << 10
)

// countingConn counts the bytes written to a connection. It can be sealed against further writes, so that a
// count read at that time is final.
type countingConn struct {
	net.Conn
	mu      sync.Mutex
	written int64
	sealed  bool
	closed  bool
	onClose func()
}

// Close closes the connection and calls the function set by notify.
func (c *countingConn) Close() error {
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

// notify sets a function to be called once when the connection is closed, or immediately if it is closed
// already.
func (c *countingConn) notify(f func()) {
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

// Write writes to the connection, or returns net.ErrClosed if it is sealed.
func (c *countingConn) Write(b []byte) (int, error) {
	c.mu.Lock()
	if c.sealed {
		c.mu.Unlock()
		return 0, net.ErrClosed
	}
	c.written += int64(len(b))
	c.mu.Unlock()
	return c.Conn.Write(b)
}

func (c *countingConn) bytesWritten() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.written
}

func (c *countingConn) seal() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sealed = true
	return c.written
}

// Dial opens a connection, like DialContext of net.Dialer.
type Dial func(ctx context.Context, network, address string) (net.Conn, error)

// NewTransport returns an HTTP/1.1 transport whose connections count written bytes, which makes the phase
// of a failed call exact. A nil dial selects TCP.
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
			return &countingConn{Conn: conn}, nil
		},
		DisableCompression:     true,
		MaxResponseHeaderBytes: maxHeaderBytes,
		MaxIdleConns:           maxIdleConns,
		MaxIdleConnsPerHost:    maxIdleConnsPerHost,
		IdleConnTimeout:        idleConnTimeout,
		WriteBufferSize:        writeBufferBytes,
	}
}
