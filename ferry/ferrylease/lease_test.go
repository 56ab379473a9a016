package ferrylease

import (
	"context"
	"errors"
	"runtime"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"gotest.tools/v3/assert"

	"cactusferry.dev/ferry/ferryid"
	"cactusferry.dev/ferry/ferryplatform/ferryplatformtest"
)

func start(t *testing.T, clock *clockwork.FakeClock, store *ferryplatformtest.Fake, id ferryid.Incarnation) *Lease {
	t.Helper()
	l := New(Config{Name: "orders.herd-llm", Self: id, Store: store, Clock: clock})
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan error)
	go func() { done <- l.Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		<-done
	})
	return l
}

// until moves the clock until the condition holds.
func until(clock *clockwork.FakeClock, cond func() bool) time.Duration {
	from := clock.Now()
	for range 200_000 {
		if cond() {
			break
		}
		_ = clock.BlockUntilContext(context.Background(), 1)
		clock.Advance(time.Millisecond)
		runtime.Gosched()
	}
	return clock.Since(from)
}

func holds(l *Lease) func() bool {
	return func() bool {
		_, _, err := l.Check()
		return err == nil
	}
}

func TestReleaseLetsTheNextHolderIn(t *testing.T) {
	clock := clockwork.NewFakeClock()
	store := ferryplatformtest.New(clock)
	a, b := start(t, clock, store, "a"), start(t, clock, store, "b")
	a.Want(true)
	until(clock, holds(a))
	first, _, _ := a.Check()
	b.Want(true)
	a.Want(false)
	until(clock, holds(b))
	second, _, _ := b.Check()
	assert.Assert(t, second > first)
	assert.Assert(t, a.Released())
	_, _, err := a.Check()
	var not *NotHeldError
	assert.Assert(t, errors.As(err, &not))
}

func TestOutageLongerThanTheLeaseEndsIt(t *testing.T) {
	clock := clockwork.NewFakeClock()
	store := ferryplatformtest.New(clock)
	a := start(t, clock, store, "a")
	a.Want(true)
	until(clock, holds(a))
	first, _, _ := a.Check()
	store.SetFaults(ferryplatformtest.Faults{Outage: true})
	until(clock, func() bool { return !holds(a)() })
	more := 2000 // steps in which the lapse is noticed
	until(clock, func() bool { more--; return more < 0 })
	store.SetFaults(ferryplatformtest.Faults{})
	until(clock, holds(a))
	second, _, _ := a.Check()
	assert.Assert(t, second > first)
}

func TestFenceFollowsTheEngines(t *testing.T) {
	clock := clockwork.NewFakeClock()
	a := start(t, clock, ferryplatformtest.New(clock), "a")
	a.Want(true)
	until(clock, holds(a))
	a.AtLeast(40)
	until(clock, func() bool {
		f, _, err := a.Check()
		return err == nil && f >= 40
	})
}

func FuzzRecord(f *testing.F) {
	f.Add(Record{Holder: "a", Fence: 1, TTLMS: 10}.encode())
	f.Add([]byte(`{"Fence":-1}`))
	f.Fuzz(func(t *testing.T, b []byte) {
		if r, err := DecodeRecord(b); err == nil {
			assert.NilError(t, r.Check())
		}
	})
}

func BenchmarkCheck(b *testing.B) {
	l := New(Config{Name: "x", Self: "a"})
	l.held.Store(&tenure{fence: 1, until: time.Now().Add(time.Hour)})
	for b.Loop() {
		_, _, _ = l.Check()
	}
}
