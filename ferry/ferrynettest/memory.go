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

const (
	readLatency = time.Microsecond
	// keptBytes is the size up to which the buffer of a pipe is kept once it is empty.
	keptBytes = 4 << 10
)

// listeners maps addresses to open listeners.
var listeners sync.Map

var listenerCount atomic.Int64

// pipe is one direction of a connection, with an unbounded buffer.
type pipe struct {
	mu       sync.Mutex
	changed  *sync.Cond
	buf      bytes.Buffer
	closed   bool
	deadline time.Time
	timer    *time.Timer
}

func newPipe() *pipe {
	p := &pipe{}
	p.changed = sync.NewCond(&p.mu)
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
			n, err := p.buf.Read(b)
			if p.buf.Len() == 0 && p.buf.Cap() > keptBytes {
				p.buf = bytes.Buffer{}
			}
			return n, err
		case p.closed:
			return 0, io.EOF
		}
		p.changed.Wait()
	}
}

func (p *pipe) Write(b []byte) (int, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return 0, syscall.EPIPE
	}
	p.changed.Broadcast()
	return p.buf.Write(b)
}

func (p *pipe) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	p.changed.Broadcast()
}

func (p *pipe) setDeadline(t time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.timer != nil {
		p.timer.Stop()
	}
	p.deadline = t
	if d := time.Until(t); !t.IsZero() && d > 0 {
		p.timer = time.AfterFunc(d, p.changed.Broadcast)
	}
	p.changed.Broadcast()
}

type address string

func (address) Network() string  { return "memory" }
func (a address) String() string { return string(a) }

type memoryConn struct {
	in, out     *pipe
	local, peer address
	// closed is set once this end is closed; reads then fail, as those of a socket do.
	closed atomic.Bool
}

func (c *memoryConn) LocalAddr() net.Addr               { return c.local }
func (c *memoryConn) RemoteAddr() net.Addr              { return c.peer }
func (c *memoryConn) SetReadDeadline(t time.Time) error { c.in.setDeadline(t); return nil }
func (c *memoryConn) SetDeadline(t time.Time) error     { return c.SetReadDeadline(t) }
func (c *memoryConn) SetWriteDeadline(time.Time) error  { return nil }

// Read takes readLatency, so that in a bubble, too, the effects of a message are later than the message.
// Write takes no time, since callers hold locks during it, and a bubble's clock stops while a goroutine
// waits for a lock.
func (c *memoryConn) Read(b []byte) (int, error) {
	n, err := c.in.Read(b)
	time.Sleep(readLatency)
	if c.closed.Load() {
		return 0, net.ErrClosed
	}
	return n, err
}

func (c *memoryConn) Write(b []byte) (int, error) {
	if c.closed.Load() {
		return 0, net.ErrClosed
	}
	return c.out.Write(b)
}

func (c *memoryConn) Close() error {
	c.closed.Store(true)
	c.out.close()
	c.in.close()
	return nil
}

type memoryListener struct {
	addr      address
	conns     chan net.Conn
	closed    chan struct{}
	closeOnce sync.Once
}

// Listen returns a listener with a new address.
func Listen() net.Listener {
	return ListenAt(fmt.Sprintf("memory-%d:80", listenerCount.Add(1)))
}

// ListenAt returns a listener with the address of one that has been closed.
func ListenAt(addr string) net.Listener {
	l := &memoryListener{addr: address(addr), conns: make(chan net.Conn), closed: make(chan struct{})}
	listeners.Store(addr, l)
	return l
}

func (l *memoryListener) Addr() net.Addr { return l.addr }

func (l *memoryListener) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

func (l *memoryListener) Close() error {
	l.closeOnce.Do(func() {
		listeners.Delete(l.addr.String())
		close(l.closed)
	})
	return nil
}

// Dial connects to a listener of this process; it fails immediately if there is none at the address.
func Dial(ctx context.Context, _, to string) (net.Conn, error) {
	refused := &net.OpError{Op: "dial", Net: "memory", Addr: address(to), Err: syscall.ECONNREFUSED}
	at, ok := listeners.Load(to)
	if !ok {
		return nil, refused
	}
	l := at.(*memoryListener)
	a, b := newPipe(), newPipe()
	select {
	case l.conns <- &memoryConn{in: a, out: b, local: l.addr, peer: "dialler"}:
		return &memoryConn{in: b, out: a, local: "dialler", peer: l.addr}, nil
	case <-l.closed:
		return nil, refused
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// Client returns an HTTP client for this network without keep-alive connections.
func Client() *http.Client {
	return &http.Client{Transport: &http.Transport{DialContext: Dial, DisableKeepAlives: true}}
}

// Serve starts an HTTP server on this network; its address is that of its Listener.
func Serve(h http.Handler) *httptest.Server {
	s := &httptest.Server{Listener: Listen(), Config: &http.Server{Handler: h}}
	s.Start()
	return s
}
