package ferryqueue

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"cactusferry.dev/ferry/ferryid"
)

// queueWithHeavyCustomer returns a queue in which one customer, hog, used four of ten slots
// alone for a minute.
func queueWithHeavyCustomer(t *testing.T, share float64) (*Queue, time.Time) {
	t.Helper()
	q := New(Config{
		Capacity: 10, ExcessShare: share, MaxWait: time.Hour,
		Shares: map[ferryid.CustomerName]float64{"hog": 1, "a": 1, "b": 3},
	})
	now := start
	for i := range 60 {
		now = now.Add(time.Second)
		for k := range 4 {
			id := ferryid.RequestID(fmt.Sprintf("old-%d-%d", i, k))
			assert.Assert(t, q.Enqueue(item(string(id), "hog", 10), now) == nil)
			_, ok := q.Next(now, q.FreeSlots())
			assert.Assert(t, ok)
			assert.Assert(t, q.Done(id, 10, now))
		}
	}
	return q, now
}

func TestExcessIsLimitedToItsSlots(t *testing.T) {
	tests := []struct {
		share float64
		runs  int
	}{
		{0, 10},
		{1, 10},
		{0.01, 2}, // one slot of its own share and the minimum of one excess slot
		{0.3, 4},
	}
	for _, tt := range tests {
		t.Run(fmt.Sprint(tt.share), func(t *testing.T) {
			q, now := queueWithHeavyCustomer(t, tt.share)
			fill(t, q, "hog", 20, 10)
			assert.Equal(t, len(startAll(q, now, 20)), tt.runs)
		})
	}
}

// Slots closed to excess work go to other customers even if the excess work is first in virtual time.
func TestExcessDoesNotBlockOthers(t *testing.T) {
	q, now := queueWithHeavyCustomer(t, 0.1)
	fill(t, q, "hog", 20, 10)
	startAll(q, now, 20)
	fill(t, q, "a", 2, 100)
	got := startAll(q, now, 20)
	assert.Equal(t, len(got), 2)
	for _, it := range got {
		assert.Equal(t, it.Customer, ferryid.CustomerName("a"))
	}
}

// Usage decays, and the end of an excess item frees its slot.
func TestExcessExpires(t *testing.T) {
	q, now := queueWithHeavyCustomer(t, 0.1)
	fill(t, q, "hog", 20, 10)
	ran := startAll(q, now, 20)
	assert.Equal(t, len(ran), 2)
	q.Done(ran[1].ID, 10, now)
	assert.Equal(t, len(startAll(q, now, 20)), 1)
	for _, c := range []ferryid.CustomerName{"a", "b"} {
		q.customer(c).usage.add(1000, now.Add(5*usageWindow))
	}
	q.usage.add(2000, now.Add(5*usageWindow))
	assert.Equal(t, len(startAll(q, now.Add(5*usageWindow), 20)), 8)
}

func TestExcessCountFollowsAllChanges(t *testing.T) {
	q, now := queueWithHeavyCustomer(t, 0.3)
	fill(t, q, "hog", 20, 10)
	ran := startAll(q, now, 20)
	assert.Equal(t, q.excess, 3)
	q.Requeue(ran[3].ID, now)
	assert.Equal(t, q.excess, 2)
	q.Cancel(ran[2].ID)
	assert.Equal(t, q.excess, 1)
	q.SetConfig(q.cfg, now)
	q.Done(ran[1].ID, 10, now)
	assert.Equal(t, q.excess, 0)
	assert.Equal(t, q.customer("hog").running, 1)
}
