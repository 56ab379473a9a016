package ferryingress

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// lastWait is how long a connection that comes after the stop began may take to its only request.
const lastWait = time.Second

// past is a deadline that ends a read at once.
var past = time.Unix(1, 0)

// serverConn is one caller's connection.
type serverConn struct {
	server *Server
	net.Conn
	limit *bounded
	br    *bufio.Reader
	w     writer

	// served counts the requests that were answered.
	served int

	mu   sync.Mutex
	idle bool
	ends bool
}

// serve answers one request after another until the connection ends.
func (c *serverConn) serve(ctx context.Context) {
	defer c.server.remove(c)
	defer c.Close()
	for c.awaitRequest() {
		if !c.serveOne(ctx) {
			return
		}
	}
}

// awaitRequest waits for the first byte of a request and reports whether one came.
func (c *serverConn) awaitRequest() bool {
	if !c.setIdle(true) {
		return false
	}
	c.limit.left = int64(readBufferBytes)
	_, err := c.br.Peek(1)
	return c.setIdle(false) && err == nil
}

// setIdle marks the connection as waiting for a request or not; it returns false once it has been told to end while it waited.
func (c *serverConn) setIdle(idle bool) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	stopping := c.server.stopping.Load()
	if idle && stopping && c.served > 0 && c.br.Buffered() == 0 {
		return false
	}
	if idle {
		wait := c.server.limits().IdleTimeout
		if stopping {
			wait = min(wait, lastWait)
		}
		_ = c.SetReadDeadline(time.Now().Add(wait))
	}
	c.idle = idle
	return !c.ends || c.br.Buffered() > 0
}

// stopIdle ends a connection that waits for a request; whatever has been read is still answered.
func (c *serverConn) stopIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case !c.idle:
	case c.served == 0:
		_ = c.SetReadDeadline(time.Now().Add(lastWait))
	default:
		c.ends = true
		_ = c.SetReadDeadline(past)
	}
}

// serveOne reads and answers one request and reports whether the connection can carry another.
func (c *serverConn) serveOne(ctx context.Context) bool {
	limits := c.server.limits()
	at := c.server.cfg.Clock.Now()
	_ = c.SetReadDeadline(time.Now().Add(limits.HeaderTimeout))
	c.served++
	h, err := c.readHead(limits)
	c.w.reset(h)
	call := &Call{Method: h.method, Target: h.target, Host: h.host, Header: h.header, At: at, Remote: c.RemoteAddr().String(), w: &c.w}
	if err == nil {
		call.Body, err = c.readBody(h, limits)
	}
	if err != nil {
		c.reject(call, err)
		return false
	}
	_ = c.SetReadDeadline(time.Time{})
	if c.server.stopping.Load() {
		c.w.last = true
	}
	c.handle(ctx, call)
	if !c.w.ended || c.w.err != nil {
		c.w.abandon()
		return false
	}
	if c.w.last {
		c.linger()
		return false
	}
	return true
}

// readHead reads a request's head within the limit, of which some may be in the buffer already.
func (c *serverConn) readHead(limits Limits) (head, error) {
	most := int64(limits.HeaderBytes)
	before := c.limit.read - int64(c.br.Buffered())
	c.limit.left = most
	h, err := readHead(c.br)
	switch {
	case c.limit.read-int64(c.br.Buffered())-before > most:
		err = errHeaderTooLong
	case err != nil && c.limit.err != nil:
		err = headFault(c.limit.err)
	}
	return h, err
}

func (c *serverConn) readBody(h head, limits Limits) ([]byte, error) {
	if !h.chunked && h.length == 0 {
		return nil, nil
	}
	c.limit.left = limits.BodyBytes + int64(limits.HeaderBytes)
	_ = c.SetReadDeadline(time.Now().Add(limits.BodyTimeout))
	if h.expects && h.length <= limits.BodyBytes {
		_ = c.SetWriteDeadline(time.Now().Add(writeTimeout))
		if _, err := io.WriteString(c.Conn, "HTTP/1.1 100 Continue\r\n\r\n"); err != nil {
			return nil, err
		}
	}
	return readBody(c.br, h, limits.BodyBytes)
}

// reject answers a request that could not be read whole, unless the caller has gone.
func (c *serverConn) reject(call *Call, err error) {
	var e *RequestError
	var timeout net.Error
	switch {
	case errors.As(err, &e):
	case errors.As(err, &timeout) && timeout.Timeout():
		e = &RequestError{Status: http.StatusRequestTimeout, Detail: "the request did not arrive in time"}
	default:
		return
	}
	c.w.last = true
	if call.Header == nil {
		call.Header = http.Header{}
	}
	c.server.refuse(call, e)
	c.linger()
}

// linger ends the sending side and reads on for a while: closing with unread bytes would reset the connection and could take the answer with it.
func (c *serverConn) linger() {
	if tc, ok := c.Conn.(*net.TCPConn); ok {
		_ = tc.CloseWrite()
	}
	_ = c.SetReadDeadline(time.Now().Add(lingerTime))
	_, _ = io.Copy(io.Discard, io.LimitReader(c.Conn, lingerBytes))
}

// handle runs the handler and watches meanwhile whether the caller leaves.
func (c *serverConn) handle(ctx context.Context, call *Call) {
	c.server.active.Add(1)
	defer c.server.active.Add(-1)
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	c.limit.left = int64(readBufferBytes)
	watched := make(chan struct{})
	go func() {
		defer close(watched)
		if _, err := c.br.Peek(1); err != nil && !errors.Is(err, errTooLong) {
			cancel(ErrCallerLeft)
		}
	}()
	defer func() {
		_ = c.SetReadDeadline(past)
		<-watched
	}()
	c.server.cfg.Handle(ctx, call)
}
