package ferryqueue

import (
	"math"
	"time"

	"cactusferry.dev/ferry/ferryid"
)

const (
	// usageWindow is the time constant with which the work a customer began is forgotten.
	usageWindow = 30 * time.Second
	// usageMargin is how much more than its share of all work a customer may have begun before it counts as beyond it.
	usageMargin = 1.5
	// ownSlotsShare is the part of its share of the slots that a customer has running before any of its work is excess.
	ownSlotsShare = 0.5
)

// usage is work begun, of which older work counts less.
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

// shares is the sum of all customers' shares.
func (c *Config) shares() float64 {
	sum := 0.0
	for _, s := range c.Shares {
		sum += max(0, s)
	}
	return sum
}

// bounded reports whether excess work may only have a part of the slots.
func (q *Queue) bounded() bool {
	return q.cfg.ExcessShare < 1 && q.shares > 0
}

// first is the item of the class that is served next; while excess work has all of its slots, that of a customer within its share.
func (q *Queue) first(l *lane, now time.Time) *entry {
	e := l.head()
	if e == nil || !q.bounded() || q.excess < q.excessSlots() || !q.beyondShare(e.Customer, now) {
		return e
	}
	var best *flow
	for _, f := range l.active {
		if (best == nil || f.start < best.start) && !q.beyondShare(f.customer, now) {
			best = f
		}
	}
	if best == nil {
		return nil
	}
	return best.head
}

// excessSlots is never 0, so that excess work is not starved.
func (q *Queue) excessSlots() int {
	return max(1, int(q.cfg.ExcessShare*float64(q.cfg.Capacity)))
}

// beyondShare reports whether the customer has begun more than its share of the work of late, and holds enough slots for its share.
func (q *Queue) beyondShare(c ferryid.CustomerName, now time.Time) bool {
	h := q.hold(c)
	if h.used.value(now)*q.shares <= usageMargin*q.used.value(now)*h.weight {
		return false
	}
	return float64(h.running+1) > ownSlotsShare*float64(q.cfg.Capacity)*h.weight/q.shares
}

// begin counts an item that starts.
func (q *Queue) begin(e *entry, now time.Time) {
	h := q.hold(e.Customer)
	if q.bounded() {
		e.excess = q.beyondShare(e.Customer, now)
		h.used.add(e.Predicted, now)
		q.used.add(e.Predicted, now)
	}
	h.running++
	if e.excess {
		q.excess++
	}
}

// end counts an item that runs no more.
func (q *Queue) end(e *entry) {
	q.hold(e.Customer).running--
	if e.excess {
		q.excess--
	}
	e.excess = false
}
