package ferrypipeline_test

import (
	"testing"

	"github.com/jonboulle/clockwork"
	"gotest.tools/v3/assert"

	"cactusferry.dev/ferry/ferryid"
	"cactusferry.dev/ferry/ferrypipeline"
)

func TestReportedWorkOfOthersCounts(t *testing.T) {
	layers := ferryid.LayerRange{To: 4}
	cfg := ferrypipeline.PlannerConfig{Layers: 4, Candidates: ferrypipeline.Candidates{
		{Name: "a", Address: "127.0.0.1:1", Layers: layers}, {Name: "b", Address: "127.0.0.1:2", Layers: layers},
	}}
	pool, err := ferrypipeline.NewPool(cfg, []ferrypipeline.Load{{Rate: 100}, {Rate: 90}}, clockwork.NewFakeClock())
	assert.NilError(t, err)
	pick := func() ferryid.UpstreamName {
		plan, err := pool.Pick(&ferrypipeline.Job{MaxTokens: 10}, nil)
		assert.NilError(t, err)
		defer pool.Done(plan, 10)
		return plan.Stages[0].Name
	}
	assert.Equal(t, pick(), ferryid.UpstreamName("a"))
	pool.Report("a", 500)
	assert.Equal(t, pick(), ferryid.UpstreamName("b"), "others have given a much work")
	pool.Report("a", 0)
	assert.Equal(t, pick(), ferryid.UpstreamName("a"))
	pool.Report("unknown", 5)
}
