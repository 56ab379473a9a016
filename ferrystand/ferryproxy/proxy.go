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
	bufferBytes = 32 << 10
	dialTimeout = 5 * time.Second
)

// Config is the configuration of a proxy.
type Config struct {
	// Listen is the address to listen on, a free loopback port if empty.
	Listen string
	// Target is the address that connections are forwarded to.
	Target string
	Clock  clockwork.Clock
	// Named makes the proxy read the first HTTP header of each connection and identify
	// its source by the name after the slash of the User-Agent, for Set.
	Named bool
}

// Proxy forwards TCP connections and injects faults into them.
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

// Address returns the address that the proxy listens on.
func (p *Proxy) Address() string {
	return p.listener.Addr().String()
}

// Close closes the listener and all connections, and waits for their goroutines.
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

// SetAll sets the fault of all connections and removes the faults of single sources.
func (p *Proxy) SetAll(f Fault) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.all = f
	clear(p.sources)
	for c := range p.conns {
		apply(c, f)
	}
}

// Set sets the fault of the connections of one source.
func (p *Proxy) Set(source string, f Fault) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.sources[source] = f
	for c := range p.conns {
		if c.source == source {
			apply(c, f)
		}
	}
}

// Silence makes all open connections permanently silent and returns
// how many were not silent before. New connections are unaffected.
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

// Silenced returns the number of silent connections that at least one end keeps open.
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

// apply applies a fault to an open connection.
func apply(c *connection, f Fault) {
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

// add registers a new connection, or closes it if the proxy is closed.
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

// forward copies both directions until either end closes.
func (p *Proxy) forward(c *connection) {
	defer p.remove(c)
	first, err := p.readSource(c)
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

// readSource reads the first HTTP header if the proxy is Named,
// sets the connection's source, and returns all bytes read.
func (p *Proxy) readSource(c *connection) ([]byte, error) {
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

// connect dials the target and applies the current fault.
// It reports whether the connection is to be forwarded.
func (p *Proxy) connect(c *connection) bool {
	target, err := net.DialTimeout("tcp", p.cfg.Target, dialTimeout)
	if err != nil {
		return false
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	c.target = target
	f := p.fault(c)
	apply(c, f)
	_, cut := f.(Cut)
	return !cut && !p.closed
}

// fault returns the current fault of a connection; p.mu must be held.
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

// copy forwards one direction, and closes the connection when that ends, unless the connection is silent.
func (p *Proxy) copy(c *connection, w io.Writer, r io.Reader) {
	buffer := make([]byte, bufferBytes)
	for {
		n, err := r.Read(buffer)
		switch f := p.current(c).(type) {
		case Silent:
			if err != nil {
				// The other half must stay open until its own end closes
				// it, since a silent connection forwards no close.
				return
			}
			continue
		case Cut:
			c.close()
			return
		case Delay:
			p.delay(f.Time)
		case Pass:
		}
		if _, werr := w.Write(buffer[:n]); werr != nil || err != nil {
			c.close()
			return
		}
	}
}

func (p *Proxy) delay(d time.Duration) {
	select {
	case <-p.cfg.Clock.After(d):
	case <-p.done:
	}
}
