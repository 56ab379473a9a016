package ferrylimit

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// exchangeAsks sends an entry's asks to the counter, applies its grants and returns the asks.
func exchangeAsks(s *Shares, c *Counter, now time.Time) []Ask {
	asks := s.Asks(now)
	for _, g := range c.Answer(asks, now) {
		s.Granted(g)
	}
	return asks
}

func newSharesAndCounter(limit Units) (*Shares, *Counter) {
	rate := func(Key) Units { return limit }
	return NewShares(rate), NewCounter(rate)
}

func TestIdleEntryReturnsAllowance(t *testing.T) {
	s, c := newSharesAndCounter(100)
	now := t0
	for range 40 {
		s.Allow(testKey, 1, now)
		now = now.Add(AskInterval / 2)
		exchangeAsks(s, c, now)
	}
	held := s.shares[testKey].balance
	assert.Assert(t, held > 0, "balance %v", held)
	left := c.buckets[testKey].tokens
	back := Units(0)
	for range 4 {
		now = now.Add(AskInterval)
		for _, a := range exchangeAsks(s, c, now) {
			back -= min(0, a.Want)
		}
	}
	assert.Equal(t, back, held)
	assert.Assert(t, c.buckets[testKey].tokens >= min(10, left+back))
	assert.Assert(t, s.Idle())
}

func TestSingleCallCausesOneAsk(t *testing.T) {
	for _, tc := range []struct {
		limit Units
		every time.Duration
		asks  float64 // per call
	}{
		{10, time.Second, 1},
		{10, 300 * time.Millisecond, 1},
		{1000, 300 * time.Millisecond, 0.6},
		{1000, 5 * time.Second, 1},
	} {
		t.Run(fmt.Sprint(tc.limit, " each ", tc.every), func(t *testing.T) {
			s, c := newSharesAndCounter(tc.limit)
			calls, asks := 0, 0
			next := t0
			for now := t0; now.Before(t0.Add(time.Minute)); now = now.Add(AskInterval) {
				if !now.Before(next) {
					ok, _ := s.Allow(testKey, 1, now)
					assert.Assert(t, ok)
					next = now.Add(tc.every)
					calls++
				}
				asks += len(exchangeAsks(s, c, now.Add(AskInterval/2)))
			}
			assert.Assert(t, float64(asks) <= tc.asks*float64(calls)+3, "%d asks for %d calls", asks, calls)
		})
	}
}

func TestLimitHoldsForSparseCalls(t *testing.T) {
	never := func(int) bool { return false }
	for _, tc := range []struct{ limit, offered float64 }{{20, 16}, {40, 12}, {100, 12}, {1000, 20}, {50, 47.5}, {300, 285}} {
		t.Run(fmt.Sprintf("limit %v offered %v", tc.limit, tc.offered), func(t *testing.T) {
			sum := 0
			for _, n := range admittedPerSecond(60, tc.limit, tc.offered, never) {
				sum += n
			}
			ratio := float64(sum) / (60 * tc.offered)
			assert.Assert(t, ratio > 0.95 && ratio < 1.05, "admitted %.3f of the offered load", ratio)
		})
	}
}

func TestIdleCustomersArePurged(t *testing.T) {
	s, c := newSharesAndCounter(10)
	s.Allow(testKey, 1, t0)
	s.PurgeIdle(t0.Add(idleRetention))
	assert.Equal(t, len(s.shares), 1, "a share with an overdraft was deleted")
	exchangeAsks(s, c, t0.Add(AskInterval))
	now := t0.Add(time.Second)
	exchangeAsks(s, c, now)
	exchangeAsks(s, c, now.Add(AskInterval))
	assert.Assert(t, s.Idle())
	s.PurgeIdle(now)
	assert.Equal(t, len(s.shares), 1)
	s.PurgeIdle(t0.Add(idleRetention))
	assert.Equal(t, len(s.shares), 0)
}

func TestRemovedLimitClearsOverdraft(t *testing.T) {
	limit := Units(10)
	s := NewShares(func(Key) Units { return limit })
	s.Allow(testKey, 1, t0)
	limit = 0
	assert.Equal(t, len(s.Asks(t0.Add(AskInterval))), 0)
	assert.Assert(t, s.Idle())
}
