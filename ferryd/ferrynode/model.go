package ferrynode

import (
	"context"

	"cactusferry.dev/ferry/ferryid"
	"cactusferry.dev/ferry/ferryoutcome"
	"cactusferry.dev/ferry/ferrypipeline"
	"cactusferry.dev/ferry/ferryqueue"
	"cactusferry.dev/ferry/ferryroute"
	"cactusferry.dev/ferry/ferryservice"
)

// unknownRate stands for the rate of an engine that has not been measured and whose document names none.
const unknownRate ferryid.TokensPerSecond = 1

// model is what a service of kind Model needs to run completions.
type model struct {
	pool   *ferrypipeline.Pool
	runner *ferrypipeline.Runner
}

func (s *services) newModel(d *ferryservice.Document, table *ferryroute.Table) (*model, error) {
	cfg, loads := planner(d, table)
	pool, err := ferrypipeline.NewPool(cfg, loads, s.clock)
	if err != nil {
		return nil, err
	}
	engines := &observedEngines{
		Client: s.engines, table: table,
		leaving: func(name ferryid.UpstreamName) { s.leaving(d.Service, name) },
	}
	return &model{pool: pool, runner: &ferrypipeline.Runner{
		Engines: engines, Picker: pool, Clock: s.clock, Log: s.events,
		Budget: ferrypipeline.NewRetryBudget(d.Limits.RetryShare, retryBurst),
	}}, nil
}

// set gives the pool a changed document and what is known of the engines now.
func (m *model) set(d *ferryservice.Document, table *ferryroute.Table) error {
	return m.pool.Set(planner(d, table))
}

// planner describes the engines to the pool; an engine the table would not choose gets no new work.
func planner(d *ferryservice.Document, table *ferryroute.Table) (ferrypipeline.PlannerConfig, []ferrypipeline.Load) {
	cfg := ferrypipeline.PlannerConfig{Layers: d.Model.Layers, Fixed: d.Pipelines}
	var loads []ferrypipeline.Load
	for _, c := range table.Snapshot().All() {
		cfg.Candidates = append(cfg.Candidates, ferrypipeline.Candidate{Name: c.Name, Address: c.Address, Domain: c.FailureDomain, Layers: c.Layers})
		loads = append(loads, ferrypipeline.Load{Rate: max(c.Rate, unknownRate), Avoid: c.State != ferryroute.StateLive && c.State != ferryroute.StateProbing})
	}
	return cfg, loads
}

// models admits calls and runs completions of all services.
type models struct{ node *Node }

func noService(d *ferryservice.Document) *ferryoutcome.Problem {
	return ferryoutcome.New(ferryoutcome.KindNotFound, ferryoutcome.NotRun, "There is no service %q here any more.", d.Service)
}

// Acquire waits for a slot of the service.
func (m *models) Acquire(ctx context.Context, d *ferryservice.Document, it ferryqueue.Item) (*ferryqueue.Grant, error) {
	sv, ok := m.node.services.get(d.Service)
	if !ok {
		return nil, noService(d)
	}
	return sv.admission.Acquire(ctx, it)
}

// Run generates one answer.
func (m *models) Run(ctx context.Context, d *ferryservice.Document, job ferrypipeline.Job, emit func(ferrypipeline.Token) error) (ferrypipeline.Result, error) {
	sv, ok := m.node.services.get(d.Service)
	if !ok {
		return ferrypipeline.Result{}, noService(d)
	}
	md := sv.model.Load()
	if md == nil {
		return ferrypipeline.Result{}, ferryoutcome.New(ferryoutcome.KindUnavailable, ferryoutcome.NotRun, "Service %q has no engines.", d.Service)
	}
	return md.runner.Run(ctx, job, emit)
}
