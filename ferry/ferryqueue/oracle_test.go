package ferryqueue

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"cactusferry.dev/ferry/ferryid"
	"cactusferry.dev/ferry/ferryrapid"
	"cactusferry.dev/ferry/ferryservice"
)

// TestMain fixes the seed unless -rapid.seed is given.
func TestMain(m *testing.M) {
	ferryrapid.Main(m, ferryrapid.Settings{Seed: 20261204, Checks: 300})
}

// oracle is a reference model that only tracks which items wait and run.
type oracle struct {
	waiting map[ferryid.RequestID]Item
	running map[ferryid.RequestID]Item
}

// TestQueueAgainstOracle checks that no item is lost, starved, run twice or started beyond the capacity.
func TestQueueAgainstOracle(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		policy := rapid.SampledFrom([]ferryservice.QueuePolicy{ferryservice.QueueFair, ferryservice.QueueFifo}).Draw(t, "policy")
		excess := rapid.SampledFrom([]float64{1, 0.1, 0.4}).Draw(t, "excess")
		shares := map[ferryid.CustomerName]float64{"a": 1, "b": 2}
		q := New(Config{Policy: policy, Classes: twoClasses(), Capacity: 3, Length: 12, ExcessShare: excess, Shares: shares})
		o := oracle{waiting: map[ferryid.RequestID]Item{}, running: map[ferryid.RequestID]Item{}}
		now, n := start, 0
		for range rapid.IntRange(1, 120).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 700).Draw(t, "ms")) * time.Millisecond)
			switch rapid.IntRange(0, 7).Draw(t, "op") {
			case 0, 1, 2:
				n++
				o.enqueue(t, q, n, now)
			case 3:
				o.next(t, q, now)
			case 4:
				if id, ok := pickID(t, o.running); ok {
					q.Done(id, ferryid.Tokens(rapid.IntRange(0, 400).Draw(t, "tokens")), now)
					delete(o.running, id)
				}
			case 5:
				if id, ok := pickID(t, o.waiting); ok {
					q.Cancel(id)
					delete(o.waiting, id)
				}
			case 6:
				if id, ok := pickID(t, o.running); ok {
					q.Progress(id, ferryid.Tokens(rapid.IntRange(0, 400).Draw(t, "tokens")), now)
				}
			case 7:
				if id, ok := q.Preempt(now); ok {
					q.Requeue(id, now)
					o.waiting[id] = o.running[id]
					delete(o.running, id)
				}
				q.Expire(now)
			}
			o.check(t, q)
		}
		for range 200 {
			now = now.Add(time.Second)
			o.next(t, q, now)
			for id := range o.running {
				q.Done(id, 1, now)
				delete(o.running, id)
			}
			o.check(t, q)
		}
		if len(o.waiting) > 0 {
			t.Fatalf("items never started: %v", o.waiting)
		}
	})
}

func (o *oracle) enqueue(t *rapid.T, q *Queue, n int, now time.Time) {
	it := Item{
		ID:        ferryid.RequestID(fmt.Sprint(n)),
		Customer:  ferryid.CustomerName(rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "customer")),
		Predicted: ferryid.Tokens(rapid.IntRange(1, 300).Draw(t, "predicted")),
		Arrived:   now,
	}
	if rapid.Bool().Draw(t, "deadline") {
		it.Deadline = now.Add(time.Duration(rapid.IntRange(0, 5000).Draw(t, "in")) * time.Millisecond)
	}
	if q.Enqueue(it, now) == nil {
		o.waiting[it.ID] = it
	}
}

func (o *oracle) next(t *rapid.T, q *Queue, now time.Time) {
	it, ok := q.Next(now, q.FreeSlots())
	if !ok {
		return
	}
	if _, known := o.waiting[it.ID]; !known {
		t.Fatalf("started %s, which was not waiting", it.ID)
	}
	o.running[it.ID] = it
	delete(o.waiting, it.ID)
}

func (o *oracle) check(t *rapid.T, q *Queue) {
	for _, r := range q.Dropped() {
		if _, ok := o.waiting[r.Item.ID]; !ok {
			t.Fatalf("refused %s, which was not waiting", r.Item.ID)
		}
		delete(o.waiting, r.Item.ID)
	}
	s := q.Snapshot(start)
	if s.Waiting != len(o.waiting) || s.Running != len(o.running) || s.Running > 3 || s.Waiting > 12+3 {
		t.Fatalf("queue has %d waiting and %d running, want %d and %d", s.Waiting, s.Running, len(o.waiting), len(o.running))
	}
	waiting, running := 0, 0
	for _, c := range s.Classes {
		waiting += c.Waiting
		running += c.Running
	}
	if waiting != s.Waiting || running != s.Running {
		t.Fatalf("classes add up to %d waiting and %d running, want %d and %d", waiting, running, s.Waiting, s.Running)
	}
}

func pickID(t *rapid.T, m map[ferryid.RequestID]Item) (ferryid.RequestID, bool) {
	if len(m) == 0 {
		return "", false
	}
	ids := make([]int, 0, len(m))
	for id := range m {
		n := 0
		fmt.Sscan(string(id), &n)
		ids = append(ids, n)
	}
	slices.Sort(ids)
	return ferryid.RequestID(fmt.Sprint(rapid.SampledFrom(ids).Draw(t, "id"))), true
}
