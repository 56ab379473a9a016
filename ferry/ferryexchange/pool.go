package ferryexchange

import (
	"sync"
	"time"
)

// pool keeps idle connections by address and reuses the most recent one first.
type pool struct {
	mu      sync.Mutex
	maxIdle int
	byAddr  map[string][]*conn
	closed  bool
	sweepAt time.Time
}

func newPool(maxIdle int) *pool {
	return &pool{maxIdle: maxIdle, byAddr: map[string][]*conn{}}
}

// take removes and returns an idle connection that is still open, or returns nil.
func (p *pool) take(address string, now time.Time) *conn {
	for {
		c := p.pop(address)
		if c == nil {
			return nil
		}
		if now.Before(c.expires) && c.usable() {
			return c
		}
		_ = c.Close()
	}
}

func (p *pool) pop(address string) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	idle := p.byAddr[address]
	if len(idle) == 0 {
		return nil
	}
	c := idle[len(idle)-1]
	p.byAddr[address] = idle[:len(idle)-1]
	return c
}

// put adds an idle connection, or closes it if the pool is full or closed.
func (p *pool) put(c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed || len(p.byAddr[c.address]) >= p.maxIdle {
		_ = c.Close()
		return
	}
	p.byAddr[c.address] = append(p.byAddr[c.address], c)
}

// sweep closes expired connections.
func (p *pool) sweep(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for address, idle := range p.byAddr {
		kept := idle[:0]
		for _, c := range idle {
			if now.Before(c.expires) {
				kept = append(kept, c)
				continue
			}
			_ = c.Close()
		}
		p.byAddr[address] = kept
		if len(kept) == 0 {
			delete(p.byAddr, address)
		}
	}
}

// drop closes the idle connections to an address.
func (p *pool) drop(address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.byAddr[address] {
		_ = c.Close()
	}
	delete(p.byAddr, address)
}

func (p *pool) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	for _, idle := range p.byAddr {
		for _, c := range idle {
			_ = c.Close()
		}
	}
	clear(p.byAddr)
}
