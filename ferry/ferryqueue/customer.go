package ferryqueue

import (
	"cactusferry.dev/ferry/ferryid"
	"cactusferry.dev/ferry/ferryservice"
)

// maxIdleFlows is the number of customers, per class and in total, from which customers without
// work are purged.
const maxIdleFlows = 4096

// customerState counts the waiting and running items of one customer in all classes.
type customerState struct {
	weight  float64
	waiting int
	running int
	usage   usage
}

func (q *Queue) flowOf(cq *classQueue, c ferryid.CustomerName) *flow {
	if q.cfg.Policy == ferryservice.QueueFifo {
		c = ""
	}
	f, ok := cq.flows[c]
	if ok {
		return f
	}
	if len(cq.flows) >= maxIdleFlows {
		cq.purge()
	}
	f = &flow{customer: c, weight: q.weight(c), index: -1}
	cq.flows[c] = f
	return f
}

// purge deletes the flows of customers with nothing waiting or running in the class.
func (cq *classQueue) purge() {
	for c, f := range cq.flows {
		if f.n == 0 && f.running == 0 {
			delete(cq.flows, c)
		}
	}
}

func (q *Queue) weight(c ferryid.CustomerName) float64 {
	if w := q.cfg.Shares[c]; w > 0 {
		return w
	}
	return 1
}

func (q *Queue) customer(c ferryid.CustomerName) *customerState {
	cs, ok := q.customers[c]
	if !ok {
		if len(q.customers) >= maxIdleFlows {
			q.purgeCustomers()
		}
		cs = &customerState{weight: q.weight(c)}
		q.customers[c] = cs
	}
	return cs
}

func (q *Queue) purgeCustomers() {
	for c, cs := range q.customers {
		if cs.waiting == 0 && cs.running == 0 {
			delete(q.customers, c)
		}
	}
}
