package ferryring

import "sync"

// DropOldest is a bounded ring buffer; when it is full, a new item overwrites the oldest.
type DropOldest[T any] struct {
	mu      sync.Mutex
	items   []T
	head    int
	n       int
	dropped uint64
}

// NewDropOldest returns a ring that holds at most size items.
func NewDropOldest[T any](size int) *DropOldest[T] {
	return &DropOldest[T]{items: make([]T, max(1, size))}
}

// Add appends an item and reports whether the oldest one was overwritten.
func (r *DropOldest[T]) Add(v T) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	at := (r.head + r.n) % len(r.items)
	r.items[at] = v
	if r.n < len(r.items) {
		r.n++
		return false
	}
	r.head = (r.head + 1) % len(r.items)
	r.dropped++
	return true
}

// Items returns a copy of the items, oldest first.
func (r *DropOldest[T]) Items() []T {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := make([]T, 0, r.n)
	for i := range r.n {
		out = append(out, r.items[(r.head+i)%len(r.items)])
	}
	return out
}

// Dropped returns the number of overwritten items.
func (r *DropOldest[T]) Dropped() uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.dropped
}
