package ferryexchange

import (
	"context"
	"errors"
	"io"
	"net/http"
	"sync/atomic"
	"time"
)

// Answer is an upstream's answer whose body is still to be read by one goroutine.
type Answer struct {
	Status int
	Header http.Header
	// Skipped counts the answers to other requests that came before this one.
	Skipped int

	body   io.ReadCloser
	conn   *conn
	keep   bool
	whole  bool
	broken bool
	ctx    context.Context
	stop   func() bool
	client *Client
}

// counter counts events of all goroutines.
type counter struct{ atomic.Int64 }

// Read reads from the body; io.EOF means that the body is complete, any other error that it is not.
func (a *Answer) Read(p []byte) (int, error) {
	n, err := a.body.Read(p)
	switch {
	case errors.Is(err, io.EOF):
		a.whole = true
	case err != nil:
		a.broken = true
		err = cause(a.ctx, err)
	}
	return n, err
}

// ReadTimeout bounds the time until the next bytes come; zero lifts the bound.
func (a *Answer) ReadTimeout(d time.Duration) {
	var at time.Time
	if d > 0 {
		at = time.Now().Add(d)
	}
	_ = a.conn.SetReadDeadline(at)
}

// Buffered is the number of bytes that can be read without waiting.
func (a *Answer) Buffered() int {
	return a.conn.br.Buffered()
}

// Close ends the exchange: the connection is kept if the body was read to its end, else closed so that the upstream stops.
func (a *Answer) Close() {
	running := a.stop()
	if !running || !a.whole || a.broken || !a.keep || a.conn.br.Buffered() > 0 {
		_ = a.conn.Close()
		return
	}
	idle := idleFor(a.Header, a.client.cfg.IdleTimeout)
	now := a.client.cfg.Clock.Now()
	a.conn.until = now.Add(idle - min(idleMargin, idle/2))
	_ = a.conn.SetReadDeadline(time.Time{})
	a.client.pool.put(a.conn)
}
