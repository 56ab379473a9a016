package ferryqueue

import (
	"time"

	"cactusferry.dev/ferry/ferryid"
	"cactusferry.dev/ferry/ferryservice"
)

// ClassState is the state of one class.
type ClassState struct {
	Class         ferryid.ClassName `json:"Class"`
	Waiting       int               `json:"Waiting"`
	WaitingTokens ferryid.Tokens    `json:"WaitingTokens"`
	Running       int               `json:"Running"`
	Reserved      int               `json:"Reserved"`
}

// Snapshot is the state of a queue at one time.
// TurnedAway counts refusals by the published view or a full inbox.
type Snapshot struct {
	At         time.Time    `json:"At"`
	Capacity   int          `json:"Capacity"`
	Waiting    int          `json:"Waiting"`
	Running    int          `json:"Running"`
	TurnedAway uint64       `json:"TurnedAway"`
	Classes    []ClassState `json:"Classes"`
	Counts     Counts       `json:"Counts"`
}

// view is the published state by which callers are refused without a message to the loop.
type view struct {
	at       time.Time
	snapshot Snapshot
	classes  []classView
}

type classView struct {
	class     ferryid.ClassName
	maxTokens ferryid.Tokens
	retry     time.Duration
	full      map[ferryid.CustomerName]bool
}

func (q *Queue) view(now time.Time, refusedTokens ferryid.Tokens) *view {
	v := &view{at: now, snapshot: q.Snapshot(now)}
	for _, l := range q.classQueues {
		v.classes = append(v.classes, q.classView(l, now, refusedTokens))
	}
	return v
}

func (q *Queue) classView(l *classQueue, now time.Time, refusedTokens ferryid.Tokens) classView {
	lv := classView{class: l.class.Name, maxTokens: l.class.MaxTokens}
	if q.cfg.Policy == ferryservice.QueueFifo {
		return lv
	}
	for _, f := range l.active {
		if wait, _ := q.predictWait(f.customer, l); q.waitTooLong(l, wait) {
			if lv.full == nil {
				lv.full = map[ferryid.CustomerName]bool{}
			}
			lv.full[f.customer] = true
		}
	}
	if len(lv.full) > 0 {
		lv.retry = q.retryAfter(&Item{Predicted: refusedTokens}, l, now)
	}
	return lv
}

// refuses reports whether the item's customer is currently refused in its class, and when to retry.
func (v *view) refuses(it *Item, now time.Time) (time.Duration, bool) {
	if len(v.classes) == 0 || it.Resumed || now.Sub(v.at) > maxViewAge {
		return 0, false
	}
	for i := range v.classes {
		l := &v.classes[i]
		if !l.matches(it, i == len(v.classes)-1) {
			continue
		}
		return l.retry, l.full[it.Customer]
	}
	return 0, false
}

// matches reports whether the item certainly belongs to the class; last marks the last class.
func (l *classView) matches(it *Item, last bool) bool {
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
	for _, l := range q.classQueues {
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
