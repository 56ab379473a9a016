package ferryroom

import (
	"math"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"cactusferry.dev/ferry/ferryid"
)

// engine returns an engine of 1,000 tokens on each of its layers, of which used are in use.
func engine(from, to ferryid.Layer, used int64, running int) Engine {
	n := int64(to - from)
	return Engine{Layers: ferryid.LayerRange{From: from, To: to}, Used: used * n, Room: 1000 * n, Running: running, Age: time.Second}
}

// TestLeastRoom guards against a room that is averaged over layers: a request needs memory on all of them.
func TestLeastRoom(t *testing.T) {
	es := []Engine{engine(0, 40, 100, 0), engine(40, 80, 700, 2), engine(40, 80, 300, 0), engine(30, 40, 0, 0)}
	r := Of(80, 50, es)
	assert.DeepEqual(t, r, Room{Fill: 0.55, Layer: 40, Free: 900, Age: time.Second, Known: true})
	r = Of(80, 1000, es)
	assert.DeepEqual(t, r, Room{Fill: 1.5, Layer: 40, Age: time.Second, Known: true})
}

// TestInvalidReports guards against numbers that no engine can have: they must not make the room larger or
// smaller than the valid reports do.
func TestInvalidReports(t *testing.T) {
	valid := engine(0, 80, 500, 0)
	change := func(f func(*Engine)) Engine {
		e := engine(0, 80, 900, 3)
		f(&e)
		return e
	}
	for name, e := range map[string]Engine{
		"negative used":    change(func(e *Engine) { e.Used = -1 }),
		"least used":       change(func(e *Engine) { e.Used = math.MinInt64 }),
		"zero room":        change(func(e *Engine) { e.Room = 0 }),
		"negative room":    change(func(e *Engine) { e.Room = -5 }),
		"negative running": change(func(e *Engine) { e.Running = -1 }),
		"negative age":     change(func(e *Engine) { e.Age = -time.Second }),
		"old":              change(func(e *Engine) { e.Age = MaxAge }),
	} {
		t.Run(name, func(t *testing.T) {
			assert.DeepEqual(t, Of(80, 10, []Engine{valid, e}), Of(80, 10, []Engine{valid}))
			assert.Equal(t, Of(80, 10, []Engine{valid, e, e}).Known, false, "two of three engines are not known")
		})
	}
	over := change(func(e *Engine) { e.Used, e.Running = 5*e.Room, 0 })
	assert.Equal(t, Of(80, 0, []Engine{over}).Fill, 1.0, "more used than room counts as full")
	assert.Equal(t, Of(80, -7, []Engine{valid}).Fill, 0.5, "a negative growth counts as 0")
}

// TestLayerWithoutEngine guards against refusing all requests while too few engines are known to tell whether a
// layer is held.
func TestLayerWithoutEngine(t *testing.T) {
	first, last := engine(0, 40, 100, 0), engine(60, 80, 100, 0)
	lost := engine(40, 60, 0, 0)
	lost.Age = time.Minute
	assert.DeepEqual(t, Of(80, 0, []Engine{first, last, lost}), Room{Fill: 1, Layer: 40, Age: time.Second, Known: true})
	assert.DeepEqual(t, Of(80, 0, []Engine{first, lost, lost}), Room{})
	assert.DeepEqual(t, Of(80, 0, nil), Room{})
	assert.DeepEqual(t, Of(0, 0, []Engine{first}), Room{})
}

// TestRangesBeyondTheModel guards against an index out of range, and against an engine without layers that counts
// as unknown.
func TestRangesBeyondTheModel(t *testing.T) {
	r := Of(80, 0, []Engine{engine(0, 200, 500, 0), {Layers: ferryid.LayerRange{From: 90, To: 100}}, {Layers: ferryid.LayerRange{From: 9, To: 3}}})
	assert.DeepEqual(t, r, Room{Fill: 0.5, Free: 500, Age: time.Second, Known: true})
}

// TestOfReusesBuffer guards against an allocation for each set of reports and against sums left over from the last.
func TestOfReusesBuffer(t *testing.T) {
	var c Calculator
	es := engines(400)
	assert.DeepEqual(t, c.Of(80, 50, es), Of(80, 50, es))
	assert.DeepEqual(t, c.Of(40, 50, es), Of(40, 50, es))
	assert.Equal(t, testing.AllocsPerRun(10, func() { c.Of(80, 50, es) }), 0.0)
}

// engines returns engines that hold 10 to 40 of 80 layers.
func engines(n int) []Engine {
	out := make([]Engine, n)
	for i := range out {
		from := ferryid.Layer(i * 7 % 70)
		out[i] = engine(from, min(80, from+ferryid.Layer(10+i%31)), int64(i*13%1000), i%20)
	}
	return out
}

func BenchmarkRoom(b *testing.B) {
	var c Calculator
	es := engines(400)
	b.ReportAllocs()
	for b.Loop() {
		c.Of(80, 50, es)
	}
}
