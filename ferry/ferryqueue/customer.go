package ferryqueue

import (
	"cactusferry.dev/ferry/ferryid"
	"cactusferry.dev/ferry/ferryservice"
)

// maxIdleFlows is the number of customers, per class and in total, from which customers without work are purged.
const maxIdleFlows = 4096

// customerState counts the waiting and running items of one customer in all classes.
type customerState struct {
	weight  float64
	waiting int
	running int
	usage   usage
}

func (q *Queue) flowOf(l *classQueue, c ferryid.CustomerName) *flow {
	if q.cfg.Policy == ferryservice.QueueFifo {
		c = ""
	}
	f, ok := l.flows[c]
	if ok {
		return f
	}
	if len(l.flows) >= maxIdleFlows {
		l.purge()
	}
	f = &flow{customer: c, weight: q.weight(c), index: -1}
	l.flows[c] = f
	return f
}

// purge deletes the flows of customers with nothing waiting or running in the class.
func (l *classQueue) purge() {
	for c, f := range l.flows {
		if f.n == 0 && f.running == 0 {
			delete(l.flows, c)
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
	h, ok := q.customers[c]
	if !ok {
		if len(q.customers) >= maxIdleFlows {
			q.purgeCustomers()
		}
		h = &customerState{weight: q.weight(c)}
		q.customers[c] = h
	}
	return h
}

func (q *Queue) purgeCustomers() {
	for c, h := range q.customers {
		if h.waiting == 0 && h.running == 0 {
			delete(q.customers, c)
		}
	}
}
