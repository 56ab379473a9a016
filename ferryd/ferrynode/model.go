package ferrynode

import (
	"context"
	"reflect"
	"time"

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
	// cfg is what the pool was last given; it belongs to the registry's lock.
	cfg    ferrypipeline.PlannerConfig
	policy ferryservice.RoutePolicy
	pool   *ferrypipeline.Pool
	runner *ferrypipeline.Runner
}

func (s *services) newModel(sv *service, d *ferryservice.Document) (*model, error) {
	cfg, loads := s.planner(sv, d)
	pool, err := ferrypipeline.NewPool(cfg, loads, s.clock)
	if err != nil {
		return nil, err
	}
	var picker ferrypipeline.Picker = &subsetPicker{Pool: pool, widen: func() { s.widen(sv) }}
	if d.Policy.Route == ferryservice.RouteRandom {
		if picker, err = newRandomPicker(cfg, loads); err != nil {
			return nil, err
		}
	}
	engines := &observedEngines{
		Client: s.engines, table: sv.table, clock: s.clock,
		leaving: func(name ferryid.UpstreamName) { s.leaving(d.Service, name) },
	}
	return &model{cfg: cfg, policy: d.Policy.Route, pool: pool, runner: &ferrypipeline.Runner{
		Engines: engines, Picker: picker, Clock: s.clock, Log: s.events,
		Budget: ferrypipeline.NewRetryBudget(d.Limits.RetryShare, burst(loads)),
	}}, nil
}

// burst is how many streams may be moved at once: when a failure domain dies, one for each slot, since a caller that resumes a stream
// costs more than the entry that moves it.
func burst(loads []ferrypipeline.Load) int {
	n := 0
	for _, l := range loads {
		n += l.Slots
	}
	return max(retryBurst, n)
}

// outdated reports whether the model has to be made anew: for another policy, or for other engines where the policy keeps no account.
func (m *model) outdated(d *ferryservice.Document, cfg ferrypipeline.PlannerConfig) bool {
	if m.policy != d.Policy.Route {
		return true
	}
	return m.policy == ferryservice.RouteRandom && !reflect.DeepEqual(cfg, m.cfg)
}

// set gives the pool a changed set of engines; measured rates of those that stay are kept, and without a change only who is avoided.
func (m *model) set(cfg ferrypipeline.PlannerConfig, loads []ferrypipeline.Load) error {
	m.runner.Budget.SetBurst(burst(loads))
	if reflect.DeepEqual(cfg, m.cfg) {
		for i, c := range cfg.Candidates {
			m.pool.Avoid(c.Name, loads[i].Avoid)
			m.pool.SetSlots(c.Name, loads[i].Slots)
		}
		return nil
	}
	measured := map[ferryid.UpstreamName]ferryid.TokensPerSecond{}
	for i, l := range m.pool.Loads() {
		measured[m.cfg.Candidates[i].Name] = l.Rate
	}
	for i, c := range cfg.Candidates {
		if rate, ok := measured[c.Name]; ok {
			loads[i].Rate = rate
		}
	}
	if err := m.pool.Set(cfg, loads); err != nil {
		return err
	}
	m.cfg = cfg
	return nil
}

// planner describes the engines that this entry works to the pool; an engine the table would not choose gets no new work. The caller holds the lock.
func (s *services) planner(sv *service, d *ferryservice.Document) (ferrypipeline.PlannerConfig, []ferrypipeline.Load) {
	cfg := ferrypipeline.PlannerConfig{Layers: d.Model.Layers, Fixed: d.Pipelines}
	var loads []ferrypipeline.Load
	// Where nothing else holds a layer, engines that failed are better than none.
	none := sv.table.Snapshot().Slots() == 0
	for _, c := range s.worked(sv, d) {
		cfg.Candidates = append(cfg.Candidates, ferrypipeline.Candidate{
			Name: c.Name, Address: c.Address, Domain: c.FailureDomain, Layers: c.Layers,
			Incarnation: s.incarnations[upstreamKey(d.Service, c.Name)],
		})
		loads = append(loads, ferrypipeline.Load{
			Rate: max(c.Rate, unknownRate), Slots: sv.part.slots(c, len(s.members)), Avoid: avoided(c.State, none),
		})
	}
	return cfg, loads
}

// avoided reports whether an engine in this state gets no new work.
func avoided(s ferryroute.State, none bool) bool {
	switch s {
	case ferryroute.StateLive, ferryroute.StateProbing:
		return false
	case ferryroute.StateLeaving:
		return true
	}
	return !none
}

// models admits calls and runs completions of all services.
type models struct{ node *Node }

func noService(d *ferryservice.Document) *ferryoutcome.Problem {
	return ferryoutcome.New(ferryoutcome.KindNotFound, ferryoutcome.NotRun, "There is no service %q here any more.", d.Service)
}

// noUpstreamRetry is how long a caller should wait for an upstream to come.
const noUpstreamRetry = 2 * time.Second

// Acquire waits for a slot of the service, or refuses at once where no upstream takes work.
func (m *models) Acquire(ctx context.Context, d *ferryservice.Document, it ferryqueue.Item) (*ferryqueue.Grant, error) {
	sv, ok := m.node.services.get(d.Service)
	if !ok {
		return nil, noService(d)
	}
	if d.Retired && !it.Resumed {
		return nil, ferryoutcome.New(ferryoutcome.KindNotFound, ferryoutcome.NotRun, "Service %q is retired and takes no new work.", d.Service)
	}
	if sv.slots() == 0 {
		return nil, ferryoutcome.New(ferryoutcome.KindUnavailable, ferryoutcome.NotRun,
			"No upstream of service %q takes work now.", d.Service).After(noUpstreamRetry)
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
