package ferrylease

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"cactusferry.dev/ferry/ferryid"
)

const (
	pausedAt   = 8 * time.Second // of the first holder
	wantedAt   = pausedAt + 9*time.Second
	stepLength = 100 * time.Millisecond
)

// takeover pauses or releases the first holder and lets the second one want the lease later. It
// returns the time from the first holder's last step until the second one holds the lease, and the
// second one's calls until then.
func takeover(t *testing.T, follow, release bool) (time.Duration, int) {
	t.Helper()
	o := &object{}
	a := &holder{c: newCore("a", 10*time.Second, time.Second, nil), rate: 1}
	b := &holder{c: newCore("b", 10*time.Second, time.Second, nil), rate: 1}
	a.c.setWanted(true)
	b.c.follow = follow
	calls := 0
	for now := time.Duration(0); now < time.Minute; now += stepLength {
		if release && now >= pausedAt {
			a.c.setWanted(false)
		}
		if now < pausedAt || release {
			a.step(o, now, 0)
		}
		b.c.setWanted(now >= wantedAt || release && now >= pausedAt)
		if b.pending == nil && b.c.next(b.now(now)) != nil {
			calls++
		}
		b.step(o, now, 0)
		if b.c.valid(b.now(now)) {
			assert.Assert(t, !a.c.valid(a.now(now)))
			return now - pausedAt, calls
		}
	}
	t.Fatal("the second holder did not acquire the lease within a minute")
	return 0, 0
}

func TestFollowerAcquiresAnExpiredLeaseSooner(t *testing.T) {
	alone, _ := takeover(t, false, false)
	followed, calls := takeover(t, true, false)
	assert.Assert(t, alone >= 20*time.Second, "%s without following", alone)
	assert.Assert(t, followed <= 12*time.Second, "%s with following", followed)
	assert.Assert(t, calls <= 10, "%d calls", calls)
}

func TestFollowerAcquiresAReleasedLeaseAtOnce(t *testing.T) {
	took, _ := takeover(t, true, true)
	assert.Assert(t, took <= time.Second, "%s", took)
}

// TestLeaseOfAnEndedProcessIsAvailable checks that a lease is acquired at once if its
// holder's process has ended.
func TestLeaseOfAnEndedProcessIsAvailable(t *testing.T) {
	ended := false
	a := newCore("a", 10*time.Second, time.Second, nil)
	b := newCore("b", 10*time.Second, time.Second, func(id ferryid.Incarnation) bool { return ended && id == "a" })
	a.wanted, b.wanted = true, true
	o := &object{}
	now := time.Unix(100, 0)
	for range 4 {
		if act := a.next(now); act != nil {
			a.handle(now, act, o.do(act, 0))
		}
		if act := b.next(now); act != nil {
			b.handle(now, act, o.do(act, 0))
		}
		now = now.Add(10 * time.Millisecond)
	}
	assert.Assert(t, a.valid(now) && !b.valid(now))
	ended = true
	act := b.next(now)
	b.handle(now, act, o.do(act, 0))
	assert.Assert(t, b.valid(now))
}
