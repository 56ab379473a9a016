package ferrynettest

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

const latency = time.Microsecond

// memory holds the listeners by address.
var memory sync.Map

var listeners atomic.Int64

// pipe is one direction of a connection; its buffer has no bound.
type pipe struct {
	mu       sync.Mutex
	moved    *sync.Cond
	buf      bytes.Buffer
	closed   bool
	deadline time.Time
	timer    *time.Timer
}

func newPipe() *pipe {
	p := &pipe{}
	p.moved = sync.NewCond(&p.mu)
	return p
}

func (p *pipe) Read(b []byte) (int, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for {
		switch {
		case !p.deadline.IsZero() && !time.Now().Before(p.deadline):
			return 0, os.ErrDeadlineExceeded
		case p.buf.Len() > 0:
			return p.buf.Read(b)
		case p.closed:
			return 0, io.EOF
		}
		p.moved.Wait()
	}
}

func (p *pipe) Write(b []byte) (int, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return 0, syscall.EPIPE
	}
	p.moved.Broadcast()
	return p.buf.Write(b)
}

func (p *pipe) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	p.moved.Broadcast()
}

func (p *pipe) setDeadline(t time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.timer != nil {
		p.timer.Stop()
	}
	p.deadline = t
	if d := time.Until(t); !t.IsZero() && d > 0 {
		p.timer = time.AfterFunc(d, p.moved.Broadcast)
	}
	p.moved.Broadcast()
}

type address string

func (address) Network() string  { return "memory" }
func (a address) String() string { return string(a) }

type memoryConn struct {
	in, out    *pipe
	near, peer address
}

func (c *memoryConn) Write(b []byte) (int, error)       { return c.out.Write(b) }
func (c *memoryConn) LocalAddr() net.Addr               { return c.near }
func (c *memoryConn) RemoteAddr() net.Addr              { return c.peer }
func (c *memoryConn) SetReadDeadline(t time.Time) error { c.in.setDeadline(t); return nil }
func (c *memoryConn) SetDeadline(t time.Time) error     { return c.SetReadDeadline(t) }
func (c *memoryConn) SetWriteDeadline(time.Time) error  { return nil }

// Read takes time, so that what follows from a message is later than the message in a bubble too.
// Write takes none, since callers hold locks over it, and a bubble's time stands still while one waits for a lock.
func (c *memoryConn) Read(b []byte) (int, error) {
	n, err := c.in.Read(b)
	time.Sleep(latency)
	return n, err
}

func (c *memoryConn) Close() error {
	c.out.close()
	c.in.close()
	return nil
}

type memoryListener struct {
	at    address
	conns chan net.Conn
	ended chan struct{}
	end   sync.Once
}

// Listen returns a listener with an address of its own.
func Listen() net.Listener {
	l := &memoryListener{at: address(fmt.Sprintf("memory-%d:80", listeners.Add(1))), conns: make(chan net.Conn), ended: make(chan struct{})}
	memory.Store(l.at.String(), l)
	return l
}

func (l *memoryListener) Addr() net.Addr { return l.at }

func (l *memoryListener) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.ended:
		return nil, net.ErrClosed
	}
}

func (l *memoryListener) Close() error {
	l.end.Do(func() {
		memory.Delete(l.at.String())
		close(l.ended)
	})
	return nil
}

// Dial connects to a listener of this process; it fails at once where there is none.
func Dial(ctx context.Context, _, to string) (net.Conn, error) {
	refused := &net.OpError{Op: "dial", Net: "memory", Addr: address(to), Err: syscall.ECONNREFUSED}
	at, ok := memory.Load(to)
	if !ok {
		return nil, refused
	}
	l := at.(*memoryListener)
	a, b := newPipe(), newPipe()
	select {
	case l.conns <- &memoryConn{in: a, out: b, near: l.at, peer: "dialler"}:
		return &memoryConn{in: b, out: a, near: "dialler", peer: l.at}, nil
	case <-l.ended:
		return nil, refused
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// Client returns an HTTP client of this network that keeps no connection.
func Client() *http.Client {
	return &http.Client{Transport: &http.Transport{DialContext: Dial, DisableKeepAlives: true}}
}

// Serve starts a server of this network; its address is that of its Listener.
func Serve(h http.Handler) *httptest.Server {
	s := &httptest.Server{Listener: Listen(), Config: &http.Server{Handler: h}}
	s.Start()
	return s
}
