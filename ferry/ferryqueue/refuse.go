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
	// retryJitter is the width of the random part of a retry delay, relative to the delay.
	retryJitter = 0.5
)

// checkAdmission refuses duplicates, items past their deadline, and items that can't be served in time
// according to the predicted wait.
func (q *Queue) checkAdmission(it *Item, cq *classQueue, now time.Time) *Refusal {
	if _, ok := q.items[it.ID]; ok {
		return q.refuse(it, cq, now, ferryoutcome.KindConflict, "a call with this id is already waiting or running")
	}
	if !it.Deadline.IsZero() && !now.Before(it.Deadline) {
		return q.refuse(it, cq, now, ferryoutcome.KindTimeout, "the call came after its own deadline")
	}
	if q.cfg.Policy == ferryservice.QueueFifo || it.Resumed {
		return nil
	}
	wait, own := q.predictWait(it.Customer, cq)
	if !q.waitTooLong(cq, wait) && (it.Deadline.IsZero() || !now.Add(wait+cq.serviceTime(it.Predicted)).After(it.Deadline)) {
		return nil
	}
	if own {
		return q.refuse(it, cq, now, ferryoutcome.KindLimit, "this customer's waiting work has used up its share of the service")
	}
	return q.refuse(it, cq, now, ferryoutcome.KindOverloaded, "the service has more work than it can do in time")
}

// waitTooLong reports whether a predicted wait exceeds the limit of the class.
func (q *Queue) waitTooLong(cq *classQueue, wait time.Duration) bool {
	return cq.waiting >= minBacklog && wait > q.waitLimit(cq)
}

// waitLimit returns the longest predicted wait with which work of the class is admitted.
func (q *Queue) waitLimit(cq *classQueue) time.Duration {
	if cq == q.classQueues[0] {
		return q.cfg.MaxWait
	}
	share := seconds(maxWaitShare * time.Duration(cq.class.Deadline).Seconds())
	return max(q.cfg.MaxWait, share)
}

// predictWait returns the predicted wait of a new item and whether the customer's own backlog determines it.
func (q *Queue) predictWait(c ferryid.CustomerName, cq *classQueue) (wait time.Duration, own bool) {
	rate := q.classRate(cq)
	if rate <= 0 || cq.waiting == 0 {
		return 0, false
	}
	classWait := float64(cq.backlog) / rate
	f, ok := cq.flows[c]
	if !ok || f.n == 0 {
		return 0, false
	}
	ownWait := float64(f.backlog) * cq.activeWeight / (f.weight * rate)
	return seconds(min(classWait, ownWait)), cq.activeWeight > f.weight && float64(f.backlog)*cq.activeWeight > f.weight*float64(cq.backlog)
}

// classRate returns the rate, in tokens/s, at which the class is served while it has work waiting.
func (q *Queue) classRate(cq *classQueue) float64 {
	slots := q.cfg.Capacity
	for _, o := range q.classQueues {
		if o != cq {
			slots -= o.running
		}
	}
	floor := int(cq.class.ReservedShare * float64(q.cfg.Capacity))
	return cq.slotRate * float64(max(1, floor, slots))
}

// evictFor makes room in a full queue: it evicts the newest item of the customer most over its share.
// If that is the item's own customer, it returns the item's refusal.
func (q *Queue) evictFor(it *Item, cq *classQueue, now time.Time) *Refusal {
	full := "the queue of the service is full"
	if q.cfg.Policy == ferryservice.QueueFifo {
		return q.refuse(it, cq, now, ferryoutcome.KindOverloaded, full)
	}
	most, excess := it.Customer, 0.0
	if cs, ok := q.customers[it.Customer]; ok {
		excess = float64(cs.waiting+1) / cs.weight
	}
	for c, cs := range q.customers {
		e := float64(cs.waiting) / cs.weight
		if e > excess || (e == excess && most != it.Customer && c < most) {
			most, excess = c, e
		}
	}
	victim := q.newest(most)
	if most == it.Customer || victim == nil {
		return q.refuse(it, cq, now, ferryoutcome.KindLimit, full+" and this customer is the one most over its share")
	}
	victim.classQueue.remove(victim)
	q.leaveWaiting(victim)
	q.counts.Evicted++
	q.dropped = append(q.dropped, *q.refuse(&victim.Item, victim.classQueue, now, ferryoutcome.KindLimit, full+" and this customer is the one most over its share"))
	q.removeItem(victim)
	return nil
}

// newest returns the last item of the customer in the class with most waiting, or nil. It never returns an
// item that has already run in part.
func (q *Queue) newest(c ferryid.CustomerName) *queueItem {
	var best *flow
	for _, cq := range q.classQueues {
		if f := cq.flows[c]; f != nil && f.n > 0 && f.tail.preempted == 0 && !f.tail.Resumed && (best == nil || f.n > best.n) {
			best = f
		}
	}
	if best == nil {
		return nil
	}
	return best.tail
}

func (q *Queue) refuse(it *Item, cq *classQueue, now time.Time, k ferryoutcome.Kind, detail string) *Refusal {
	return &Refusal{Item: *it, Kind: k, Detail: detail, RetryAfter: q.retryAfter(it, cq, now)}
}

// retryAfter returns a retry delay that spreads refused callers over the time needed for the backlog
// and the work refused before them.
func (q *Queue) retryAfter(it *Item, cq *classQueue, now time.Time) time.Duration {
	rate := q.classRate(cq)
	base := time.Second
	if rate > 0 {
		cq.refusedTokens = max(0, cq.refusedTokens-ferryid.Tokens(now.Sub(cq.refusedAt).Seconds()*rate)) + it.Predicted
		cq.refusedAt = now
		base = seconds((float64(cq.backlog) + float64(cq.refusedTokens)) / rate)
	}
	base = min(max(base, minRetryAfter), maxRetryAfter)
	jitter := 1 + retryJitter*(q.rng.Float64()-0.5)
	return time.Duration(float64(base) * jitter)
}
