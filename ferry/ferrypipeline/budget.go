package ferrypipeline

import (
	"fmt"
	"sync"
)

// BudgetError says that retries have used up their share of first tries.
type BudgetError struct {
	Share float64
}

func (e *BudgetError) Error() string {
	return fmt.Sprintf("retries are more than %v of first tries", e.Share)
}

// RetryBudget allows retries as a share of first tries, after a burst; all jobs of a service share one.
type RetryBudget struct {
	mu    sync.Mutex
	share float64
	burst float64
	left  float64
}

// NewRetryBudget returns a budget that starts with the whole burst.
func NewRetryBudget(share float64, burst int) *RetryBudget {
	return &RetryBudget{share: share, burst: float64(burst), left: float64(burst)}
}

// SetBurst changes the burst; what a larger one adds may be used at once.
func (b *RetryBudget) SetBurst(n int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.left += max(0, float64(n)-b.burst)
	b.burst = float64(n)
	b.left = min(b.left, b.burst)
}

// First counts a first try.
func (b *RetryBudget) First() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.left = min(b.burst, b.left+b.share)
}

// Retry takes a retry from the budget or returns a *BudgetError.
func (b *RetryBudget) Retry() error {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.left < 1 {
		return &BudgetError{Share: b.share}
	}
	b.left--
	return nil
}
