package ferryroute

import (
	"testing"

	"gotest.tools/v3/assert"

	"cactusferry.dev/ferry/ferryservice"
)

func TestChooseAllocatesNothing(t *testing.T) {
	tb := table(48, Options{})
	s, w, r := tb.Snapshot(), &Work{Predicted: 100, Prefix: 3}, Rand(1)
	assert.Equal(t, testing.AllocsPerRun(1000, func() { Choose(s, w, &r) }), 0.0)
}

// BenchmarkChoose measures one choice among 48 upstreams.
func BenchmarkChoose(b *testing.B) {
	for _, bb := range []struct {
		name   string
		policy ferryservice.RoutePolicy
		opts   Options
	}{
		{"Random", ferryservice.RouteRandom, Options{}},
		{"TwoChoices", ferryservice.RouteLeast, Options{Choices: 2}},
		{"Scan", ferryservice.RouteLeast, Options{NoAffinity: true}},
		{"ScanAffinity", ferryservice.RouteLeast, Options{}},
	} {
		b.Run(bb.name, func(b *testing.B) {
			tb := NewTable(bb.opts)
			d := document(48)
			d.Policy.Route = bb.policy
			tb.SetDocument(d)
			s, w, r := tb.Snapshot(), &Work{Predicted: 100, Prefix: 3}, Rand(1)
			b.ReportAllocs()
			for b.Loop() {
				Choose(s, w, &r)
			}
		})
	}
}
