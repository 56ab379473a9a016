package ferryqueue

import (
	"time"

	"cactusferry.dev/ferry/ferryid"
)

const (
	// preemptAfter is how long reserved work waits for its slot before running work is cancelled for it.
	preemptAfter = 250 * time.Millisecond
	// maxPreemptions is how often one item is cancelled and resumed at most.
	maxPreemptions = 2
	// maxThrownShare bounds the work done twice, as a share of the work served.
	maxThrownShare = 0.02
	// rebuildCost is the work of rebuilding one token of history, as a share of generating one.
	rebuildCost = 0.05
)

// Progress tells how many tokens a running item has produced in all; one that outgrew its class changes class.
func (q *Queue) Progress(id ferryid.RequestID, tokens ferryid.Tokens, now time.Time) {
	e, ok := q.entries[id]
	if !ok || !e.running || tokens <= e.tokens {
		return
	}
	e.tokens = tokens
	if over := tokens - e.done - e.charged; over > 0 {
		e.lane.charge(e.flow, over)
		e.charged += over
	}
	for q.outgrown(e) {
		q.reclassify(e, now)
	}
}

func (q *Queue) outgrown(e *entry) bool {
	n := e.lane.class.MaxTokens
	return n > 0 && e.tokens > n && e.lane != q.lanes[len(q.lanes)-1]
}

func (q *Queue) reclassify(e *entry, now time.Time) {
	for i, l := range q.lanes[:len(q.lanes)-1] {
		if l != e.lane {
			continue
		}
		l.running--
		e.flow.running--
		e.lane = q.lanes[i+1]
		break
	}
	e.flow = q.flowOf(e.lane, e.Customer)
	e.Class = e.lane.class.Name
	e.lane.running++
	e.flow.running++
	e.lane.charge(e.flow, e.tokens-e.done)
	e.lane.trackDemand(now)
	q.counts.Reclassified++
}

// Preempt names a running item to cancel and resume later, if work with reserved slots waits behind it.
func (q *Queue) Preempt(now time.Time) (ferryid.RequestID, bool) {
	if q.Free() > 0 || float64(q.counts.Thrown) > maxThrownShare*float64(q.counts.Served) {
		return "", false
	}
	for _, l := range q.lanes {
		e := l.head()
		if e == nil || now.Sub(e.Arrived) < preemptAfter || l.running >= l.reserved(q.cfg.Capacity) {
			continue
		}
		if v := q.victim(l); v != nil {
			return v.ID, true
		}
	}
	return "", false
}

// victim is the running item of a lower class that is cheapest to resume, where the class has more than its slots.
func (q *Queue) victim(waiter *lane) *entry {
	var best *entry
	for _, e := range q.live {
		if e.lane == waiter || e.lane.class.Priority <= waiter.class.Priority || e.preempted >= maxPreemptions {
			continue
		}
		if e.lane.running <= e.lane.reserved(q.cfg.Capacity) {
			continue
		}
		if best == nil || e.tokens < best.tokens || (e.tokens == best.tokens && e.ID < best.ID) {
			best = e
		}
	}
	return best
}

// Requeue puts a cancelled running item back before its customer's other work; the tokens it has are kept.
func (q *Queue) Requeue(id ferryid.RequestID, now time.Time) bool {
	e, ok := q.entries[id]
	if !ok || !e.running {
		return false
	}
	q.stop(e)
	e.lane.charge(e.flow, e.tokens-e.done-e.charged)
	e.preempted++
	e.done = e.tokens
	e.Predicted = max(1, e.Predicted-e.tokens)
	q.counts.Requeued++
	q.counts.Thrown += ferryid.Tokens(rebuildCost * float64(e.tokens))
	e.lane.addFront(e.flow, e)
	q.hold(e.Customer).waiting++
	q.waiting++
	e.lane.trackDemand(now)
	return true
}
