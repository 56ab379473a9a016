package ferrylimit

import (
	"fmt"
	"math/rand/v2"
	"runtime"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"cactusferry.dev/ferry/ferryid"
)

const entries = 9

var (
	testKey = Key{"herd-llm", "dobrich"}
	t0      = time.Unix(1_800_000_000, 0)
)

// admittedPerSecond offers load that moves to other entries every second and returns what was admitted
// in each second.
func admittedPerSecond(seconds int, limit, offered float64, silent func(second int) bool) []int {
	r := rand.New(rand.NewPCG(1, 2))
	rate := func(Key) Units { return Units(limit) }
	c := NewCounter(rate)
	var ss []*Shares
	for range entries {
		ss = append(ss, NewShares(rate))
	}
	out := make([]int, seconds)
	now := t0
	var weight [entries]float64
	carry := 0.0
	for ms := range seconds * 1000 {
		if ms%1000 == 0 {
			weight = [entries]float64{}
			for range 1 + r.IntN(3) {
				weight[r.IntN(entries)] = 1
			}
		}
		now = now.Add(time.Millisecond)
		for carry += offered / 1000; carry >= 1; carry-- {
			if ok, _ := ss[pick(r, weight)].Allow(testKey, 1, now); ok {
				out[ms/1000]++
			}
		}
		if ms%int(AskInterval/time.Millisecond) == 0 {
			exchangeAll(ss, c, now, silent(ms/1000))
		}
	}
	return out
}

func pick(r *rand.Rand, weight [entries]float64) int {
	for {
		if i := r.IntN(entries); weight[i] > 0 {
			return i
		}
	}
}

func exchangeAll(ss []*Shares, c *Counter, now time.Time, silent bool) {
	for _, s := range ss {
		asks := s.Asks(now)
		if silent {
			s.AddEvenShares(entries, now)
			continue
		}
		for _, g := range c.Answer(asks, now) {
			s.Granted(g)
		}
	}
}

func TestLimitHoldsWhileLoadMoves(t *testing.T) {
	never := func(int) bool { return false }
	for _, tc := range []struct {
		limit, offered, want float64
	}{
		{100, 300, 100},
		{1000, 3000, 1000},
		{20, 60, 20},
		{100, 80, 80},
		{1000, 900, 900},
	} {
		t.Run(fmt.Sprintf("limit %v offered %v", tc.limit, tc.offered), func(t *testing.T) {
			admitted := admittedPerSecond(60, tc.limit, tc.offered, never)
			sum := 0
			for i, n := range admitted {
				sum += n
				if i%10 == 9 {
					ratio := float64(sum) / (10 * tc.want)
					assert.Check(t, ratio > 0.95 && ratio < 1.05, "10 s to second %d: admitted %.3f of the limit or offer", i+1, ratio)
					sum = 0
				}
			}
		})
	}
}

func TestUnansweredEntriesTakeEvenShares(t *testing.T) {
	admitted := admittedPerSecond(20, 900, 3000, func(s int) bool { return s >= 10 })
	for _, n := range admitted[12:] {
		assert.Check(t, n > 50 && n <= 945, "admitted %d in a second", n)
	}
}

func TestCountersAreDistributed(t *testing.T) {
	var live []ferryid.Incarnation
	for i := range entries {
		live = append(live, ferryid.Incarnation(fmt.Sprint("i", i)))
	}
	n := map[ferryid.Incarnation]int{}
	for i := range 900 {
		n[CounterOf(Key{"s", ferryid.CustomerName(fmt.Sprint(i))}, live)]++
	}
	assert.Equal(t, len(n), entries)
}

// BenchmarkMemory reports the heap bytes per customer for 4,500 active customers.
func BenchmarkMemory(b *testing.B) {
	rate := func(Key) Units { return 10 }
	for b.Loop() {
		var before, after runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&before)
		s, c := NewShares(rate), NewCounter(rate)
		for i := range 4500 {
			s.Allow(Key{"s", ferryid.CustomerName(fmt.Sprint("c", i))}, 1, t0)
		}
		for _, g := range c.Answer(s.Asks(t0.Add(AskInterval)), t0) {
			s.Granted(g)
		}
		runtime.GC()
		runtime.ReadMemStats(&after)
		b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/4500, "B/customer")
		runtime.KeepAlive(s)
		runtime.KeepAlive(c)
	}
}

func BenchmarkAllow(b *testing.B) {
	s := NewShares(func(Key) Units { return 1000 })
	for b.Loop() {
		s.Allow(testKey, 1, t0)
	}
}
