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

// defaultRate is the assumed rate of an engine that has no measured rate and none in the document.
const defaultRate ferryid.TokensPerSecond = 1

// model holds the engine pool and runner of a service of kind Model.
type model struct {
	// cfg is the current configuration of the pool, guarded by services.mu.
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
		onLeaving: func(name ferryid.UpstreamName) { s.onLeaving(d.Service, name) },
	}
	return &model{cfg: cfg, policy: d.Policy.Route, pool: pool, runner: &ferrypipeline.Runner{
		Engines: engines, Picker: picker, Clock: s.clock, Log: s.events,
		Budget: ferrypipeline.NewRetryBudget(d.Limits.RetryShare, burstFor(loads)),
	}}, nil
}

// burstFor returns how many streams may fail over at once. It allows one per slot, for the loss of a failure domain,
// because a resume by the caller costs more than a failover by the entry.
func burstFor(loads []ferrypipeline.Load) int {
	n := 0
	for _, l := range loads {
		n += l.Slots
	}
	return max(minRetryBurst, n)
}

// needsRebuild reports whether the model must be created again: after a change of the policy, or after a change of the
// engines with the random policy, whose picker has a fixed set of engines.
func (m *model) needsRebuild(d *ferryservice.Document, cfg ferrypipeline.PlannerConfig) bool {
	if m.policy != d.Policy.Route {
		return true
	}
	return m.policy == ferryservice.RouteRandom && !reflect.DeepEqual(cfg, m.cfg)
}

// update changes the pool's set of engines and keeps the measured rates of the remaining ones.
// If the set is unchanged, it updates only the avoided engines and the slots.
func (m *model) update(cfg ferrypipeline.PlannerConfig, loads []ferrypipeline.Load) error {
	m.runner.Budget.SetBurst(burstFor(loads))
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

// planner returns the pool configuration for the engines assigned to this entry; the caller holds s.mu.
// Engines that the routing table would not choose are marked as avoided.
func (s *services) planner(sv *service, d *ferryservice.Document) (ferrypipeline.PlannerConfig, []ferrypipeline.Load) {
	cfg := ferrypipeline.PlannerConfig{Layers: d.Model.Layers, Fixed: d.Pipelines}
	var loads []ferrypipeline.Load
	// If no other engine has a layer, failed engines are still tried.
	noneUsable := sv.table.Snapshot().Slots() == 0
	for _, c := range s.assignedEngines(sv, d) {
		cfg.Candidates = append(cfg.Candidates, ferrypipeline.Candidate{
			Name: c.Name, Address: c.Address, Domain: c.FailureDomain, Layers: c.Layers,
			Incarnation: s.incarnations[upstreamKey(d.Service, c.Name)],
		})
		loads = append(loads, ferrypipeline.Load{
			Rate: max(c.Rate, defaultRate), Slots: sv.subset.slots(c, len(s.members)), Avoid: avoided(c.State, noneUsable),
		})
	}
	return cfg, loads
}

// avoided reports whether an engine in the given state gets no new work.
func avoided(s ferryroute.State, noneUsable bool) bool {
	switch s {
	case ferryroute.StateLive, ferryroute.StateProbing:
		return false
	case ferryroute.StateLeaving:
		return true
	}
	return !noneUsable
}

// models admits calls and runs completions for all services.
type models struct{ node *Node }

func unknownService(d *ferryservice.Document) *ferryoutcome.Problem {
	return ferryoutcome.New(ferryoutcome.KindNotFound, ferryoutcome.NotRun, "There is no service %q here any more.", d.Service)
}

// noUpstreamRetry is the Retry-After of refusals while no upstream takes work.
const noUpstreamRetry = 2 * time.Second

// Acquire waits for a slot of the service; it refuses at once if no upstream takes work.
func (m *models) Acquire(ctx context.Context, d *ferryservice.Document, it ferryqueue.Item) (*ferryqueue.Grant, error) {
	sv, ok := m.node.services.get(d.Service)
	if !ok {
		return nil, unknownService(d)
	}
	if d.Retired && !it.Resumed {
		return nil, ferryoutcome.New(ferryoutcome.KindNotFound, ferryoutcome.NotRun, "Service %q is retired and takes no new work.", d.Service)
	}
	if sv.slots() == 0 {
		return nil, ferryoutcome.New(ferryoutcome.KindUnavailable, ferryoutcome.NotRun,
			"No upstream of service %q takes work now.", d.Service).WithRetryAfter(noUpstreamRetry)
	}
	return sv.admission.Acquire(ctx, it)
}

// Run runs one completion and passes its tokens to emit.
func (m *models) Run(ctx context.Context, d *ferryservice.Document, job ferrypipeline.Job, emit func(ferrypipeline.Token) error) (ferrypipeline.Result, error) {
	sv, ok := m.node.services.get(d.Service)
	if !ok {
		return ferrypipeline.Result{}, unknownService(d)
	}
	md := sv.model.Load()
	if md == nil {
		return ferrypipeline.Result{}, ferryoutcome.New(ferryoutcome.KindUnavailable, ferryoutcome.NotRun, "Service %q has no engines.", d.Service)
	}
	return md.runner.Run(ctx, job, emit)
}
