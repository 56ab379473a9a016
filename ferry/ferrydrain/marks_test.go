package ferrydrain

import (
	"fmt"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"cactusferry.dev/ferry/ferryid"
)

// exchange synchronizes two sets in both directions, as linked peers do.
func exchange(tb rapid.TB, a, b *Marks) {
	for _, p := range [][2]*Marks{{a, b}, {b, a}} {
		for _, m := range p[0].Missing(p[1].Digest()) {
			if _, err := p[1].Apply(m); err != nil {
				tb.Fatalf("mark from a linked peer refused: %v", err)
			}
		}
	}
}

func TestMarksMergeInAnyOrder(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		clock := clockwork.NewFakeClock()
		var views []*Marks
		for range 3 {
			views = append(views, NewMarks(clock))
		}
		marked := map[ferryid.Incarnation]bool{}
		pick := func(rt *rapid.T) *Marks { return views[rapid.IntRange(0, 2).Draw(rt, "entry")] }
		id := func(rt *rapid.T) ferryid.Incarnation {
			return ferryid.Incarnation(fmt.Sprint("u", rapid.IntRange(1, 3).Draw(rt, "incarnation")))
		}
		rt.Repeat(map[string]func(*rapid.T){
			"mark": func(rt *rapid.T) {
				i := id(rt)
				marked[i] = true
				n := pick(rt)
				n.Mark("s", "e", i, SourceUpstream)
				assert.Assert(rt, n.Leaving("s", "e", i))
			},
			"list":     func(rt *rapid.T) { pick(rt).Mark("s", "e", "", SourceList) },
			"operator": func(rt *rapid.T) { pick(rt).Mark("s", "e", "", SourceOperator) },
			"clear":    func(rt *rapid.T) { pick(rt).Clear("s", "e") },
			"seen":     func(rt *rapid.T) { pick(rt).Seen("s", "e", id(rt)) },
			"exchange": func(rt *rapid.T) { exchange(rt, pick(rt), pick(rt)) },
			"time":     func(*rapid.T) { clock.Advance(time.Second) },
		})
		for _, p := range [][2]int{{0, 1}, {1, 2}, {0, 1}} {
			exchange(rt, views[p[0]], views[p[1]])
		}
		for _, n := range views {
			assert.DeepEqual(rt, n.All(), views[0].All())
			for i := range marked {
				assert.Assert(rt, n.Leaving("s", "e", i))
			}
		}
	})
}

func TestClearOnEntryWithSlowClock(t *testing.T) {
	fast, slow := clockwork.NewFakeClock(), clockwork.NewFakeClock()
	fast.Advance(30 * time.Second)
	a, b := NewMarks(fast), NewMarks(slow)
	a.Mark("s", "e", "", SourceOperator)
	exchange(t, a, b)
	b.Clear("s", "e")
	exchange(t, a, b)
	assert.Assert(t, !a.Leaving("s", "e", "u1") && !b.Leaving("s", "e", "u1"))
}

func TestNewIncarnationIsNotLeaving(t *testing.T) {
	ms := NewMarks(clockwork.NewFakeClock())
	ms.Seen("s", "e", "u1")
	ms.Mark("s", "e", "", SourceList)
	assert.Assert(t, ms.Leaving("s", "e", "u1"))
	ms.Seen("s", "e", "u2")
	assert.Assert(t, !ms.Leaving("s", "e", "u2"))
	assert.Assert(t, ms.Leaving("s", "e", "u1"))
}

// TestMarkSpreadsOverARingIn5Seconds checks that digests once per second spread a mark over nine entries within 5 s.
// A ring is the worst overlay, and all pushes are lost.
func TestMarkSpreadsOverARingIn5Seconds(t *testing.T) {
	clock := clockwork.NewFakeClock()
	var views []*Marks
	for range 9 {
		views = append(views, NewMarks(clock))
	}
	views[0].Mark("s", "e", "u1", SourceUpstream)
	for range 5 {
		clock.Advance(time.Second)
		before := make([][]byte, len(views))
		for i, n := range views {
			before[i] = n.Digest()
		}
		for i, n := range views {
			for _, k := range []int{(i + 1) % 9, (i + 8) % 9} {
				for _, m := range n.Missing(before[k]) {
					if len(before[i]) > 0 {
						_, err := views[k].Apply(m)
						assert.NilError(t, err)
					}
				}
			}
		}
	}
	for _, n := range views {
		assert.Assert(t, n.Leaving("s", "e", "u1"))
	}
}

func FuzzMark(f *testing.F) {
	f.Add(Mark{Service: "s", Upstream: "e", Incarnation: "u", Source: SourceList, Leaving: true, At: 1}.encode())
	f.Fuzz(func(t *testing.T, b []byte) {
		ms := NewMarks(clockwork.NewFakeClock())
		changed, err := ms.Apply(b)
		assert.Assert(t, err == nil || !changed && len(ms.All()) == 0)
		_ = ms.Missing(b)
	})
}

func BenchmarkLeaving(b *testing.B) {
	ms := NewMarks(clockwork.NewFakeClock())
	for i := range 100 {
		ms.Mark("s", ferryid.UpstreamName(fmt.Sprint("e", i)), "u", SourceList)
	}
	for b.Loop() {
		ms.Leaving("s", "e7", "u2")
	}
}

// TestMarksHaveATotalOrder checks that of two different marks with one key exactly one replaces the other.
// The marks of two entries then do not depend on the order of arrival.
func TestMarksHaveATotalOrder(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		draw := func(name string) Mark {
			m := Mark{Service: "s", Upstream: "e", Source: Source(rapid.IntRange(1, 2).Draw(rt, name))}
			m.At = int64(rapid.IntRange(1, 2).Draw(rt, name))
			m.Incarnation = ferryid.Incarnation(rapid.SampledFrom([]string{"", "u"}).Draw(rt, name))
			m.Leaving = m.Incarnation != "" || rapid.Bool().Draw(rt, name)
			return m
		}
		a, b := draw("a"), draw("b")
		if a.key() == b.key() && a != b {
			assert.Assert(rt, a.replaces(b) != b.replaces(a))
		}
	})
}
