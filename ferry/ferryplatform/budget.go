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

// Budget limits the calls of one process to the platform. Fields that are 0 default to 20 calls
// per second and a burst of 40.
type Budget struct {
	// PerSecond is the sustained rate in calls per second.
	PerSecond float64 `toml:"PerSecond" json:"PerSecond"`
	// Burst is the maximum number of calls at once.
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

// tokenBucket is the token bucket for all calls of a client.
type tokenBucket struct {
	clock   clockwork.Clock
	limiter *rate.Limiter
	refused atomic.Int64
}

func newTokenBucket(clock clockwork.Clock, b Budget) *tokenBucket {
	b.setDefaults()
	return &tokenBucket{clock: clock, limiter: rate.NewLimiter(rate.Limit(b.PerSecond), b.Burst)}
}

func (b *tokenBucket) set(to Budget) {
	to.setDefaults()
	now := b.clock.Now()
	b.limiter.SetLimitAt(now, rate.Limit(to.PerSecond))
	b.limiter.SetBurstAt(now, to.Burst)
}

// take takes one call from the budget, or returns a *BudgetError with the time until the next
// one is available.
func (b *tokenBucket) take(op string) error {
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
