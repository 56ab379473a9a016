package ferryqueue

import (
	"time"

	"cactusferry.dev/ferry/ferryid"
	"cactusferry.dev/ferry/ferryoutcome"
	"cactusferry.dev/ferry/ferryservice"
)

const (
	minRetryAfter = 200 * time.Millisecond
	maxRetryAfter = time.Minute
	// retryJitter is the width of the random part of a retry-after, as a share of it.
	retryJitter = 0.5
)

// judge refuses what can't be in time, by the predicted wait.
func (q *Queue) judge(it *Item, l *lane, now time.Time) *Refusal {
	if _, ok := q.entries[it.ID]; ok {
		return q.refuse(it, l, now, ferryoutcome.KindConflict, "a call with this id is already waiting or running")
	}
	if !it.Deadline.IsZero() && !now.Before(it.Deadline) {
		return q.refuse(it, l, now, ferryoutcome.KindTimeout, "the call came after its own deadline")
	}
	if q.cfg.Policy == ferryservice.QueueFifo || it.Resumed {
		return nil
	}
	wait, own := q.predictWait(it.Customer, l)
	if !q.tooLong(l, wait) && (it.Deadline.IsZero() || !now.Add(wait+l.service(it.Predicted)).After(it.Deadline)) {
		return nil
	}
	if own {
		return q.refuse(it, l, now, ferryoutcome.KindLimit, "this customer's waiting work has used up its share of the service")
	}
	return q.refuse(it, l, now, ferryoutcome.KindOverloaded, "the service has more work than it can do in time")
}

// tooLong reports whether a predicted wait is more than the class admits.
func (q *Queue) tooLong(l *lane, wait time.Duration) bool {
	return l.waiting >= minBacklog && wait > q.waitLimit(l)
}

// waitLimit is the longest predicted wait with which work of the class is admitted.
func (q *Queue) waitLimit(l *lane) time.Duration {
	if l == q.lanes[0] {
		return q.cfg.MaxWait
	}
	share := seconds(maxWaitShare * time.Duration(l.class.Deadline).Seconds())
	return max(q.cfg.MaxWait, share)
}

// predictWait estimates the wait of a new item and reports whether the customer's own backlog decides it.
func (q *Queue) predictWait(c ferryid.CustomerName, l *lane) (wait time.Duration, own bool) {
	rate := q.laneRate(l)
	if rate <= 0 || l.waiting == 0 {
		return 0, false
	}
	all := float64(l.backlog) / rate
	f, ok := l.flows[c]
	if !ok || f.n == 0 {
		return 0, false
	}
	mine := float64(f.backlog) * l.weights / (f.weight * rate)
	return seconds(min(all, mine)), l.weights > f.weight && float64(f.backlog)*l.weights > f.weight*float64(l.backlog)
}

// laneRate is the rate in tokens/s at which the class is served while it has work waiting.
func (q *Queue) laneRate(l *lane) float64 {
	slots := q.cfg.Capacity
	for _, o := range q.lanes {
		if o != l {
			slots -= o.running
		}
	}
	floor := int(l.class.ReservedShare * float64(q.cfg.Capacity))
	return l.slotRate * float64(max(1, floor, slots))
}

// makeRoom is the rule of a full queue: the customer that waits with most for its share loses its newest item.
func (q *Queue) makeRoom(it *Item, l *lane, now time.Time) *Refusal {
	full := "the queue of the service is full"
	if q.cfg.Policy == ferryservice.QueueFifo {
		return q.refuse(it, l, now, ferryoutcome.KindOverloaded, full)
	}
	most, excess := it.Customer, 0.0
	if h, ok := q.held[it.Customer]; ok {
		excess = float64(h.waiting+1) / h.weight
	}
	for c, h := range q.held {
		e := float64(h.waiting) / h.weight
		if e > excess || (e == excess && most != it.Customer && c < most) {
			most, excess = c, e
		}
	}
	victim := q.newest(most)
	if most == it.Customer || victim == nil {
		return q.refuse(it, l, now, ferryoutcome.KindLimit, full+" and this customer is the one most over its share")
	}
	victim.lane.remove(victim)
	q.leaveWaiting(victim)
	q.counts.Evicted++
	q.dropped = append(q.dropped, *q.refuse(&victim.Item, victim.lane, now, ferryoutcome.KindLimit, full+" and this customer is the one most over its share"))
	q.forget(victim)
	return nil
}

// newest is the last item of the customer in the class where it has most waiting, never one that has begun.
func (q *Queue) newest(c ferryid.CustomerName) *entry {
	var best *flow
	for _, l := range q.lanes {
		if f := l.flows[c]; f != nil && f.n > 0 && f.tail.preempted == 0 && !f.tail.Resumed && (best == nil || f.n > best.n) {
			best = f
		}
	}
	if best == nil {
		return nil
	}
	return best.tail
}

func (q *Queue) refuse(it *Item, l *lane, now time.Time, k ferryoutcome.Kind, detail string) *Refusal {
	return &Refusal{Item: *it, Kind: k, Detail: detail, RetryAfter: q.retryAfter(it, l, now)}
}

// retryAfter spreads refused callers over the time that the backlog and the work refused before them take.
func (q *Queue) retryAfter(it *Item, l *lane, now time.Time) time.Duration {
	rate := q.laneRate(l)
	base := time.Second
	if rate > 0 {
		l.missed = max(0, l.missed-ferryid.Tokens(now.Sub(l.missedAt).Seconds()*rate)) + it.Predicted
		l.missedAt = now
		base = seconds((float64(l.backlog) + float64(l.missed)) / rate)
	}
	base = min(max(base, minRetryAfter), maxRetryAfter)
	jitter := 1 + retryJitter*(q.rng.Float64()-0.5)
	return time.Duration(float64(base) * jitter)
}
