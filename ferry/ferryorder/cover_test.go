package ferryorder

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"cactusferry.dev/ferry/ferryid"
)

// anyComplete reports whether the engines in service, except the given one, have all layers with the same weights.
// It is a brute-force oracle for coverage.
func (c *Core) anyComplete(without *engineState) bool {
	for _, r := range c.engines {
		if r != without && r.serves() && c.hasAllLayers(r.report.weights(), without) {
			return true
		}
	}
	return false
}

func (c *Core) hasAllLayers(w weights, without *engineState) bool {
	held := map[ferryid.Layer]bool{}
	for _, r := range c.engines {
		if r == without || !r.serves() || r.report.weights() != w {
			continue
		}
		for l := r.report.Layers.From; l < r.report.Layers.To; l++ {
			held[l] = true
		}
	}
	for l := range c.wanted.Layers {
		if !held[l] {
			return false
		}
	}
	return true
}

func TestCoverageMatchesBruteForce(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		c := NewCore(Pace{})
		c.wanted.Layers = 3
		for i := range rapid.IntRange(0, 6).Draw(rt, "engines") {
			from := rapid.IntRange(0, 3).Draw(rt, "from")
			ls := ferryid.LayerRange{From: ferryid.Layer(from), To: ferryid.Layer(rapid.IntRange(from, 4).Draw(rt, "to"))}
			t := Target{Version: rapid.SampledFrom([]string{"a", "b"}).Draw(rt, "version"), Layers: ls, State: StateLive}
			c.engines[ferryid.UpstreamName(fmt.Sprint(i))] = &engineState{read: true, report: Report{Target: t, Ready: rapid.IntRange(0, 4).Draw(rt, "ready") > 0}}
		}
		cover := c.coverage()
		for name, r := range c.engines {
			want := !r.serves() || c.anyComplete(r) || !c.anyComplete(nil)
			if got := cover.canLeave(r); got != want {
				rt.Fatalf("engine %s can leave service: %v, by brute force %v", name, got, want)
			}
			if rapid.Bool().Draw(rt, "leaves") && want {
				cover.remove(r)
				r.pending = true
			}
		}
	})
}
