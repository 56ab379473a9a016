package ferryforward

import (
	"fmt"
	"math"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"cactusferry.dev/ferry/ferryid"
)

func TestStreamThatMayOutlastTheTimeLeftIsNotPredictedToEnd(t *testing.T) {
	const second = time.Second
	repeat := func(n int, took time.Duration) []time.Duration {
		out := make([]time.Duration, n)
		for i := range out {
			out[i] = took
		}
		return out
	}
	for _, tt := range []struct {
		name string
		// took are the times of streams of 10 expected tokens, oldest first.
		took     []time.Duration
		left     time.Duration
		expected ferryid.Tokens
		ends     bool
	}{
		{"nothing known", nil, time.Hour, 10, false},
		{"one stream too few known", repeat(7, second), time.Hour, 10, false},
		{"enough known", repeat(8, second), time.Hour, 10, true},
		{"just in time", repeat(64, second), second, 10, true},
		{"just too late", repeat(64, second), second - 10*time.Nanosecond, 10, false},
		{"twice as long, in time", repeat(64, second), 2 * second, 20, true},
		{"twice as long, too late", repeat(64, second), 1999 * time.Millisecond, 20, false},
		{"one of 8 too slow", append(repeat(7, second), 3*second), 2 * second, 10, false},
		{"3 of 64 too slow", append(repeat(61, second), repeat(3, 3*second)...), 2 * second, 10, true},
		{"4 of 64 too slow", append(repeat(60, second), repeat(4, 3*second)...), 2 * second, 10, false},
		{"the slow ones are long ago", append(repeat(64, 3*second), repeat(61, second)...), 2 * second, 10, true},
		{"the fast ones are long ago", append(repeat(64, second), repeat(4, 3*second)...), 2 * second, 10, false},
		{"nothing expected", repeat(64, second), time.Hour, 0, false},
		{"expected without bound", repeat(64, second), time.Hour, math.MaxInt64, false},
		{"no time left", repeat(64, second), 0, 10, false},
		{"time over", repeat(64, 0), -second, 10, false},
	} {
		t.Run(tt.name, func(t *testing.T) {
			var s streamTimes
			for _, took := range tt.took {
				s.record(took, 10)
			}
			s.record(time.Hour, 0)
			assert.Equal(t, s.endWithin(tt.left, tt.expected), tt.ends)
		})
	}
}

// TestStoppingEntryServesStreamsThatEndInTime plays streams that may run only once, whose callers' estimates are off by a
// factor of 1.6, around a planned stop: callers came back to the same entry and got none of them.
func TestStoppingEntryServesStreamsThatEndInTime(t *testing.T) {
	const (
		acceptFor = 2800 * time.Millisecond
		endAfter  = 7500 * time.Millisecond
		perEvent  = 40 * time.Millisecond
		interval  = 25 * time.Millisecond
	)
	for _, seed := range []uint64{1, 2} {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				random := rand.New(rand.NewPCG(seed, 0))
				names := make([]string, 60)
				for i := range names {
					names[i] = fmt.Sprintf("p%d", i)
				}
				b := newHarness(t, names...)
				for _, up := range b.upstreams {
					up.setHandler(countRuns(up, func(c net.Conn, r *http.Request) bool {
						n, _ := strconv.Atoi(r.Header.Get("Events"))
						return streamEvents(n, perEvent)(c, r)
					}))
				}
				var wg sync.WaitGroup
				var mu sync.Mutex
				var inTime, served, cut, refused int
				began := time.Now().Add(10 * time.Second)
				time.AfterFunc(time.Until(began), func() { b.forwarder.Stop(began.Add(acceptFor), began.Add(endAfter)) })
				for i := 0; time.Since(began) < acceptFor-interval; i++ {
					hint := math.Exp(math.Log(48) + 0.8*random.NormFloat64())
					events := max(1, int(hint*math.Exp(0.48*random.NormFloat64())))
					sent := time.Now()
					b.holder.Prove(1, sent)
					wg.Go(func() {
						id := strconv.Itoa(i)
						a := b.call(http.MethodGet, "/live/x", id, "Key: good", "Wait-Ms: 20000", fmt.Sprintf("Hint: %d", int(hint)+1), fmt.Sprintf("Events: %d", events))
						mu.Lock()
						defer mu.Unlock()
						if sent.Before(began) {
							assert.Check(t, a.status == http.StatusOK, "%d before the stop", a.status)
							return
						}
						if !sent.Add(time.Duration(events) * perEvent).After(began.Add(endAfter)) {
							inTime++
						}
						switch {
						case a.status != http.StatusOK:
							assert.Check(t, a.status == http.StatusServiceUnavailable && a.header.Get("Retry-After") == "0.05" && a.took < 100*time.Millisecond)
							refused++
						case time.Now().After(began.Add(endAfter)):
							cut++
						default:
							served++
						}
					})
					time.Sleep(interval)
				}
				wg.Wait()
				t.Logf("sent in the stop: %d that end in time; served %d, not complete in time %d, refused %d", inTime, served, cut, refused)
				assert.Assert(t, 2*served >= inTime, "%d of %d served", served, inTime)
				assert.Assert(t, 50*cut <= served, "%d not complete in time, %d served", cut, served)
			})
		})
	}
}
