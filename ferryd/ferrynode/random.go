package ferrynode

import (
	"math/rand/v2"
	"sync"

	"cactusferry.dev/ferry/ferryid"
	"cactusferry.dev/ferry/ferrypipeline"
)

const randomWork = 1 << 20

// randomPicker chooses any chain of engines, whatever their work: the baseline that the pool is measured against.
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

// Pick gives every engine a random weight and takes the lightest chain.
func (r *randomPicker) Pick(_ *ferrypipeline.Job, exclude []ferryid.UpstreamName) (ferrypipeline.Plan, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	excluded := make([]bool, len(r.loads))
	for i, c := range r.cfg.Candidates {
		r.loads[i].Rate = 1
		r.loads[i].Outstanding = ferryid.Tokens(rand.IntN(randomWork))
		for _, name := range exclude {
			excluded[i] = excluded[i] || name == c.Name
		}
	}
	var plan ferrypipeline.Plan
	err := r.planner.Choose(r.loads, excluded, 1, &plan)
	return plan, err
}

// Done needs no account.
func (r *randomPicker) Done(ferrypipeline.Plan, ferryid.Tokens) {}
