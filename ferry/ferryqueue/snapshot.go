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
// RefusedEarly counts refusals by the published view or a full inbox.
type Snapshot struct {
	At           time.Time    `json:"At"`
	Capacity     int          `json:"Capacity"`
	Waiting      int          `json:"Waiting"`
	Running      int          `json:"Running"`
	RefusedEarly uint64       `json:"TurnedAway"`
	Classes      []ClassState `json:"Classes"`
	Counts       Counts       `json:"Counts"`
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
	for _, cq := range q.classQueues {
		v.classes = append(v.classes, q.classView(cq, now, refusedTokens))
	}
	return v
}

func (q *Queue) classView(cq *classQueue, now time.Time, refusedTokens ferryid.Tokens) classView {
	cv := classView{class: cq.class.Name, maxTokens: cq.class.MaxTokens}
	if q.cfg.Policy == ferryservice.QueueFifo {
		return cv
	}
	for _, f := range cq.active {
		if wait, _ := q.predictWait(f.customer, cq); q.waitTooLong(cq, wait) {
			if cv.full == nil {
				cv.full = map[ferryid.CustomerName]bool{}
			}
			cv.full[f.customer] = true
		}
	}
	if len(cv.full) > 0 {
		cv.retry = q.retryAfter(&Item{Predicted: refusedTokens}, cq, now)
	}
	return cv
}

// refuses reports whether the item's customer is currently refused in its class, and when to retry.
func (v *view) refuses(it *Item, now time.Time) (time.Duration, bool) {
	if len(v.classes) == 0 || it.Resumed || now.Sub(v.at) > maxViewAge {
		return 0, false
	}
	for i := range v.classes {
		cv := &v.classes[i]
		if !cv.matches(it, i == len(v.classes)-1) {
			continue
		}
		return cv.retry, cv.full[it.Customer]
	}
	return 0, false
}

// matches reports whether the item certainly belongs to the class; last marks the last class.
func (cv *classView) matches(it *Item, last bool) bool {
	if it.Class != "" {
		return cv.class == it.Class
	}
	if it.Predicted > 0 {
		return last || it.Predicted <= cv.maxTokens
	}
	return it.MaxTokens > 0 && it.MaxTokens <= cv.maxTokens
}

// Snapshot returns the state of the queue.
func (q *Queue) Snapshot(now time.Time) Snapshot {
	s := Snapshot{At: now, Capacity: q.cfg.Capacity, Waiting: q.waiting, Running: q.running, Counts: q.counts}
	for _, cq := range q.classQueues {
		s.Classes = append(s.Classes, ClassState{
			Class:         cq.class.Name,
			Waiting:       cq.waiting,
			WaitingTokens: cq.backlog,
			Running:       cq.running,
			Reserved:      cq.reserved(q.cfg.Capacity),
		})
	}
	return s
}
