package ferryshortage

import (
	"os"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"cactusferry.dev/ferrybench/ferryexperiment"
	"cactusferry.dev/ferrybench/ferryworkload"
)

// TestMemoryIsReturned guards against figures of a run that lost calls or memory: every call ends once, and no engine
// holds memory or more than it has.
func TestMemoryIsReturned(t *testing.T) {
	b, err := os.ReadFile("../workloads/shortage.toml")
	assert.NilError(t, err)
	w, err := ferryworkload.Decode("shortage.toml", b)
	assert.NilError(t, err)
	w.Duration, w.Warmup = ferryworkload.Duration(20*time.Second), 0
	w.Phases = ferryworkload.Phases{{Load: 1.5}}
	as := w.Arrivals()
	for _, p := range []ferryexperiment.Policy{ferryexperiment.Baseline, ferryexperiment.Present} {
		s := newSimulation(w, as, p)
		s.run()
		g := &s.result.All
		assert.Equal(t, g.InTime+g.Late+g.Refused, len(as))
		assert.Assert(t, s.result.Full > 0 && s.result.Used > 0.5 && s.result.Used <= 1, "%d full, %v used", s.result.Full, s.result.Used)
		for i, e := range s.engines {
			assert.Equal(t, e.Used, int64(0), "engine %d", i)
			assert.Equal(t, e.Running, 0, "engine %d", i)
		}
		assert.DeepEqual(t, Run(w, as, p).Seconds[5].Served, s.result.Seconds[5].Served)
	}
}
