package ferryqueue

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"cactusferry.dev/ferry/ferryid"
	"cactusferry.dev/ferry/ferryoutcome"
	"cactusferry.dev/ferry/ferryservice"
)

var start = time.Date(2026, 12, 4, 5, 0, 0, 0, time.UTC)

func twoClasses() ferryservice.Classes {
	return ferryservice.Classes{
		{Name: "short", MaxTokens: 100, ReservedShare: 0.5, Deadline: ferryservice.Duration(10 * time.Second)},
		{Name: "long", ReservedShare: 0.25, Priority: 1, Deadline: ferryservice.Duration(10 * time.Minute)},
	}
}

func item(id string, c ferryid.CustomerName, n ferryid.Tokens) Item {
	return Item{ID: ferryid.RequestID(id), Customer: c, Predicted: n, Arrived: start}
}

func fill(t *testing.T, q *Queue, c ferryid.CustomerName, n int, tokens ferryid.Tokens) {
	t.Helper()
	for i := range n {
		r := q.Enqueue(item(fmt.Sprintf("%s-%d-%d", c, tokens, i), c, tokens), start)
		assert.Assert(t, r == nil, "%+v", r)
	}
}

func startAll(q *Queue, now time.Time, n int) []Item {
	var out []Item
	for range n {
		it, ok := q.Next(now, q.FreeSlots())
		if !ok {
			break
		}
		out = append(out, it)
	}
	return out
}

func TestFifoServesInOrderOfArrival(t *testing.T) {
	q := New(Config{Policy: ferryservice.QueueFifo, Classes: twoClasses(), Capacity: 4})
	fill(t, q, "b", 1, 1000)
	fill(t, q, "a", 1, 10)
	fill(t, q, "c", 1, 10)
	got := startAll(q, start, 3)
	assert.Equal(t, got[0].Customer, ferryid.CustomerName("b"))
	assert.Equal(t, got[1].Customer, ferryid.CustomerName("a"))
	assert.Equal(t, got[2].Customer, ferryid.CustomerName("c"))
}

func TestFairServesCustomersByTheirShares(t *testing.T) {
	q := New(Config{Classes: twoClasses(), Capacity: 400, Shares: map[ferryid.CustomerName]float64{"a": 3, "b": 1}})
	fill(t, q, "a", 100, 50)
	fill(t, q, "b", 100, 50)
	served := map[ferryid.CustomerName]int{}
	for _, it := range startAll(q, start, 80) {
		served[it.Customer]++
	}
	assert.Equal(t, served["a"], 60)
	assert.Equal(t, served["b"], 20)
}

func TestFairCorrectsByActualWork(t *testing.T) {
	q := New(Config{Classes: twoClasses(), Capacity: 1})
	fill(t, q, "a", 40, 10)
	fill(t, q, "b", 40, 10)
	served := map[ferryid.CustomerName]ferryid.Tokens{}
	now := start
	for range 44 {
		it, ok := q.Next(now, q.FreeSlots())
		assert.Assert(t, ok)
		actual := ferryid.Tokens(10)
		if it.Customer == "a" {
			actual = 100
		}
		now = now.Add(time.Millisecond)
		q.Done(it.ID, actual, now)
		served[it.Customer] += actual
	}
	assert.Equal(t, served["a"], ferryid.Tokens(400))
	assert.Equal(t, served["b"], ferryid.Tokens(400))
}

func TestReservedSlotsAreKeptForShortWork(t *testing.T) {
	q := New(Config{Classes: twoClasses(), Capacity: 8})
	fill(t, q, "a", 4, 10)
	assert.Equal(t, len(startAll(q, start, 8)), 4)
	fill(t, q, "a", 8, 5000)
	got := startAll(q, start, 8)
	assert.Equal(t, len(got), 4)
	q.Done("a-10-0", 10, start.Add(time.Second))
	assert.Equal(t, len(startAll(q, start.Add(time.Second), 8)), 0, "a reserved slot was given to long work")
	fill(t, q, "b", 1, 10)
	assert.Equal(t, len(startAll(q, start.Add(time.Second), 8)), 1)
}

func TestUnusedReservedSlotsAreUsed(t *testing.T) {
	q := New(Config{Classes: twoClasses(), Capacity: 8})
	fill(t, q, "a", 8, 5000)
	assert.Equal(t, len(startAll(q, start, 8)), 8)
}

func TestLongWorkAges(t *testing.T) {
	q := New(Config{Classes: twoClasses(), Capacity: 1})
	fill(t, q, "a", 1, 5000)
	fill(t, q, "a", 3, 10)
	it, _ := q.Next(start.Add(time.Second), 1)
	assert.Equal(t, it.Class, ferryid.ClassName("short"))
	q.Done(it.ID, 10, start.Add(2*time.Second))
	later := item("late", "b", 10)
	later.Arrived = start.Add(2 * time.Second)
	assert.Assert(t, q.Enqueue(later, later.Arrived) == nil)
	for _, id := range []ferryid.RequestID{"a-10-1", "a-10-2"} {
		q.Cancel(id)
	}
	it, _ = q.Next(start.Add(3*time.Second), 1)
	assert.Equal(t, it.Class, ferryid.ClassName("long"))
}

func TestRefusals(t *testing.T) {
	learned := func(cfg Config) *Queue {
		cfg.MaxWait = time.Second
		q := New(cfg)
		fill(t, q, "warm", 1, 100)
		it, _ := q.Next(start, 1)
		q.Done(it.ID, 100, start.Add(time.Second))
		return q
	}
	tests := []struct {
		name   string
		queue  func() *Queue
		add    Item
		kind   ferryoutcome.Kind
		refuse bool
	}{
		{"in time", func() *Queue { return learned(Config{Classes: twoClasses(), Capacity: 1}) }, item("x", "a", 100), "", false},
		{"past deadline", func() *Queue { return New(Config{Capacity: 1}) }, Item{ID: "x", Deadline: start}, ferryoutcome.KindTimeout, true},
		{"same id", func() *Queue {
			q := New(Config{Capacity: 1})
			fill(t, q, "a", 1, 1)
			return q
		}, item("a-1-0", "b", 1), ferryoutcome.KindConflict, true},
		{
			"can't be in time", func() *Queue { return learned(Config{Classes: twoClasses(), Capacity: 1}) },
			Item{ID: "x", Customer: "a", Predicted: 100, Deadline: start.Add(900 * time.Millisecond)},
			ferryoutcome.KindOverloaded, true,
		},
		{"too much ahead", func() *Queue {
			q := learned(Config{Classes: twoClasses(), Capacity: 1})
			fill(t, q, "a", 2, 60)
			return q
		}, item("x", "a", 10), ferryoutcome.KindOverloaded, true},
		{"one ahead on a single slot", func() *Queue {
			q := learned(Config{Classes: twoClasses(), Capacity: 1})
			fill(t, q, "a", 1, 60)
			return q
		}, item("x", "a", 10), "", false},
		{"over its share", func() *Queue {
			q := learned(Config{Classes: twoClasses(), Capacity: 1})
			fill(t, q, "b", 1, 30)
			fill(t, q, "a", 2, 60)
			return q
		}, item("x", "a", 10), ferryoutcome.KindLimit, true},
		{"another's share", func() *Queue {
			q := learned(Config{Classes: twoClasses(), Capacity: 1})
			fill(t, q, "b", 1, 30)
			fill(t, q, "a", 2, 60)
			return q
		}, item("x", "b", 10), "", false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			r := tt.queue().Enqueue(tt.add, start)
			assert.Equal(t, r != nil, tt.refuse, "%+v", r)
			if r == nil {
				return
			}
			assert.Equal(t, r.Kind, tt.kind)
			assert.Equal(t, r.Problem().Outcome, ferryoutcome.NotRun)
			assert.Assert(t, r.RetryAfter > 0)
		})
	}
}

func TestFullQueueEvictsFromCustomerMostOverItsShare(t *testing.T) {
	q := New(Config{Classes: twoClasses(), Length: 10, Shares: map[ferryid.CustomerName]float64{"big": 8, "hog": 1}})
	fill(t, q, "big", 6, 10)
	fill(t, q, "hog", 4, 10)
	r := q.Enqueue(item("x", "hog", 10), start)
	assert.Equal(t, r.Kind, ferryoutcome.KindLimit)
	assert.Assert(t, q.Enqueue(item("y", "big", 10), start) == nil)
	gone := q.Dropped()
	assert.Equal(t, len(gone), 1)
	assert.Equal(t, gone[0].Item.ID, ferryid.RequestID("hog-10-3"))
	assert.Equal(t, q.Waiting(), 10)
}

func TestFullQueueKeepsResumedWork(t *testing.T) {
	q := New(Config{Capacity: 1, Length: 3, MaxWait: time.Hour})
	fill(t, q, "hog", 2, 10)
	resumed := item("resumed", "hog", 10)
	resumed.Resumed = true
	assert.Assert(t, q.Enqueue(resumed, start) == nil)
	r := q.Enqueue(item("x", "other", 10), start)
	assert.Assert(t, r != nil)
	assert.Equal(t, len(q.Dropped()), 0)
	again := item("again", "hog", 10)
	again.Resumed = true
	assert.Assert(t, q.Enqueue(again, start) == nil)
}

func TestOutgrownWorkChangesClassAndIsPreempted(t *testing.T) {
	q := New(Config{Classes: twoClasses(), Capacity: 4})
	fill(t, q, "a", 4, 10)
	assert.Equal(t, len(startAll(q, start, 4)), 4)
	for i := range 4 {
		q.Progress(ferryid.RequestID(fmt.Sprintf("a-10-%d", i)), ferryid.Tokens(200+i), start.Add(time.Second))
	}
	assert.Equal(t, q.Counts().Reclassified, uint64(4))
	b := item("b", "b", 10)
	b.Arrived = start.Add(time.Second)
	assert.Assert(t, q.Enqueue(b, b.Arrived) == nil)
	_, ok := q.Preempt(b.Arrived)
	assert.Assert(t, !ok, "preempted before preemptAfter had passed")
	q.counts.Served = 10000
	id, ok := q.Preempt(b.Arrived.Add(time.Second))
	assert.Assert(t, ok)
	assert.Equal(t, id, ferryid.RequestID("a-10-0"))
	assert.Assert(t, q.Requeue(id, b.Arrived.Add(time.Second)))
	it, _ := q.Next(b.Arrived.Add(time.Second), q.FreeSlots())
	assert.Equal(t, it.ID, ferryid.RequestID("b"))
	assert.Equal(t, q.Counts().Repeated, ferryid.Tokens(10))
}

func TestPredictorTracksAQuantileOfLengths(t *testing.T) {
	p := NewPredictor()
	assert.Equal(t, p.Predict("a", 10, 0), ferryid.Tokens(defaultPredicted))
	for i := range 4000 {
		p.Learn("a", 10, ferryid.Tokens(10+i*7%100))
	}
	n := p.Predict("a", 10, 0)
	assert.Assert(t, n > 60 && n < 100, "predicted %d", n)
	assert.Equal(t, p.Predict("a", 10, 20), ferryid.Tokens(20))
	assert.Equal(t, p.Predict("b", 10, 0), ferryid.Tokens(defaultPredicted))
}

func TestSetConfigKeepsWaitingAndRunningItems(t *testing.T) {
	q := New(Config{Policy: ferryservice.QueueFifo, Capacity: 1})
	fill(t, q, "a", 3, 500)
	startAll(q, start, 1)
	q.SetConfig(Config{Classes: twoClasses(), Capacity: 3}, start)
	assert.Equal(t, q.Waiting(), 2)
	assert.Equal(t, len(startAll(q, start, 5)), 2)
	assert.Equal(t, q.Snapshot(start).Classes[1].Running, 3)
}

// When more streams share the engines, the rate of a slot falls.
// If the measured rate followed too slowly, too much work would be admitted.
func TestSlotRateFallsFasterThanItRises(t *testing.T) {
	cq := newClassQueue(twoClasses()[0])
	cq.observe(100, time.Second)
	for range 32 {
		cq.observe(10, time.Second)
	}
	assert.Assert(t, cq.slotRate < 25, "slot rate %v", cq.slotRate)
	for range 32 {
		cq.observe(100, time.Second)
	}
	assert.Assert(t, cq.slotRate < 55, "slot rate %v", cq.slotRate)
}
