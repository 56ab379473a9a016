package ferryqueue

import (
	"cmp"
	"slices"
	"time"

	"cactusferry.dev/ferry/ferryid"
)

// SetConfig applies a new configuration and sorts the waiting and running items into the new classes.
func (q *Queue) SetConfig(cfg Config, now time.Time) {
	cfg.setDefaults()
	old := q.classQueues
	q.cfg = cfg
	q.makeClassQueues()
	q.customers = map[ferryid.CustomerName]*customerState{}
	q.totalShares, q.usage = cfg.totalShares(), usage{}
	for i, cq := range q.classQueues {
		cq.slotRate = old[min(i, len(old)-1)].slotRate
	}
	all := make([]*queueItem, 0, len(q.items))
	for _, e := range q.items {
		all = append(all, e)
	}
	slices.SortFunc(all, func(a, b *queueItem) int {
		return cmp.Or(a.Arrived.Compare(b.Arrived), cmp.Compare(a.ID, b.ID))
	})
	for _, e := range all {
		q.reinsert(e, now)
	}
}

func (q *Queue) reinsert(e *queueItem, now time.Time) {
	it := e.Item
	cq := q.classQueueOf(&it)
	e.Class = it.Class
	f := q.flowOf(cq, e.Customer)
	if e.running {
		e.classQueue, e.flow = cq, f
		cq.running++
		f.running++
		q.customer(e.Customer).running++
	} else {
		cq.add(f, e)
		q.customer(e.Customer).waiting++
	}
	cq.trackDemand(now)
}
