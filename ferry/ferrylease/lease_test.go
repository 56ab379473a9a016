package ferrylease

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/jonboulle/clockwork"
	"gotest.tools/v3/assert"

	"cactusferry.dev/ferry/ferryid"
	"cactusferry.dev/ferry/ferryplatform/ferryplatformtest"
)

// clock reads the time of the synctest bubble.
var clock = clockwork.NewRealClock()

func start(t *testing.T, store *ferryplatformtest.Fake, id ferryid.Incarnation) *Lease {
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

// until advances the bubble's time until the condition is true.
func until(t *testing.T, cond func() bool) {
	t.Helper()
	for range 200_000 {
		synctest.Wait()
		if cond() {
			return
		}
		time.Sleep(time.Millisecond)
	}
	t.Fatal("condition not true within 200 s")
}

func holds(l *Lease) func() bool {
	return func() bool {
		_, _, err := l.Check()
		return err == nil
	}
}

func TestReleasedLeaseIsAcquiredByTheNextHolder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := ferryplatformtest.New(clock)
		a, b := start(t, store, "a"), start(t, store, "b")
		a.Want(true)
		until(t, holds(a))
		first, _, _ := a.Check()
		b.Want(true)
		a.Want(false)
		until(t, holds(b))
		second, _, _ := b.Check()
		assert.Assert(t, second > first)
		assert.Assert(t, a.Released())
		_, _, err := a.Check()
		var not *NotHeldError
		assert.Assert(t, errors.As(err, &not))
	})
}

func TestLeaseExpiresInALongOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := ferryplatformtest.New(clock)
		a := start(t, store, "a")
		a.Want(true)
		until(t, holds(a))
		first, _, _ := a.Check()
		store.SetFaults(ferryplatformtest.Faults{Outage: true})
		until(t, func() bool { return !holds(a)() })
		time.Sleep(2 * time.Second) // the holder notices the expiry within this time
		store.SetFaults(ferryplatformtest.Faults{})
		until(t, holds(a))
		second, _, _ := a.Check()
		assert.Assert(t, second > first)
	})
}

func TestAtLeastRaisesTheFencingNumber(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a := start(t, ferryplatformtest.New(clock), "a")
		a.Want(true)
		until(t, holds(a))
		a.AtLeast(40)
		until(t, func() bool {
			f, _, err := a.Check()
			return err == nil && f >= 40
		})
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
