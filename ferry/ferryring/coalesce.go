package ferryring

import "sync"

// Coalesce is a bounded queue by key: a newer value replaces the waiting one of the same key, and a new key is refused when full.
type Coalesce[K comparable, V any] struct {
	mu     sync.Mutex
	size   int
	order  []K
	values map[K]V
	ready  chan struct{}
}

// NewCoalesce returns a queue that holds at most size keys.
func NewCoalesce[K comparable, V any](size int) *Coalesce[K, V] {
	return &Coalesce[K, V]{size: size, values: map[K]V{}, ready: make(chan struct{}, 1)}
}

// Put sets the value waiting under the key and reports false if a new key finds the queue full.
func (q *Coalesce[K, V]) Put(k K, v V) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	if _, ok := q.values[k]; !ok {
		if len(q.order) >= q.size {
			return false
		}
		q.order = append(q.order, k)
	}
	q.values[k] = v
	select {
	case q.ready <- struct{}{}:
	default:
	}
	return true
}

// Ready receives after values were put.
func (q *Coalesce[K, V]) Ready() <-chan struct{} {
	return q.ready
}

// Take removes and returns all waiting values, in the order their keys first arrived.
func (q *Coalesce[K, V]) Take() []V {
	q.mu.Lock()
	defer q.mu.Unlock()
	out := make([]V, 0, len(q.order))
	for _, k := range q.order {
		out = append(out, q.values[k])
	}
	q.order = q.order[:0]
	clear(q.values)
	return out
}

// Len is the number of waiting keys.
func (q *Coalesce[K, V]) Len() int {
	q.mu.Lock()
	defer q.mu.Unlock()
	return len(q.order)
}
