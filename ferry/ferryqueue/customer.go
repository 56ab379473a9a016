package ferryqueue

import (
	"cactusferry.dev/ferry/ferryid"
	"cactusferry.dev/ferry/ferryservice"
)

// maxIdleFlows bounds the customers that are remembered with no work in a class.
const maxIdleFlows = 4096

// holding is what one customer has waiting and running in all classes.
type holding struct {
	weight  float64
	waiting int
	running int
	used    usage
}

func (q *Queue) flowOf(l *lane, c ferryid.CustomerName) *flow {
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
	f = &flow{customer: c, weight: q.weight(c), at: -1}
	l.flows[c] = f
	return f
}

// purge forgets customers that have nothing waiting or running in the class.
func (l *lane) purge() {
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

func (q *Queue) hold(c ferryid.CustomerName) *holding {
	h, ok := q.held[c]
	if !ok {
		if len(q.held) >= maxIdleFlows {
			q.purgeHeld()
		}
		h = &holding{weight: q.weight(c)}
		q.held[c] = h
	}
	return h
}

func (q *Queue) purgeHeld() {
	for c, h := range q.held {
		if h.waiting == 0 && h.running == 0 {
			delete(q.held, c)
		}
	}
}
