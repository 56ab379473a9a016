package ferryqueue

import (
	"container/heap"

	"cactusferry.dev/ferry/ferryid"
)

// flow is the FIFO queue of one customer in one class.
type flow struct {
	customer   ferryid.CustomerName
	weight     float64
	start      float64
	head, tail *queueItem
	n          int
	backlog    ferryid.Tokens
	running    int
	index      int
}

func (f *flow) pushBack(e *queueItem) {
	e.prev, e.next = f.tail, nil
	if f.tail == nil {
		f.head = e
	} else {
		f.tail.next = e
	}
	f.tail = e
	f.n++
	f.backlog += e.Predicted
}

func (f *flow) pushFront(e *queueItem) {
	e.prev, e.next = nil, f.head
	if f.head == nil {
		f.tail = e
	} else {
		f.head.prev = e
	}
	f.head = e
	f.n++
	f.backlog += e.Predicted
}

func (f *flow) remove(e *queueItem) {
	if e.prev == nil {
		f.head = e.next
	} else {
		e.prev.next = e.next
	}
	if e.next == nil {
		f.tail = e.prev
	} else {
		e.next.prev = e.prev
	}
	e.prev, e.next = nil, nil
	f.n--
	f.backlog -= e.Predicted
}

// flowHeap is a heap of the flows with waiting work, ordered by virtual start time.
type flowHeap []*flow

func (h flowHeap) Len() int           { return len(h) }
func (h flowHeap) Less(i, j int) bool { return h[i].start < h[j].start }

func (h flowHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = i, j
}

// Push implements heap.Interface.
func (h *flowHeap) Push(x any) {
	f := x.(*flow)
	f.index = len(*h)
	*h = append(*h, f)
}

// Pop implements heap.Interface.
func (h *flowHeap) Pop() any {
	last := len(*h) - 1
	f := (*h)[last]
	(*h)[last] = nil
	*h = (*h)[:last]
	f.index = -1
	return f
}

func (h *flowHeap) add(f *flow)    { heap.Push(h, f) }
func (h *flowHeap) remove(f *flow) { heap.Remove(h, f.index) }
func (h *flowHeap) update(f *flow) { heap.Fix(h, f.index) }
