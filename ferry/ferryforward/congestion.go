package ferryforward

import (
	"math/rand/v2"
	"sync"
	"time"
)

const (
	// congestionGap is the time without a refusal that ends a congestion.
	congestionGap = 700 * time.Millisecond
	// leastRetryAfter is about how long one place takes to become free, and mostRetryAfter how long a lost engine takes to be replaced.
	leastRetryAfter = 150 * time.Millisecond
	mostRetryAfter  = 3 * time.Second
	// retrySpread is the part by which the times of refused callers differ, so that they do not come back together.
	retrySpread = 0.5
)

// congestion tells for how long a service has been refusing requests for want of room.
type congestion struct {
	mu    sync.Mutex
	since time.Time
	last  time.Time
}

// refused notes a refusal.
func (c *congestion) refused(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if now.Sub(c.last) > congestionGap {
		c.since = now
	}
	c.last = now
}

// retryAfter is when a refused caller has a good chance: what has lasted for a while will probably last as long again.
func (c *congestion) retryAfter(now time.Time) time.Duration {
	c.mu.Lock()
	lasted := c.last.Sub(c.since)
	if now.Sub(c.last) > congestionGap {
		lasted = 0
	}
	c.mu.Unlock()
	after := min(leastRetryAfter+lasted, mostRetryAfter)
	return time.Duration(float64(after) * (1 + retrySpread*rand.Float64())).Round(time.Millisecond)
}
