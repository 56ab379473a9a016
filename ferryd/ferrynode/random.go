package ferrynode

import (
	"math/rand/v2"
	"sync"

	"cactusferry.dev/ferry/ferryid"
	"cactusferry.dev/ferry/ferrypipeline"
)

const randomLoadRange = 1 << 20

// randomPicker selects a random chain of engines regardless of load; it is the baseline for measurements of the pool.
type randomPicker struct {
	mu      sync.Mutex
	planner *ferrypipeline.Planner
	cfg     ferrypipeline.PlannerConfig
	loads   []ferrypipeline.Load
}

func newRandomPicker(cfg ferrypipeline.PlannerConfig, loads []ferrypipeline.Load) (*randomPicker, error) {
	planner, err := ferrypipeline.NewPlanner(cfg)
	if err != nil {
		return nil, err
	}
	return &randomPicker{planner: planner, cfg: cfg, loads: loads}, nil
}

// Pick assigns a random load to each engine and selects the chain with the lowest load.
func (r *randomPicker) Pick(_ *ferrypipeline.Job, exclude []ferryid.UpstreamName) (ferrypipeline.Plan, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	excluded := make([]bool, len(r.loads))
	for i, c := range r.cfg.Candidates {
		r.loads[i].Rate = 1
		r.loads[i].Outstanding = ferryid.Tokens(rand.IntN(randomLoadRange))
		for _, name := range exclude {
			excluded[i] = excluded[i] || name == c.Name
		}
	}
	var plan ferrypipeline.Plan
	err := r.planner.Choose(r.loads, excluded, 1, &plan)
	return plan, err
}

// Done does nothing, because the picker keeps no accounts.
func (r *randomPicker) Done(ferrypipeline.Plan, ferryid.Tokens) {}
