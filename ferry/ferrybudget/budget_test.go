package ferrybudget

import (
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

func config(clock clockwork.Clock) Config {
	return Config{Clock: clock, Window: 10 * time.Second, Ratio: 0.2, Allowance: 200}
}

func TestEvenShareWithoutReports(t *testing.T) {
	clock := clockwork.NewFakeClock()
	b := New(config(clock))
	b.SetEntries(10, 0)
	n := 0
	for b.TakeRetry() {
		n++
	}
	assert.Equal(t, n, 19, "95 % of a tenth of 200")
	for range 100 {
		b.Request()
	}
	for b.TakeRetry() {
		n++
	}
	assert.Equal(t, n, 38, "plus 95 % of a fifth of 100 requests")
	clock.Advance(12 * time.Second)
	assert.Assert(t, b.TakeRetry(), "no retry left after the window has passed")
}

// TestEntriesStayWithinSharedBudget has all entries retry as fast as they may while reports arrive with a
// delay.
func TestEntriesStayWithinSharedBudget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		clock := clockwork.NewFakeClock()
		n := rapid.SampledFrom([]int{3, 5, 9, 12, 17, 30, 60}).Draw(t, "entries")
		entries := make([]*Budget, n)
		for i := range entries {
			entries[i] = New(config(clock))
			entries[i].SetEntries(n, 0)
		}
		const step = 100 * time.Millisecond
		var retries []int   // retries of all entries in each step
		var usage [][]Usage // usage of each entry after each step
		lag := rapid.IntRange(1, 3).Draw(t, "lag")
		for at := range rapid.IntRange(20, 160).Draw(t, "steps") {
			reported := make([]Usage, n)
			if at >= lag {
				reported = usage[at-lag]
			}
			for i, b := range entries {
				var reports []Usage
				for j, s := range reported {
					if j != i && s.Repeats > b.UnreportedLimit() {
						reports = append(reports, s)
					}
				}
				b.SetReported(reports)
			}
			now, used := 0, make([]Usage, n)
			for i, b := range entries {
				for range rapid.IntRange(0, 60).Draw(t, "wanted") {
					if b.TakeRetry() {
						now++
					}
				}
				used[i] = b.Own()
			}
			retries, usage = append(retries, now), append(usage, used)
			clock.Advance(step)
		}
		for from := range retries {
			sum := 0
			for _, k := range retries[from:min(from+100, len(retries))] {
				sum += k
			}
			assert.Assert(t, sum <= 200, "%d retries in 10 s by %d entries, limit 200", sum, n)
		}
	})
}

func TestEntryMayUseUnusedShares(t *testing.T) {
	clock := clockwork.NewFakeClock()
	b := New(config(clock))
	b.SetEntries(9, 0)
	n := 0
	for range 20 { // 2 s in which no other entry retries
		b.SetReported(nil)
		for b.TakeRetry() {
			n++
		}
		clock.Advance(100 * time.Millisecond)
	}
	assert.Assert(t, n > 50 && n < 190, "%d retries, an even share is 21", n)
}

func TestNoAllowanceAfterRestart(t *testing.T) {
	clock := clockwork.NewFakeClock()
	cfg := config(clock)
	cfg.Resumed = true
	b := New(cfg)
	b.SetEntries(3, 0)
	for range 20 {
		b.Request()
	}
	n := 0
	for b.TakeRetry() {
		n++
	}
	assert.Equal(t, n, 3, "95 % of a fifth of 20 requests and no allowance")
	clock.Advance(cfg.Window)
	assert.Assert(t, b.Remaining() > 50)
}

func TestUnreportedLimitOfLargeFleets(t *testing.T) {
	clock := clockwork.NewFakeClock()
	b := New(config(clock))
	b.SetEntries(20, 0)
	assert.Equal(t, b.UnreportedLimit(), 3, "three tenths of 200 divided by 20")
	b.SetReported([]Usage{{Repeats: 400}})
	for range 3 {
		assert.Assert(t, b.TakeRetry(), "unreported share not available after others used up the budget")
	}
	assert.Assert(t, !b.TakeRetry())
	b.SetEntries(9, 0)
	assert.Equal(t, b.UnreportedLimit(), 0)
}
