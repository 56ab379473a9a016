package ferrystandengine

import (
	"container/heap"
	"context"
	"time"

	"github.com/jonboulle/clockwork"
)

const (
	waiterBuffer = 1024
	minWait      = time.Millisecond
)

// waiter is a stream that waits for a slot or for its step.
type waiter struct {
	priority int
	seq      uint64
	at       time.Time
	cost     time.Duration
	ready    chan struct{}
	ctx      context.Context
}

type waiters []*waiter

func (q waiters) Len() int { return len(q) }

func (q waiters) Less(i, j int) bool {
	if q[i].priority != q[j].priority {
		return q[i].priority < q[j].priority
	}
	return q[i].seq < q[j].seq
}

func (q waiters) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

// Push adds a waiter for container/heap.
func (q *waiters) Push(x any) { *q = append(*q, x.(*waiter)) }

// Pop removes the last waiter for container/heap.
func (q *waiters) Pop() any {
	last := len(*q) - 1
	w := (*q)[last]
	*q = (*q)[:last]
	return w
}

// scheduler simulates batching on the accelerator. Its goroutine assigns slots
// to streams and accelerator time to steps, lower priority numbers first.
type scheduler struct {
	clock     clockwork.Clock
	enter     chan *waiter
	leave     chan struct{}
	steps     chan *waiter
	free      int
	seq       uint64
	queue     waiters
	waiting   waiters
	busyUntil time.Time
}

func newScheduler(clock clockwork.Clock, slots int) *scheduler {
	return &scheduler{
		clock: clock,
		enter: make(chan *waiter, waiterBuffer),
		leave: make(chan struct{}, waiterBuffer),
		steps: make(chan *waiter, waiterBuffer),
		free:  slots,
	}
}

// slot waits for a free slot; done releases it.
func (s *scheduler) slot(ctx context.Context, priority int) (done func(), err error) {
	w := &waiter{priority: priority, ready: make(chan struct{}), ctx: ctx}
	select {
	case s.enter <- w:
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	select {
	case <-w.ready:
		return func() { s.leave <- struct{}{} }, nil
	case <-ctx.Done():
		go func() {
			<-w.ready
			s.leave <- struct{}{}
		}()
		return nil, ctx.Err()
	}
}

// step waits for the accelerator to start a step of the given cost, which then occupies it for that time.
func (s *scheduler) step(ctx context.Context, priority int, cost time.Duration) error {
	if cost <= 0 {
		return ctx.Err()
	}
	w := &waiter{priority: priority, at: s.clock.Now(), cost: cost, ready: make(chan struct{}), ctx: ctx}
	select {
	case s.steps <- w:
	case <-ctx.Done():
		return ctx.Err()
	}
	select {
	case <-w.ready:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (s *scheduler) run(ctx context.Context) {
	timer := s.clock.NewTimer(time.Hour)
	defer timer.Stop()
	for {
		s.admit()
		wait := s.startSteps(s.clock.Now())
		timer.Reset(wait)
		select {
		case <-ctx.Done():
			return
		case w := <-s.enter:
			s.push(&s.waiting, w)
		case <-s.leave:
			s.free++
		case w := <-s.steps:
			s.push(&s.queue, w)
		case <-timer.Chan():
		}
	}
}

func (s *scheduler) push(q *waiters, w *waiter) {
	s.seq++
	w.seq = s.seq
	heap.Push(q, w)
}

func (s *scheduler) admit() {
	for s.free > 0 && len(s.waiting) > 0 {
		s.free--
		close(heap.Pop(&s.waiting).(*waiter).ready)
	}
}

// startSteps starts the due steps and returns the time until the next one.
func (s *scheduler) startSteps(now time.Time) time.Duration {
	for len(s.queue) > 0 {
		if wait := s.busyUntil.Sub(now); wait >= minWait {
			return wait
		}
		w := heap.Pop(&s.queue).(*waiter)
		if w.ctx.Err() != nil {
			continue
		}
		if s.busyUntil.Before(w.at) {
			s.busyUntil = w.at
		}
		s.busyUntil = s.busyUntil.Add(w.cost)
		close(w.ready)
	}
	return time.Hour
}
