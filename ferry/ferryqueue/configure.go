package ferryqueue

import (
	"cmp"
	"slices"
	"time"

	"cactusferry.dev/ferry/ferryid"
)

// SetConfig puts a new configuration in force; what waits and runs stays, sorted into the new classes.
func (q *Queue) SetConfig(cfg Config, now time.Time) {
	cfg.setDefaults()
	old := q.lanes
	q.cfg = cfg
	q.makeLanes()
	q.held = map[ferryid.CustomerName]*holding{}
	q.shares, q.used = cfg.shares(), usage{}
	for i, l := range q.lanes {
		l.slotRate = old[min(i, len(old)-1)].slotRate
	}
	all := make([]*entry, 0, len(q.entries))
	for _, e := range q.entries {
		all = append(all, e)
	}
	slices.SortFunc(all, func(a, b *entry) int {
		return cmp.Or(a.Arrived.Compare(b.Arrived), cmp.Compare(a.ID, b.ID))
	})
	for _, e := range all {
		q.place(e, now)
	}
}

func (q *Queue) place(e *entry, now time.Time) {
	it := e.Item
	l := q.laneOf(&it)
	e.Class = it.Class
	f := q.flowOf(l, e.Customer)
	if e.running {
		e.lane, e.flow = l, f
		l.running++
		f.running++
		q.hold(e.Customer).running++
	} else {
		l.add(f, e)
		q.hold(e.Customer).waiting++
	}
	l.trackDemand(now)
}
