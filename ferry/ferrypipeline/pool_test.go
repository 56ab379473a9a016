package ferrypipeline_test

import (
	"testing"

	"github.com/jonboulle/clockwork"
	"gotest.tools/v3/assert"

	"cactusferry.dev/ferry/ferryengine"
	"cactusferry.dev/ferry/ferryid"
	"cactusferry.dev/ferry/ferrypipeline"
)

func TestLiveReportDoesNotEndAvoidance(t *testing.T) {
	layers := ferryid.LayerRange{To: 4}
	cfg := ferrypipeline.PlannerConfig{Layers: 4, Candidates: ferrypipeline.Candidates{
		{Name: "a", Address: "127.0.0.1:1", Layers: layers}, {Name: "b", Address: "127.0.0.1:2", Layers: layers},
	}}
	clock := clockwork.NewFakeClock()
	pool, err := ferrypipeline.NewPool(cfg, []ferrypipeline.Load{{Rate: 100}, {Rate: 1}}, clock)
	assert.NilError(t, err)
	report := func(s ferryengine.State) {
		assert.NilError(t, pool.Report(ferryengine.Load{Name: "a", Layers: layers, State: s, At: clock.Now()}))
	}
	pick := func() ferryid.UpstreamName {
		plan, err := pool.Pick(&ferrypipeline.Job{MaxTokens: 10}, nil)
		assert.NilError(t, err)
		defer pool.Done(plan, 10)
		return plan.Stages[0].Name
	}
	pool.Avoid("a", true)
	report(ferryengine.StateLive)
	assert.Equal(t, pick(), ferryid.UpstreamName("b"), "a live report ended the avoidance")
	pool.Avoid("a", false)
	report(ferryengine.StateLeaving)
	assert.Equal(t, pick(), ferryid.UpstreamName("b"), "an engine that reports leaving was picked")
	report(ferryengine.StateLive)
	assert.Equal(t, pick(), ferryid.UpstreamName("b"), "a live report ended the avoidance after leaving")
	pool.Avoid("a", false)
	assert.Equal(t, pick(), ferryid.UpstreamName("a"))
}
