package ferryqueue

import (
	"time"

	"cactusferry.dev/ferry/ferryid"
	"cactusferry.dev/ferry/ferryservice"
)

// ClassState is what waits and runs in one class.
type ClassState struct {
	Class         ferryid.ClassName `json:"Class"`
	Waiting       int               `json:"Waiting"`
	WaitingTokens ferryid.Tokens    `json:"WaitingTokens"`
	Running       int               `json:"Running"`
	Reserved      int               `json:"Reserved"`
}

// Snapshot is the state of a queue at one moment; TurnedAway counts the refusals made without asking the owner.
type Snapshot struct {
	At         time.Time    `json:"At"`
	Capacity   int          `json:"Capacity"`
	Waiting    int          `json:"Waiting"`
	Running    int          `json:"Running"`
	TurnedAway uint64       `json:"TurnedAway"`
	Classes    []ClassState `json:"Classes"`
	Counts     Counts       `json:"Counts"`
}

// view is what callers may decide by without asking the owner.
type view struct {
	at       time.Time
	snapshot Snapshot
	lanes    []laneView
}

type laneView struct {
	class     ferryid.ClassName
	maxTokens ferryid.Tokens
	retry     time.Duration
	full      map[ferryid.CustomerName]bool
}

func (q *Queue) view(now time.Time, missed ferryid.Tokens) *view {
	v := &view{at: now, snapshot: q.Snapshot(now)}
	for _, l := range q.lanes {
		v.lanes = append(v.lanes, q.laneView(l, now, missed))
	}
	return v
}

func (q *Queue) laneView(l *lane, now time.Time, missed ferryid.Tokens) laneView {
	lv := laneView{class: l.class.Name, maxTokens: l.class.MaxTokens}
	if q.cfg.Policy == ferryservice.QueueFifo {
		return lv
	}
	for _, f := range l.active {
		if wait, _ := q.predictWait(f.customer, l); q.tooLong(l, wait) {
			if lv.full == nil {
				lv.full = map[ferryid.CustomerName]bool{}
			}
			lv.full[f.customer] = true
		}
	}
	if len(lv.full) > 0 {
		lv.retry = q.retryAfter(&Item{Predicted: missed}, l, now)
	}
	return lv
}

// refuses reports whether work of the item's class is refused for its customer at present.
func (v *view) refuses(it *Item, now time.Time) (time.Duration, bool) {
	if len(v.lanes) == 0 || it.Resumed || now.Sub(v.at) > viewLifetime {
		return 0, false
	}
	for i := range v.lanes {
		l := &v.lanes[i]
		if !l.holds(it, i == len(v.lanes)-1) {
			continue
		}
		return l.retry, l.full[it.Customer]
	}
	return 0, false
}

// holds reports whether the item certainly belongs to the class.
func (l *laneView) holds(it *Item, last bool) bool {
	if it.Class != "" {
		return l.class == it.Class
	}
	if it.Predicted > 0 {
		return last || it.Predicted <= l.maxTokens
	}
	return it.MaxTokens > 0 && it.MaxTokens <= l.maxTokens
}

// Snapshot returns the state of the queue.
func (q *Queue) Snapshot(now time.Time) Snapshot {
	s := Snapshot{At: now, Capacity: q.cfg.Capacity, Waiting: q.waiting, Running: q.running, Counts: q.counts}
	for _, l := range q.lanes {
		s.Classes = append(s.Classes, ClassState{
			Class:         l.class.Name,
			Waiting:       l.waiting,
			WaitingTokens: l.backlog,
			Running:       l.running,
			Reserved:      l.reserved(q.cfg.Capacity),
		})
	}
	return s
}
