package ferryplatform

import (
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"
	"golang.org/x/time/rate"
)

const (
	defaultCallsPerSecond = 20
	defaultCallBurst      = 40
)

// Budget is one process's share of the platform's rate, in calls; the zero value stands for the defaults of 20 a second and a burst of 40.
type Budget struct {
	// PerSecond is the number of calls a second that the process may make over time.
	PerSecond float64 `toml:"PerSecond" json:"PerSecond"`
	// Burst is the number of calls that it may make at once after a pause.
	Burst int `toml:"Burst" json:"Burst"`
}

func (b *Budget) setDefaults() {
	if b.PerSecond <= 0 {
		b.PerSecond = defaultCallsPerSecond
	}
	if b.Burst <= 0 {
		b.Burst = defaultCallBurst
	}
}

// bucket is the token bucket over all calls of one process.
type bucket struct {
	clock   clockwork.Clock
	limiter *rate.Limiter
	refused atomic.Int64
}

func newBucket(clock clockwork.Clock, b Budget) *bucket {
	b.setDefaults()
	return &bucket{clock: clock, limiter: rate.NewLimiter(rate.Limit(b.PerSecond), b.Burst)}
}

func (b *bucket) set(to Budget) {
	to.setDefaults()
	now := b.clock.Now()
	b.limiter.SetLimitAt(now, rate.Limit(to.PerSecond))
	b.limiter.SetBurstAt(now, to.Burst)
}

// take uses one call of the budget, or returns a *BudgetError that says when there is one again.
func (b *bucket) take(op string) error {
	now := b.clock.Now()
	r := b.limiter.ReserveN(now, 1)
	wait := r.DelayFrom(now)
	if wait <= 0 {
		return nil
	}
	r.CancelAt(now)
	b.refused.Add(1)
	return &BudgetError{Op: op, RetryAfter: max(wait, time.Millisecond)}
}
