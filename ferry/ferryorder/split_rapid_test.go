package ferryorder

import (
	"context"
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"cactusferry.dev/ferry/ferryid"
)

// groupRead is a group read by another entry, whose answer can be delayed.
type groupRead struct {
	from int
	ask  GroupAsk
	done bool
	ans  GroupAnswer
	err  error
}

// groupModel is an orderModel whose engines are read by entries that answer late and may have older documents.
type groupModel struct {
	*orderModel
	groupReads []*groupRead
	elapsed    time.Duration
}

func (w *groupModel) ask(h int) {
	for _, a := range w.cores[h].Due(w.now) {
		w.groupReads = append(w.groupReads, &groupRead{from: h, ask: a})
	}
}

// execute runs a group read at a reader that has the document of generation g.
func (w *groupModel) execute(r *groupRead, g int, unread bool) {
	r.done = true
	r.ans, r.err = ReadGroup(context.Background(), wantedAt(g), r.ask, func(_ context.Context, address string) (Report, error) {
		if unread {
			return Report{}, fmt.Errorf("no answer")
		}
		for i, wanted := range wantedAt(1).Engines {
			if wanted.Address == address {
				return w.engines[i].report, nil
			}
		}
		return Report{}, fmt.Errorf("no engine at %s", address)
	})
}

func (w *groupModel) answer(i int) {
	r := w.groupReads[i]
	w.groupReads = append(w.groupReads[:i:i], w.groupReads[i+1:]...)
	if !r.done || r.err != nil {
		w.cores[r.from].AskFailed(r.ask, w.now)
		return
	}
	w.cores[r.from].ApplyAnswer(r.ask, r.ans, w.now)
}

// splitReads replaces the atomic read of all engines by separate actions for ask, read and answer.
func (w *groupModel) splitReads(acts map[string]func(*rapid.T), chooseEntry func(*rapid.T) int) {
	pick := func(rt *rapid.T) int {
		if len(w.groupReads) == 0 {
			rt.Skip()
		}
		return rapid.IntRange(0, len(w.groupReads)-1).Draw(rt, "reading")
	}
	delete(acts, "read")
	acts["ask"] = func(rt *rapid.T) { w.ask(chooseEntry(rt)) }
	acts["carry out"] = func(rt *rapid.T) {
		r := w.groupReads[pick(rt)]
		if r.done {
			rt.Skip()
		}
		g := max(1, w.generation-rapid.IntRange(0, 1).Draw(rt, "behind"))
		w.execute(r, g, rapid.IntRange(0, 9).Draw(rt, "unread") == 0)
	}
	acts["answer"] = func(rt *rapid.T) { w.answer(pick(rt)) }
	acts["round"] = func(rt *rapid.T) {
		h := chooseEntry(rt)
		w.ask(h)
		for len(w.groupReads) > 0 {
			w.execute(w.groupReads[0], w.generation, false)
			w.answer(0)
		}
		w.decide(h)
	}
	acts["time"] = func(rt *rapid.T) {
		d := time.Duration(rapid.IntRange(1, 2000).Draw(rt, "ms")) * time.Millisecond
		if w.elapsed += d; w.elapsed < orderTimeout {
			w.now = w.now.Add(d)
		}
	}
}

func TestLastCopyStaysInServiceWhenOthersReadLate(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(rt *rapid.T) {
		w := &groupModel{orderModel: newOrderModel(func(int) bool { return true })}
		w.cores[w.holder].bucket.pace = Pace{}
		acts := w.actions(false)
		w.splitReads(acts, func(*rapid.T) int { return w.holder })
		acts[""] = func(rt *rapid.T) {
			if !w.serving() {
				rt.Fatalf("no complete pipeline is in service")
			}
		}
		rt.Repeat(acts)
		w.settle(rt)
	})
}

func TestStaleHoldersNeverDecideTheEndWhenOthersReadLate(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(rt *rapid.T) {
		w := &groupModel{orderModel: newOrderModel(func(i int) bool { return i%2 == 0 })}
		highest := make([]ferryid.Fence, len(w.engines))
		acts := w.actions(true)
		w.splitReads(acts, func(rt *rapid.T) int { return rapid.IntRange(0, 1).Draw(rt, "entry") })
		acts[""] = func(rt *rapid.T) {
			for i, e := range w.engines {
				if e.checks && e.highest < highest[i] {
					rt.Fatalf("engine %d accepted fencing number %d after %d", i, e.highest, highest[i])
				}
				highest[i] = e.highest
			}
		}
		rt.Repeat(acts)
		w.settle(rt)
	})
}

// manyEngines returns a wanted state with n engines, each with half of the layers.
func manyEngines(n int) Wanted {
	w := Wanted{Service: "herd-llm", Generation: 1, Layers: 4}
	for i := range n {
		t := Target{Model: "m", Version: "v1", Layers: halves[i%2], State: StateLive}
		w.Engines = append(w.Engines, WantedEngine{Name: ferryid.UpstreamName(fmt.Sprint("e", i)), Address: fmt.Sprint(i), Target: t})
	}
	return w
}

func TestIdleReadRate(t *testing.T) {
	for _, tc := range []struct {
		engines, readings int // expected within 20 s
	}{
		{4, 40}, {40, 400}, {160, 400}, {1600, 3200},
	} {
		t.Run(fmt.Sprint(tc.engines), func(t *testing.T) {
			now := time.Unix(1_800_000_000, 0)
			c := NewCore(Pace{})
			c.SetWanted(manyEngines(tc.engines))
			c.SetFence(1)
			seen := 0
			for range 120 {
				now = now.Add(minInterval)
				for _, a := range c.Due(now) {
					for i := range GroupSize {
						if a.Engines.has(i) && now.Sub(time.Unix(1_800_000_000, 0)) > 10*time.Second {
							seen++
						}
					}
					c.ApplyAnswer(a, GroupAnswer{}, now)
				}
			}
			assert.Assert(t, seen <= tc.readings && seen >= tc.readings*9/10, "%d readings", seen)
		})
	}
}

func TestReaderWithDifferentDocumentRefuses(t *testing.T) {
	now := time.Unix(1_800_000_000, 0)
	c := NewCore(Pace{})
	c.SetWanted(wantedAt(2))
	c.SetFence(1)
	asks := c.Due(now)
	assert.Equal(t, len(asks), 1)
	_, err := ReadGroup(t.Context(), wantedAt(1), asks[0], nil)
	assert.ErrorType(t, err, &GroupError{})
	asks[0].Group = -1
	_, err = ReadGroup(t.Context(), wantedAt(2), asks[0], nil)
	assert.ErrorType(t, err, &GroupError{})
}
