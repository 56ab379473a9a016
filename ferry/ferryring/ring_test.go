package ferryring

import (
	"testing"

	"gotest.tools/v3/assert"
)

func TestCoalesceKeepsNewestValue(t *testing.T) {
	q := NewCoalesce[string, int](2)
	assert.Assert(t, q.Put("a", 1))
	assert.Assert(t, q.Put("b", 2))
	assert.Assert(t, q.Put("a", 3))
	assert.Assert(t, !q.Put("c", 4), "a new key must be refused when full")
	<-q.Ready()
	assert.DeepEqual(t, q.Take(), []int{3, 2})
	assert.Equal(t, q.Len(), 0)
}

func TestDropOldestCounts(t *testing.T) {
	r := NewDropOldest[int](2)
	for i := range 5 {
		r.Add(i)
	}
	assert.DeepEqual(t, r.Items(), []int{3, 4})
	assert.Equal(t, r.Dropped(), uint64(3))
}
