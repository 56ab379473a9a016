package ferryexchange

import (
	"sync"
	"time"
)

// pool keeps idle connections by address, the one used last first.
type pool struct {
	mu      sync.Mutex
	most    int
	byAddr  map[string][]*conn
	closed  bool
	sweepAt time.Time
}

func newPool(most int) *pool {
	return &pool{most: most, byAddr: map[string][]*conn{}}
}

// take returns an idle connection that is still open, or nil.
func (p *pool) take(address string, now time.Time) *conn {
	for {
		c := p.pop(address)
		if c == nil {
			return nil
		}
		if now.Before(c.until) && c.alive() {
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

// put keeps a connection for the next request, or closes it if there are enough.
func (p *pool) put(c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed || len(p.byAddr[c.address]) >= p.most {
		_ = c.Close()
		return
	}
	p.byAddr[c.address] = append(p.byAddr[c.address], c)
}

// sweep closes the connections that are no longer to be used.
func (p *pool) sweep(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for address, idle := range p.byAddr {
		kept := idle[:0]
		for _, c := range idle {
			if now.Before(c.until) {
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
