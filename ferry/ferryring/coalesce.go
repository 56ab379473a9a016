package ferryring

import "sync"

// Coalesce is a bounded queue that coalesces values by key.
// A new value replaces the queued one of the same key; a new key is refused when the queue is full.
type Coalesce[K comparable, V any] struct {
	mu     sync.Mutex
	size   int
	keys   []K
	values map[K]V
	ready  chan struct{}
}

// NewCoalesce returns a queue that holds at most size keys.
func NewCoalesce[K comparable, V any](size int) *Coalesce[K, V] {
	return &Coalesce[K, V]{size: size, values: map[K]V{}, ready: make(chan struct{}, 1)}
}

// Put queues a value or replaces the queued one of the key; it reports false for a new key if the queue is full.
func (q *Coalesce[K, V]) Put(k K, v V) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	if _, ok := q.values[k]; !ok {
		if len(q.keys) >= q.size {
			return false
		}
		q.keys = append(q.keys, k)
	}
	q.values[k] = v
	select {
	case q.ready <- struct{}{}:
	default:
	}
	return true
}

// Ready returns a channel that receives after values were queued.
func (q *Coalesce[K, V]) Ready() <-chan struct{} {
	return q.ready
}

// Take removes and returns all queued values, in the order in which their keys were first queued.
func (q *Coalesce[K, V]) Take() []V {
	q.mu.Lock()
	defer q.mu.Unlock()
	out := make([]V, 0, len(q.keys))
	for _, k := range q.keys {
		out = append(out, q.values[k])
	}
	q.keys = q.keys[:0]
	clear(q.values)
	return out
}

// Len returns the number of queued keys.
func (q *Coalesce[K, V]) Len() int {
	q.mu.Lock()
	defer q.mu.Unlock()
	return len(q.keys)
}
