package ferryingress

import (
	"bufio"
	"context"
	"errors"
	"io"
	"math"
	"net"
	"net/http"
	"sync"
	"time"
)

// stoppingIdleTimeout is how long a connection that has carried no request yet may take to its only request
// once the server is stopping.
const stoppingIdleTimeout = time.Second

// pastDeadline is a deadline that unblocks a read immediately.
var pastDeadline = time.Unix(1, 0)

// serverConn is the connection of one caller.
type serverConn struct {
	server *Server
	net.Conn
	limited *limitedReader
	br      *bufio.Reader
	w       writer

	// served counts the requests read so far.
	served int

	mu     sync.Mutex
	idle   bool
	ending bool
}

// serve handles requests in sequence until the connection ends.
func (c *serverConn) serve(ctx context.Context) {
	defer c.server.remove(c)
	defer c.Close()
	err := c.server.cfg.Guard.Run("caller connection", c.RemoteAddr().String(), func() {
		for c.awaitRequest() {
			if !c.serveOne(ctx) {
				return
			}
		}
	})
	if err != nil {
		c.w.resetIncomplete()
	}
}

// awaitRequest waits for the first byte of a request and reports whether there is one.
func (c *serverConn) awaitRequest() bool {
	if !c.setIdle(true) {
		return false
	}
	c.limited.remaining = int64(readBufferBytes)
	_, err := c.br.Peek(1)
	return c.setIdle(false) && err == nil
}

// setIdle sets whether the connection is waiting for a request. It returns false if the server is stopping and
// no request is to be read.
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
			wait = min(wait, stoppingIdleTimeout)
		}
		_ = c.SetReadDeadline(time.Now().Add(wait))
	}
	c.idle = idle
	return !c.ending || c.br.Buffered() > 0
}

// stopIdle ends a connection that waits for a request; a request of which bytes were read is still answered.
func (c *serverConn) stopIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case !c.idle:
	case c.served == 0:
		_ = c.SetReadDeadline(time.Now().Add(stoppingIdleTimeout))
	default:
		c.ending = true
		_ = c.SetReadDeadline(pastDeadline)
	}
}

// serveOne reads and answers one request and reports whether the connection can be reused.
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
		c.reject(ctx, call, err)
		return false
	}
	_ = c.SetReadDeadline(time.Time{})
	c.handle(ctx, call)
	if !c.w.ended || c.w.err != nil {
		c.w.resetIncomplete()
		return false
	}
	if c.w.closeAfter {
		c.linger(ctx)
		return false
	}
	return true
}

// readHead reads a request's head within the limit, which also covers bytes that are in the buffer already.
func (c *serverConn) readHead(limits Limits) (head, error) {
	limit := int64(limits.HeaderBytes)
	before := c.limited.total - int64(c.br.Buffered())
	c.limited.remaining = limit
	h, err := readHead(c.br)
	switch {
	case c.limited.total-int64(c.br.Buffered())-before > limit:
		err = errHeaderTooLong
	case err != nil && c.limited.err != nil:
		err = headError(c.limited.err)
	}
	return h, err
}

func (c *serverConn) readBody(h head, limits Limits) ([]byte, error) {
	if !h.chunked && h.length == 0 {
		return nil, nil
	}
	c.limited.remaining = limits.BodyBytes + int64(limits.HeaderBytes)
	_ = c.SetReadDeadline(time.Now().Add(limits.BodyTimeout))
	if h.expectsContinue && h.length <= limits.BodyBytes {
		_ = c.SetWriteDeadline(time.Now().Add(writeTimeout))
		if _, err := io.WriteString(c.Conn, "HTTP/1.1 100 Continue\r\n\r\n"); err != nil {
			return nil, err
		}
	}
	if !h.chunked {
		return readBody(c.br, h.length, limits.BodyBytes)
	}
	c.limited.remaining = math.MaxInt64 // the decoder bounds the framing by the data
	body, err := readChunked(c.br, limits.BodyBytes)
	if err != nil {
		return nil, err
	}
	c.limited.remaining = int64(limits.HeaderBytes)
	return body, skipTrailer(c.br)
}

// reject answers an incomplete or invalid request, unless the caller has disconnected.
func (c *serverConn) reject(ctx context.Context, call *Call, err error) {
	var e *RequestError
	var timeout net.Error
	switch {
	case errors.As(err, &e):
	case errors.As(err, &timeout) && timeout.Timeout():
		e = &RequestError{Status: http.StatusRequestTimeout, Detail: "the request did not arrive in time"}
	default:
		return
	}
	c.w.closeAfter = true
	if call.Header == nil {
		call.Header = http.Header{}
	}
	c.server.refuse(call, e)
	c.linger(ctx)
}

// linger closes the sending side and discards input for a while: closing a connection with unread bytes
// resets it, and the caller could lose the answer.
func (c *serverConn) linger(ctx context.Context) {
	if tc, ok := c.Conn.(*net.TCPConn); ok {
		_ = tc.CloseWrite()
	}
	_ = c.SetReadDeadline(time.Now().Add(lingerTime))
	defer context.AfterFunc(ctx, func() { _ = c.SetReadDeadline(pastDeadline) })()
	_, _ = io.Copy(io.Discard, io.LimitReader(c.Conn, lingerBytes))
}

// handle runs the handler and cancels its context if the caller disconnects.
func (c *serverConn) handle(ctx context.Context, call *Call) {
	c.server.active.Add(1)
	defer c.server.active.Add(-1)
	defer context.AfterFunc(ctx, c.w.cut)()
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	c.limited.remaining = int64(readBufferBytes)
	watched := make(chan struct{})
	go func() {
		defer close(watched)
		if _, err := c.br.Peek(1); err != nil && !errors.Is(err, errReadLimit) {
			cancel(ErrCallerDisconnected)
		}
	}()
	defer func() {
		_ = c.SetReadDeadline(pastDeadline)
		<-watched
	}()
	c.server.cfg.Handle(ctx, call)
}
