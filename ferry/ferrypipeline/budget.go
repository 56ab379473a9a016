package ferrypipeline

import (
	"fmt"
	"sync"
)

// BudgetError reports that the retry budget is exhausted.
type BudgetError struct {
	Share float64
}

func (e *BudgetError) Error() string {
	return fmt.Sprintf("retries are more than %v of first tries", e.Share)
}

// RetryBudget limits retries to a share of first tries plus a burst; the jobs of a service share one budget.
type RetryBudget struct {
	mu    sync.Mutex
	share float64
	burst float64
	left  float64
}

// NewRetryBudget returns a budget that starts with the full burst available.
func NewRetryBudget(share float64, burst int) *RetryBudget {
	return &RetryBudget{share: share, burst: float64(burst), left: float64(burst)}
}

// SetBurst changes the burst; an increase is available at once.
func (b *RetryBudget) SetBurst(n int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.left += max(0, float64(n)-b.burst)
	b.burst = float64(n)
	b.left = min(b.left, b.burst)
}

// AddFirstTry adds the share of one first try to the budget.
func (b *RetryBudget) AddFirstTry() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.left = min(b.burst, b.left+b.share)
}

// TakeRetry takes one retry from the budget, or returns a *BudgetError if it is exhausted.
func (b *RetryBudget) TakeRetry() error {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.left < 1 {
		return &BudgetError{Share: b.share}
	}
	b.left--
	return nil
}
