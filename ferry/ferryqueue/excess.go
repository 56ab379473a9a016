package ferryqueue

import (
	"math"
	"time"

	"cactusferry.dev/ferry/ferryid"
)

const (
	// usageWindow is the time constant of the exponential decay of a customer's started work.
	usageWindow = 30 * time.Second
	// usageMargin is the ratio of a customer's started work to its share from which further work is excess.
	usageMargin = 1.5
	// ownSlotsShare is the part of its share of the slots up to which no work of a customer is excess.
	ownSlotsShare = 0.5
)

// usage is an exponentially decaying sum of started work.
type usage struct {
	tokens float64
	at     time.Time
}

func (u *usage) add(n ferryid.Tokens, now time.Time) {
	u.tokens = u.value(now) + float64(n)
	u.at = now
}

func (u *usage) value(now time.Time) float64 {
	return u.tokens * math.Exp(-max(0, now.Sub(u.at)).Seconds()/usageWindow.Seconds())
}

// totalShares returns the sum of all customers' shares.
func (c *Config) totalShares() float64 {
	sum := 0.0
	for _, s := range c.Shares {
		sum += max(0, s)
	}
	return sum
}

// limitsExcess reports whether excess work is limited to a part of the slots.
func (q *Queue) limitsExcess() bool {
	return q.cfg.ExcessShare < 1 && q.totalShares > 0
}

// nextOf returns the next item of the class, or nil. While all slots for excess work are occupied,
// only customers within their share are considered.
func (q *Queue) nextOf(cq *classQueue, now time.Time) *queueItem {
	e := cq.head()
	if e == nil || !q.limitsExcess() || q.excess < q.excessSlots() || !q.beyondShare(e.Customer, now) {
		return e
	}
	var best *flow
	for _, f := range cq.active {
		if (best == nil || f.start < best.start) && !q.beyondShare(f.customer, now) {
			best = f
		}
	}
	if best == nil {
		return nil
	}
	return best.head
}

// excessSlots returns the number of slots for excess work, at least 1 so that it is not starved.
func (q *Queue) excessSlots() int {
	return max(1, int(q.cfg.ExcessShare*float64(q.cfg.Capacity)))
}

// beyondShare reports whether the customer recently started more than its share of the work
// and already occupies its own part of the slots.
func (q *Queue) beyondShare(c ferryid.CustomerName, now time.Time) bool {
	cs := q.customer(c)
	if cs.usage.value(now)*q.totalShares <= usageMargin*q.usage.value(now)*cs.weight {
		return false
	}
	return float64(cs.running+1) > ownSlotsShare*float64(q.cfg.Capacity)*cs.weight/q.totalShares
}

// countStart updates the counters for an item that starts.
func (q *Queue) countStart(e *queueItem, now time.Time) {
	cs := q.customer(e.Customer)
	if q.limitsExcess() {
		e.excess = q.beyondShare(e.Customer, now)
		cs.usage.add(e.Predicted, now)
		q.usage.add(e.Predicted, now)
	}
	cs.running++
	if e.excess {
		q.excess++
	}
}

// countEnd updates the counters for an item that no longer runs.
func (q *Queue) countEnd(e *queueItem) {
	q.customer(e.Customer).running--
	if e.excess {
		q.excess--
	}
	e.excess = false
}
