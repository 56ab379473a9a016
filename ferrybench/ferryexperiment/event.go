package ferryexperiment

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

type submit struct{ call *call }

type wake struct {
	unit    *unit
	version int
}

type tick struct{}

type sample struct{}

type gather struct{}

type deliver struct {
	at    time.Duration
	loads []unitLoad
}

type fault struct{ index int }

type redistribute struct{}

type unitLoad struct {
	tokens  float64
	streams int
}

func (submit) isAction()       {}
func (wake) isAction()         {}
func (tick) isAction()         {}
func (sample) isAction()       {}
func (gather) isAction()       {}
func (deliver) isAction()      {}
func (fault) isAction()        {}
func (redistribute) isAction() {}

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
