package ferryqueue

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"

	"cactusferry.dev/ferry/ferryid"
)

const benchWaiting = 100_000

func benchQueue(b *testing.B) (*Queue, []Item) {
	b.Helper()
	q := New(Config{Classes: twoClasses(), Capacity: 320, Length: 2 * benchWaiting})
	items := make([]Item, 2*benchWaiting)
	for i := range items {
		items[i] = Item{
			ID:        ferryid.NewRequestID(),
			Customer:  ferryid.CustomerName(fmt.Sprintf("customer-%d", i%10)),
			Predicted: ferryid.Tokens(1 + i%300),
			Arrived:   start,
			Deadline:  start.Add(time.Hour),
		}
	}
	for _, it := range items[:benchWaiting] {
		if r := q.Enqueue(it, start); r != nil {
			b.Fatal(r)
		}
	}
	return q, items
}

// BenchmarkEnqueue measures Enqueue with 100,000 items waiting.
func BenchmarkEnqueue(b *testing.B) {
	const batch = 1000
	q, items := benchQueue(b)
	b.ReportAllocs()
	for i := range b.N {
		n := i % batch
		if n == 0 {
			b.StopTimer()
			for _, it := range items[benchWaiting : benchWaiting+batch] {
				q.Cancel(it.ID)
			}
			b.StartTimer()
		}
		q.Enqueue(items[benchWaiting+n], start)
	}
}

// BenchmarkNext measures Next, Done and Enqueue with 100,000 items waiting.
func BenchmarkNext(b *testing.B) {
	q, items := benchQueue(b)
	b.ReportAllocs()
	now := start
	for b.Loop() {
		now = now.Add(time.Millisecond)
		it, ok := q.Next(now, q.FreeSlots())
		if !ok {
			b.Fatal("no item started")
		}
		q.Done(it.ID, it.Predicted, now)
		it.Arrived = now
		it.Deadline = now.Add(time.Hour)
		q.cfg.MaxWait = time.Hour
		if r := q.Enqueue(it, now); r != nil && r.Kind == "Conflict" {
			b.Fatal(r)
		}
	}
	_ = items
}

// BenchmarkRefuse measures the refusal of an item of a customer with a long backlog.
func BenchmarkRefuse(b *testing.B) {
	q, items := benchQueue(b)
	q.classQueues[0].slotRate, q.classQueues[1].slotRate = 40, 40
	b.ReportAllocs()
	for b.Loop() {
		if q.Enqueue(items[benchWaiting], start) == nil {
			b.Fatal("admitted")
		}
	}
}

// BenchmarkAcquire measures Acquire and Done through the loop's goroutine, from one caller.
func BenchmarkAcquire(b *testing.B) {
	a := NewAdmission(clockwork.NewRealClock())
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go a.Run(ctx, Config{Classes: twoClasses(), Capacity: 8})
	b.ReportAllocs()
	for b.Loop() {
		g, err := a.Acquire(ctx, Item{ID: "x", Customer: "a", Class: "short", Predicted: 10})
		if err != nil {
			b.Fatal(err)
		}
		g.Done(10)
	}
}

// BenchmarkRefuseByView measures a refusal by the published view, without the loop.
func BenchmarkRefuseByView(b *testing.B) {
	q := New(Config{Classes: twoClasses(), Capacity: 1})
	q.classQueues[0].slotRate = 10
	for _, id := range []ferryid.RequestID{"1", "2", "3"} {
		q.Enqueue(Item{ID: id, Customer: "a", Predicted: 50, Arrived: start}, start)
	}
	clock := clockwork.NewFakeClockAt(start)
	a := NewAdmission(clock)
	a.view.Store(q.view(start, 0))
	b.ReportAllocs()
	for b.Loop() {
		if _, err := a.Acquire(context.Background(), Item{ID: "x", Customer: "a", Class: "short", Predicted: 5}); err == nil {
			b.Fatal("admitted")
		}
	}
}
