package ferrycapacity

import (
	"math"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestFit(t *testing.T) {
	of := func(p Point) float64 { return p.IdleBytes }
	for _, tc := range []struct {
		name        string
		points      Points
		base, slope float64
	}{
		{"no points", nil, 0, 0},
		{"one point", Points{{Nodes: 50, IdleBytes: 7}}, 7, 0},
		{"several points", Points{{Nodes: 50, IdleBytes: 150}, {Nodes: 100, IdleBytes: 250}, {Nodes: 200, IdleBytes: 450}}, 50, 2},
		{"points with fewer failure domains are ignored", Points{{Nodes: 9, IdleBytes: 1e6}, {Nodes: 100, IdleBytes: 250}, {Nodes: 200, IdleBytes: 450}}, 50, 2},
	} {
		t.Run(tc.name, func(t *testing.T) {
			l := tc.points.Fit(of)
			assert.Assert(t, math.Abs(l.Base-tc.base) < 1e-6 && math.Abs(l.Slope-tc.slope) < 1e-6, "%+v", l)
		})
	}
}

func TestMeasureReading(t *testing.T) {
	for _, tt := range []struct {
		nodes, runners int
		shared         bool
		maxAge         time.Duration
	}{{9, 24, true, 2 * time.Second}, {9, 40, false, 5 * time.Second}, {30, 137, false, 5 * time.Second}, {100, 457, false, 5 * time.Second}} {
		r := MeasureReading(tt.nodes, tt.runners, ReadCost{Bytes: 100})
		assert.Equal(t, r.Shared, tt.shared)
		assert.Assert(t, r.MaxAge > 0 && r.MaxAge <= tt.maxAge, "%+v", r)
		assert.Assert(t, r.Reads > 0 && r.Reads <= 10 && r.Bytes == 100*r.Reads, "%+v", r)
		assert.Assert(t, r.MaxEngineReads <= 10, "%+v", r)
	}
}

func TestMeasureNineNodes(t *testing.T) {
	p := Measure(9, 41)
	assert.Assert(t, p.MaxLinks <= 8, "%d links on one node, want at most 8", p.MaxLinks)
	assert.Assert(t, p.MaxPropagation < 2*time.Second, "propagation took %s, want less than 2 s", p.MaxPropagation)
	assert.Assert(t, p.MaxLoadBytes < targetBytes, "%.0f B/s on one node, want less than the target", p.MaxLoadBytes)
	assert.Assert(t, p.DomainLossDetection < 15*time.Second, "loss of a failure domain was detected after %s, want less than 15 s", p.DomainLossDetection)
	assert.Assert(t, p.RejoinTime < 30*time.Second, "rejoining took %s, want less than 30 s", p.RejoinTime)
	var out strings.Builder
	Points{p}.Print(&out, nil)
	assert.Assert(t, strings.Contains(out.String(), "| 9 | 41 |"))
}
