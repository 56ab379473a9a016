package ferryexchange

import (
	"context"
	"errors"
	"io"
	"net/http"
	"os"
	"sync/atomic"
	"time"

	"cactusferry.dev/ferry/ferrymemory"
)

// Answer is an upstream's answer with a streamed body, which a single goroutine may read.
type Answer struct {
	Status int
	Header http.Header
	// Skipped is the number of answers to other requests that were skipped before this one.
	Skipped int
	// Unframed is set if the end of the body is the end of the connection.
	Unframed bool

	body      io.ReadCloser
	conn      *conn
	reusable  bool
	complete  bool
	failed    bool
	ctx       context.Context
	stopWatch func() bool
	client    *Client
	hold      *ferrymemory.Hold
}

// counter is a counter that is safe for concurrent use.
type counter struct{ atomic.Int64 }

// Read reads from the body; only io.EOF means that the body is complete.
func (a *Answer) Read(p []byte) (int, error) {
	n, err := a.body.Read(p)
	switch {
	case errors.Is(err, io.EOF):
		a.complete = true
	case err != nil:
		a.failed = true
		err = cause(a.ctx, err)
	}
	return n, err
}

// AwaitBody waits until the body begins, or until the channel is closed. It fails if the connection or the context ends
// before; it must be called before the first Read.
func (a *Answer) AwaitBody(giveUp <-chan struct{}) error {
	if a.body == http.NoBody {
		return nil
	}
	begun, stopped := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(stopped)
		select {
		case <-giveUp:
			_ = a.conn.SetReadDeadline(time.Unix(1, 0))
		case <-begun:
		}
	}()
	_, err := a.conn.br.Peek(1)
	close(begun)
	<-stopped
	_ = a.conn.SetReadDeadline(time.Time{})
	switch {
	case err == nil || errors.Is(err, os.ErrDeadlineExceeded):
		return nil
	case a.ctx.Err() != nil:
		return context.Cause(a.ctx)
	}
	return unexpectedEOF(err)
}

// ReadTimeout sets the timeout of the next reads, counted from now; zero removes it.
func (a *Answer) ReadTimeout(d time.Duration) {
	var at time.Time
	if d > 0 {
		at = time.Now().Add(d)
	}
	_ = a.conn.SetReadDeadline(at)
}

// Buffered returns the number of bytes that can be read without blocking.
func (a *Answer) Buffered() int {
	return a.conn.br.Buffered()
}

// Buffer reads the body up to a limit, or to what the memory budget allows; whole tells whether that is all of it.
func (a *Answer) Buffer(limit int) (b []byte, whole bool, err error) { return a.hold.Read(a, limit) }

// Grow returns a copy of a buffer with more capacity, or false if it is at the limit or the memory budget has no more.
func (a *Answer) Grow(b []byte, limit int) ([]byte, bool) { return a.hold.Grow(b, limit) }

// Keep returns the memory that the answer has taken, which Close then does not release.
func (a *Answer) Keep() *ferrymemory.Hold {
	h := a.hold
	a.hold = nil
	return h
}

// Close ends the exchange and releases the memory of the answer. It keeps the connection if the body was read to its end, and else closes it so
// that the upstream stops.
func (a *Answer) Close() {
	a.hold.Release()
	stopped := a.stopWatch()
	if !stopped || !a.complete || a.failed || !a.reusable || a.conn.br.Buffered() > 0 {
		_ = a.conn.Close()
		return
	}
	idle := keepAliveTimeout(a.Header, a.client.cfg.IdleTimeout)
	now := a.client.cfg.Clock.Now()
	a.conn.expires = now.Add(idle - min(idleMargin, idle/2))
	_ = a.conn.SetReadDeadline(time.Time{})
	a.client.pool.put(a.conn)
}
