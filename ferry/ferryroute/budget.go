package ferryroute

import "sync"

// Budget is a retry budget: a token bucket that limits retries to a share of first tries.
type Budget struct {
	mu     sync.Mutex
	share  float64
	burst  float64
	tokens float64
}

// NewBudget returns a full budget; burst is the number of retries allowed before any first try.
func NewBudget(share, burst float64) *Budget {
	return &Budget{share: share, burst: burst, tokens: burst}
}

// FirstTry counts a first try.
func (b *Budget) FirstTry() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = min(b.burst, b.tokens+b.share)
}

// Retry spends one retry and reports whether it is allowed.
func (b *Budget) Retry() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
