package ferryproxy

import (
	"bufio"
	"bytes"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/jonboulle/clockwork"
)

const (
	pieceBytes  = 32 << 10
	dialTimeout = 5 * time.Second
)

// Config sets up a proxy.
type Config struct {
	// Listen is the address to listen on, a free loopback port if empty.
	Listen string
	// Target is the address that connections are passed on to.
	Target string
	Clock  clockwork.Clock
	// Named reads each connection's first HTTP header, so that Set can tell sources by the name after the slash of their User-Agent.
	Named bool
}

// Proxy forwards connections and can disturb them.
type Proxy struct {
	cfg      Config
	listener net.Listener
	wg       sync.WaitGroup
	mu       sync.Mutex
	all      Fault
	sources  map[string]Fault
	conns    map[*connection]struct{}
	closed   bool
	done     chan struct{}
}

// connection is one forwarded connection.
type connection struct {
	source string
	client net.Conn
	target net.Conn
	silent bool
}

func (c *connection) close() {
	_ = c.client.Close()
	if c.target != nil {
		_ = c.target.Close()
	}
}

// New returns a proxy that accepts connections until Close.
func New(cfg Config) (*Proxy, error) {
	if cfg.Listen == "" {
		cfg.Listen = "127.0.0.1:0"
	}
	if cfg.Clock == nil {
		cfg.Clock = clockwork.NewRealClock()
	}
	l, err := net.Listen("tcp", cfg.Listen)
	if err != nil {
		return nil, merry.Prepend(err, "fault proxy")
	}
	p := &Proxy{cfg: cfg, listener: l, all: Pass{}, sources: map[string]Fault{}, conns: map[*connection]struct{}{}, done: make(chan struct{})}
	p.wg.Go(p.accept)
	return p, nil
}

// Address is what to connect to.
func (p *Proxy) Address() string {
	return p.listener.Addr().String()
}

// Close ends the proxy and its connections.
func (p *Proxy) Close() {
	_ = p.listener.Close()
	p.mu.Lock()
	if !p.closed {
		p.closed = true
		close(p.done)
	}
	for c := range p.conns {
		c.close()
	}
	p.mu.Unlock()
	p.wg.Wait()
}

// SetAll sets what is done with all connections, and forgets what was set for single sources.
func (p *Proxy) SetAll(f Fault) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.all = f
	clear(p.sources)
	for c := range p.conns {
		strike(c, f)
	}
}

// Set sets what is done with the connections of one source.
func (p *Proxy) Set(source string, f Fault) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.sources[source] = f
	for c := range p.conns {
		if c.source == source {
			strike(c, f)
		}
	}
}

// Silence makes the connections open now silent for good, returns how many they are, and lets new ones pass.
func (p *Proxy) Silence() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := 0
	for c := range p.conns {
		if !c.silent {
			c.silent = true
			n++
		}
	}
	return n
}

// Silenced is how many silent connections at least one end still holds open.
func (p *Proxy) Silenced() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := 0
	for c := range p.conns {
		if c.silent {
			n++
		}
	}
	return n
}

// strike applies a fault to an open connection.
func strike(c *connection, f Fault) {
	switch f.(type) {
	case Cut:
		c.close()
	case Silent:
		c.silent = true
	case Pass, Delay:
	}
}

func (p *Proxy) accept() {
	for {
		conn, err := p.listener.Accept()
		if err != nil {
			return
		}
		c := &connection{client: conn}
		if p.add(c) {
			p.wg.Go(func() { p.forward(c) })
		}
	}
}

// add keeps a new connection, or closes it if the proxy is closed.
func (p *Proxy) add(c *connection) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		c.close()
		return false
	}
	p.conns[c] = struct{}{}
	return true
}

func (p *Proxy) remove(c *connection) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.conns, c)
	c.close()
}

// forward passes both directions on until either end closes.
func (p *Proxy) forward(c *connection) {
	defer p.remove(c)
	first, err := p.first(c)
	if err != nil {
		return
	}
	if !p.connect(c) {
		return
	}
	var wg sync.WaitGroup
	wg.Go(func() { p.copy(c, c.target, io.MultiReader(bytes.NewReader(first), c.client)) })
	wg.Go(func() { p.copy(c, c.client, c.target) })
	wg.Wait()
}

// first reads the first header where sources are named, and returns every byte it read.
func (p *Proxy) first(c *connection) ([]byte, error) {
	if !p.cfg.Named {
		return nil, nil
	}
	var read bytes.Buffer
	r, err := http.ReadRequest(bufio.NewReader(io.TeeReader(c.client, &read)))
	if err != nil {
		return nil, err
	}
	_, name, _ := strings.Cut(r.UserAgent(), "/")
	p.mu.Lock()
	defer p.mu.Unlock()
	c.source = name
	return read.Bytes(), nil
}

// connect opens the other half unless the connection is to be cut.
func (p *Proxy) connect(c *connection) bool {
	target, err := net.DialTimeout("tcp", p.cfg.Target, dialTimeout)
	if err != nil {
		return false
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	c.target = target
	f := p.fault(c)
	strike(c, f)
	_, cut := f.(Cut)
	return !cut && !p.closed
}

// fault is what is to be done with a connection; the lock is held.
func (p *Proxy) fault(c *connection) Fault {
	if c.silent {
		return Silent{}
	}
	if f, ok := p.sources[c.source]; ok {
		return f
	}
	return p.all
}

func (p *Proxy) current(c *connection) Fault {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.fault(c)
}

// copy passes one direction on; its end is the end of the connection, unless that is silent.
func (p *Proxy) copy(c *connection, w io.Writer, r io.Reader) {
	piece := make([]byte, pieceBytes)
	for {
		n, err := r.Read(piece)
		switch f := p.current(c).(type) {
		case Silent:
			if err != nil {
				// The other end must not learn that this one is gone, so its half stays open until it closes too.
				return
			}
			continue
		case Cut:
			c.close()
			return
		case Delay:
			p.wait(f.Time)
		case Pass:
		}
		if _, werr := w.Write(piece[:n]); werr != nil || err != nil {
			c.close()
			return
		}
	}
}

func (p *Proxy) wait(d time.Duration) {
	select {
	case <-p.cfg.Clock.After(d):
	case <-p.done:
	}
}
