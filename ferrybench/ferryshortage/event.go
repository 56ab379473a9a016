package ferryshortage

import (
	"container/heap"
	"time"
)

// event is an action due at a time; seq orders events of the same time.
type event struct {
	at  time.Duration
	seq int
	do  action
}

// action is the effect of an event.
type action interface{ isAction() }

// submit is a try of a call at its entry.
type submit struct{ call *call }

// send is a request for the call's memory at an engine of its next stage.
type send struct{ call *call }

// end is the end of a response.
type end struct{ call *call }

// read takes the engines' reports, and deliver hands them to the entries.
type read struct{}

type deliver struct {
	at      time.Duration
	used    []int64
	running []int
}

func (submit) isAction()  {}
func (send) isAction()    {}
func (end) isAction()     {}
func (read) isAction()    {}
func (deliver) isAction() {}

type eventHeap []event

func (h eventHeap) Len() int { return len(h) }

func (h eventHeap) Less(i, j int) bool {
	return h[i].at < h[j].at || (h[i].at == h[j].at && h[i].seq < h[j].seq)
}

func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push adds an event.
func (h *eventHeap) Push(x any) { *h = append(*h, x.(event)) }

// Pop removes the last event.
func (h *eventHeap) Pop() any {
	last := len(*h) - 1
	e := (*h)[last]
	*h = (*h)[:last]
	return e
}

func (s *simulation) after(d time.Duration, a action) {
	s.seq++
	heap.Push(&s.events, event{at: s.now + d, seq: s.seq, do: a})
}
