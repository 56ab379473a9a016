package ferryroute

import "sync"

// RetryBudget is a retry budget: a token bucket that limits retries to a share of first tries.
type RetryBudget struct {
	mu     sync.Mutex
	share  float64
	burst  float64
	tokens float64
}

// NewRetryBudget returns a full budget; burst is the number of retries allowed before any first try.
func NewRetryBudget(share, burst float64) *RetryBudget {
	return &RetryBudget{share: share, burst: burst, tokens: burst}
}

// AddFirstTry counts a first try.
func (b *RetryBudget) AddFirstTry() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = min(b.burst, b.tokens+b.share)
}

// Retry spends one retry and reports whether it is allowed.
func (b *RetryBudget) Retry() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
