package ferrylease

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"cactusferry.dev/ferry/ferryid"
)

const (
	lastStep   = 8 * time.Second // of the first holder
	noticed    = lastStep + 9*time.Second
	stepLength = 100 * time.Millisecond
)

// takeover freezes a holder, has the next one want the lease later, and returns how long after the freeze it holds it, and its calls until then.
func takeover(t *testing.T, follow, release bool) (time.Duration, int) {
	t.Helper()
	o := &object{}
	a := &holder{c: newCore("a", 10*time.Second, time.Second, nil), rate: 1}
	b := &holder{c: newCore("b", 10*time.Second, time.Second, nil), rate: 1}
	a.c.want(true)
	b.c.follow = follow
	calls := 0
	for now := time.Duration(0); now < time.Minute; now += stepLength {
		if release && now >= lastStep {
			a.c.want(false)
		}
		if now < lastStep || release {
			a.step(o, now, 0)
		}
		b.c.want(now >= noticed || release && now >= lastStep)
		if b.under == nil && b.c.next(b.now(now)) != nil {
			calls++
		}
		b.step(o, now, 0)
		if b.c.valid(b.now(now)) {
			assert.Assert(t, !a.c.valid(a.now(now)))
			return now - lastStep, calls
		}
	}
	t.Fatal("the next holder never holds the lease")
	return 0, 0
}

func TestFollowerNeedNotWaitFromItsFirstSight(t *testing.T) {
	alone, _ := takeover(t, false, false)
	followed, calls := takeover(t, true, false)
	assert.Assert(t, alone >= 20*time.Second, "%s without following", alone)
	assert.Assert(t, followed <= 12*time.Second, "%s with following", followed)
	assert.Assert(t, calls <= 10, "%d calls", calls)
}

func TestFollowerTakesAReleasedLeaseAtOnce(t *testing.T) {
	took, _ := takeover(t, true, true)
	assert.Assert(t, took <= time.Second, "%s", took)
}

// A lease whose holder's process has certainly ended is not waited out.
func TestALeaseOfAnEndedProcessIsFree(t *testing.T) {
	ended := false
	a := newCore("a", 10*time.Second, time.Second, nil)
	b := newCore("b", 10*time.Second, time.Second, func(id ferryid.Incarnation) bool { return ended && id == "a" })
	a.wanted, b.wanted = true, true
	o := &object{}
	now := time.Unix(100, 0)
	for range 4 {
		if act := a.next(now); act != nil {
			a.done(now, act, o.do(act, 0))
		}
		if act := b.next(now); act != nil {
			b.done(now, act, o.do(act, 0))
		}
		now = now.Add(10 * time.Millisecond)
	}
	assert.Assert(t, a.valid(now) && !b.valid(now))
	ended = true
	act := b.next(now)
	b.done(now, act, o.do(act, 0))
	assert.Assert(t, b.valid(now))
}
