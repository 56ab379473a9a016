package ferryqueue

import (
	"context"
	"errors"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/jonboulle/clockwork"
	"gotest.tools/v3/assert"

	"cactusferry.dev/ferry/ferryid"
	"cactusferry.dev/ferry/ferryoutcome"
	"cactusferry.dev/ferry/ferryservice"
)

func runAdmission(t *testing.T, cfg Config) (*Admission, *clockwork.FakeClock) {
	t.Helper()
	clock := clockwork.NewFakeClockAt(start)
	a := NewAdmission(clock)
	ctx, cancel := context.WithCancel(context.Background())
	go a.Run(ctx, cfg)
	t.Cleanup(func() {
		cancel()
		<-a.ended
	})
	assert.NilError(t, clock.BlockUntilContext(ctx, 1))
	return a, clock
}

func TestAcquireNeverExceedsTheCapacity(t *testing.T) {
	a, _ := runAdmission(t, Config{Classes: twoClasses(), Capacity: 3})
	var wg sync.WaitGroup
	var mu sync.Mutex
	now, most := 0, 0
	for range 60 {
		wg.Go(func() {
			g, err := a.Acquire(context.Background(), Item{ID: ferryid.NewRequestID(), Customer: "a", Predicted: 10})
			if err != nil {
				t.Error(err)
				return
			}
			mu.Lock()
			now++
			most = max(most, now)
			mu.Unlock()
			g.Progress(5)
			mu.Lock()
			now--
			mu.Unlock()
			g.Done(10)
			g.Done(10)
		})
	}
	wg.Wait()
	assert.Assert(t, most <= 3, "%d at once", most)
}

func TestCancelledAcquireLeavesTheQueue(t *testing.T) {
	a, _ := runAdmission(t, Config{Capacity: 1})
	g, err := a.Acquire(context.Background(), Item{ID: "first"})
	assert.NilError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	_, err = a.Acquire(ctx, Item{ID: "second"})
	var p *ferryoutcome.Problem
	assert.Assert(t, errors.As(err, &p))
	assert.Equal(t, p.Kind, ferryoutcome.KindTimeout)
	assert.Equal(t, p.Outcome, ferryoutcome.NotRun)
	g.Done(1)
	third, err := a.Acquire(context.Background(), Item{ID: "third"})
	assert.NilError(t, err)
	third.Done(1)
}

func TestDuplicateCannotCancelTheFirst(t *testing.T) {
	loop := newAdmissionLoop(NewAdmission(clockwork.NewFakeClockAt(start)), Config{Capacity: 1})
	first, second := make(chan acquireResult, 1), make(chan acquireResult, 1)
	loop.handle(acquire{item: Item{ID: "same"}, reply: first})
	loop.startAndRefuse()
	assert.Assert(t, (<-first).problem == nil)
	loop.handle(acquire{item: Item{ID: "same"}, reply: second})
	assert.Equal(t, (<-second).problem.Kind, ferryoutcome.KindConflict)
	loop.handle(cancel{id: "same", reply: second})
	assert.Equal(t, loop.queue.FreeSlots(), 0)
	loop.handle(cancel{id: "same", reply: first})
	assert.Equal(t, loop.queue.FreeSlots(), 1)
}

func TestDocumentKeepsCapacitySetBefore(t *testing.T) {
	loop := newAdmissionLoop(NewAdmission(clockwork.NewFakeClockAt(start)), Config{})
	d := &ferryservice.Document{Upstreams: ferryservice.Upstreams{{Slots: 8}}}
	loop.handle(setDocument{document: d})
	assert.Equal(t, loop.queue.FreeSlots(), 8)
	loop.handle(setCapacity{n: 2})
	loop.handle(setDocument{document: d})
	assert.Equal(t, loop.queue.FreeSlots(), 2)
}

func TestAcquireAfterRunEnded(t *testing.T) {
	a := NewAdmission(clockwork.NewFakeClockAt(start))
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	a.Run(ctx, Config{Capacity: 1})
	_, err := a.Acquire(context.Background(), Item{ID: "x"})
	assert.Equal(t, ferryoutcome.Of(err), ferryoutcome.NotRun)
}

func TestRefusalByPublishedView(t *testing.T) {
	q := New(Config{Classes: twoClasses(), Capacity: 1})
	q.classQueues[0].slotRate = 10
	fill(t, q, "a", 2, 30)
	a := NewAdmission(clockwork.NewFakeClockAt(start))
	a.view.Store(q.view(start, 0))
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	_, err := a.Acquire(ctx, Item{ID: "x", Customer: "a", Class: "short", Predicted: 5})
	var p *ferryoutcome.Problem
	assert.Assert(t, errors.As(err, &p))
	assert.Equal(t, p.Kind, ferryoutcome.KindOverloaded)
	assert.Equal(t, p.Outcome, ferryoutcome.NotRun)
	assert.Assert(t, p.RetryAfter > 0)
	assert.Equal(t, a.Snapshot().RefusedEarly, uint64(1))
	assert.Assert(t, a.refuseByView(&Item{Customer: "b", Class: "short"}) == nil)
	assert.Assert(t, a.refuseByView(&Item{Customer: "a", Class: "short", Resumed: true}) == nil)
}

func TestNoTicksWithoutCalls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a := NewAdmission(clockwork.NewRealClock())
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		go a.Run(ctx, Config{Capacity: 1})
		a.SetCapacity(1)
		time.Sleep(time.Minute)
		assert.Assert(t, time.Since(a.Snapshot().At) > time.Second, "published while nothing changed")

		first, err := a.Acquire(ctx, Item{ID: "1", Customer: "a", Predicted: 10})
		assert.NilError(t, err)
		time.Sleep(time.Second)
		assert.Assert(t, time.Since(a.Snapshot().At) <= tickInterval, "not published while a call runs")
		late, stop := context.WithTimeout(ctx, time.Minute)
		defer stop()
		it := Item{ID: "2", Customer: "a", Predicted: 10, Deadline: time.Now().Add(300 * time.Millisecond)}
		_, err = a.Acquire(late, it)
		assert.Equal(t, ferryoutcome.Of(err), ferryoutcome.NotRun)
		assert.NilError(t, late.Err())
		first.Done(10)
		time.Sleep(time.Minute)
		assert.Equal(t, a.Snapshot().Running, 0)
	})
}
