package ferryforward

import (
	"math/rand/v2"
	"sync"
	"time"
)

const (
	// congestionGap is the time without a refusal after which congestion is considered over.
	congestionGap = 700 * time.Millisecond
	// minRetryAfter is about the time until a slot becomes free, and maxRetryAfter about the time to replace a
	// lost engine.
	minRetryAfter = 150 * time.Millisecond
	maxRetryAfter = 3 * time.Second
	// retryJitter is the largest relative jitter added to Retry-After, so that refused callers do not retry
	// together.
	retryJitter = 0.5
)

// congestion tracks how long a service has been refusing requests for lack of capacity.
type congestion struct {
	mu sync.Mutex
	// since is the first refusal of the present congestion, and last the latest refusal.
	since time.Time
	last  time.Time
}

// recordRefusal records a refusal. The first one after more than congestionGap starts a new congestion.
func (c *congestion) recordRefusal(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if now.Sub(c.last) > congestionGap {
		c.since = now
	}
	c.last = now
}

// retryAfter returns the wait suggested to a refused caller. It grows with the age of the congestion, which is
// expected to last about as long again.
func (c *congestion) retryAfter(now time.Time) time.Duration {
	c.mu.Lock()
	lasted := c.last.Sub(c.since)
	if now.Sub(c.last) > congestionGap {
		lasted = 0
	}
	c.mu.Unlock()
	return withJitter(min(minRetryAfter+lasted, maxRetryAfter))
}

func withJitter(after time.Duration) time.Duration {
	return time.Duration(float64(after) * (1 + retryJitter*rand.Float64())).Round(time.Millisecond)
}
