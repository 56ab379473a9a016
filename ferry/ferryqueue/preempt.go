package ferryqueue

import (
	"time"

	"cactusferry.dev/ferry/ferryid"
)

const (
	// preemptAfter is how long work with reserved slots waits before running work is preempted for it.
	preemptAfter = 250 * time.Millisecond
	// maxPreemptions is how often one item may be preempted.
	maxPreemptions = 2
	// maxRepeatedShare is the limit of repeated work, as a share of the work served.
	maxRepeatedShare = 0.02
	// rebuildCost is the cost of rebuilding one token of history relative to generating one.
	rebuildCost = 0.05
)

// Progress records the total tokens of a running item; an item longer than its class allows changes class.
func (q *Queue) Progress(id ferryid.RequestID, tokens ferryid.Tokens, now time.Time) {
	e, ok := q.items[id]
	if !ok || !e.running || tokens <= e.tokens {
		return
	}
	e.tokens = tokens
	if over := tokens - e.priorTokens - e.charged; over > 0 {
		e.classQueue.charge(e.flow, over)
		e.charged += over
	}
	for q.outgrown(e) {
		q.reclassify(e, now)
	}
}

func (q *Queue) outgrown(e *queueItem) bool {
	n := e.classQueue.class.MaxTokens
	return n > 0 && e.tokens > n && e.classQueue != q.classQueues[len(q.classQueues)-1]
}

func (q *Queue) reclassify(e *queueItem, now time.Time) {
	for i, cq := range q.classQueues[:len(q.classQueues)-1] {
		if cq != e.classQueue {
			continue
		}
		cq.running--
		e.flow.running--
		e.classQueue = q.classQueues[i+1]
		break
	}
	e.flow = q.flowOf(e.classQueue, e.Customer)
	e.Class = e.classQueue.class.Name
	e.classQueue.running++
	e.flow.running++
	e.classQueue.charge(e.flow, e.tokens-e.priorTokens)
	e.classQueue.trackDemand(now)
	q.counts.Reclassified++
}

// Preempt returns a running item to cancel and resume later, if work with reserved slots has waited too long.
func (q *Queue) Preempt(now time.Time) (ferryid.RequestID, bool) {
	if q.FreeSlots() > 0 || float64(q.counts.Repeated) > maxRepeatedShare*float64(q.counts.Served) {
		return "", false
	}
	for _, cq := range q.classQueues {
		e := cq.head()
		if e == nil || now.Sub(e.Arrived) < preemptAfter || cq.running >= cq.reserved(q.cfg.Capacity) {
			continue
		}
		if v := q.victim(cq); v != nil {
			return v.ID, true
		}
	}
	return "", false
}

// victim returns the running item that is cheapest to resume, or nil. It considers classes of lower priority
// that run more than their reserved slots.
func (q *Queue) victim(cq *classQueue) *queueItem {
	var best *queueItem
	for _, e := range q.runningItems {
		if e.classQueue == cq || e.classQueue.class.Priority <= cq.class.Priority || e.preempted >= maxPreemptions {
			continue
		}
		if e.classQueue.running <= e.classQueue.reserved(q.cfg.Capacity) {
			continue
		}
		if best == nil || e.tokens < best.tokens || (e.tokens == best.tokens && e.ID < best.ID) {
			best = e
		}
	}
	return best
}

// Requeue returns a cancelled running item to the front of its customer's queue; its tokens are kept.
func (q *Queue) Requeue(id ferryid.RequestID, now time.Time) bool {
	e, ok := q.items[id]
	if !ok || !e.running {
		return false
	}
	q.stopRunning(e)
	e.classQueue.charge(e.flow, e.tokens-e.priorTokens-e.charged)
	e.preempted++
	e.priorTokens = e.tokens
	e.Predicted = max(1, e.Predicted-e.tokens)
	q.counts.Requeued++
	q.counts.Repeated += ferryid.Tokens(rebuildCost * float64(e.tokens))
	e.classQueue.addFront(e.flow, e)
	q.customer(e.Customer).waiting++
	q.waiting++
	e.classQueue.trackDemand(now)
	return true
}
