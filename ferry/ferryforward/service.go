package ferryforward

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"

	"cactusferry.dev/ferry/ferrybalance"
	"cactusferry.dev/ferry/ferrybudget"
	"cactusferry.dev/ferry/ferryconfig"
	"cactusferry.dev/ferry/ferrydiscovery"
	"cactusferry.dev/ferry/ferryid"
	"cactusferry.dev/ferry/ferrypath"
)

// service is what the forwarder keeps of one service; chooser is nil unless its upstreams are engines that hold layers.
type service struct {
	name       ferryid.ServiceName
	balancer   *ferrybalance.Balancer
	chooser    *ferrypath.Chooser
	budget     *ferrybudget.Budget
	congestion congestion
}

// ServicesConfig sets up Services.
type ServicesConfig struct {
	Clock clockwork.Clock
	// Domain is the failure domain of this entry.
	Domain ferryid.DomainName
	// RepeatWindow, RepeatRatio and RepeatAllowance bound how often requests are sent again, over all entries.
	RepeatWindow    time.Duration
	RepeatRatio     float64
	RepeatAllowance float64
	// Resumed says that entries have been serving before this process started.
	Resumed bool
}

// Services keeps the upstreams of each service in step with configuration and discovery.
type Services struct {
	cfg     ServicesConfig
	current atomic.Pointer[map[ferryid.ServiceName]*service]

	mu      sync.Mutex
	entries map[ferryid.DomainName]int
	hearing time.Duration
	config  *ferryconfig.Snapshot
	view    *ferrydiscovery.View
}

// NewServices returns an empty set.
func NewServices(cfg ServicesConfig) *Services {
	s := &Services{cfg: cfg}
	s.current.Store(&map[ferryid.ServiceName]*service{})
	return s
}

func (s *Services) get(name ferryid.ServiceName) *service {
	return (*s.current.Load())[name]
}

// SetEntries says how many entries of each failure domain share the upstreams and the budgets, and how long they take to hear of each other.
func (s *Services) SetEntries(byDomain map[ferryid.DomainName]int, hearing time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.entries, s.hearing = byDomain, hearing
	for _, sv := range *s.current.Load() {
		s.share(sv)
	}
}

// share tells a service among how many entries its upstreams and its budget are divided.
func (s *Services) share(sv *service) {
	n := 0
	for _, k := range s.entries {
		n += k
	}
	sv.budget.SetEntries(n, s.hearing)
	if sv.chooser != nil {
		sv.chooser.SetEntries(s.entries)
	}
}

// Chooser returns what chooses paths over the engines of a service, or nil where it has none that hold layers.
func (s *Services) Chooser(name ferryid.ServiceName) *ferrypath.Chooser {
	if sv := s.get(name); sv != nil {
		return sv.chooser
	}
	return nil
}

// Layered returns the services whose engines hold layers.
func (s *Services) Layered() []ferryid.ServiceName {
	var out []ferryid.ServiceName
	for name, sv := range *s.current.Load() {
		if sv.chooser != nil {
			out = append(out, name)
		}
	}
	return out
}

// Spent is what this entry has sent again of each service in the last window, where the others have to know it.
func (s *Services) Spent() map[ferryid.ServiceName]ferrybudget.Spent {
	out := map[ferryid.ServiceName]ferrybudget.Spent{}
	for name, sv := range *s.current.Load() {
		if own := sv.budget.Own(); own.Repeats > sv.budget.Untold() {
			out[name] = own
		}
	}
	return out
}

// SetSpent takes what other entries have told of each service.
func (s *Services) SetSpent(told map[ferryid.ServiceName][]ferrybudget.Spent) {
	for name, sv := range *s.current.Load() {
		sv.budget.SetOthers(told[name])
	}
}

// SetConfig takes a new configuration.
func (s *Services) SetConfig(c *ferryconfig.Snapshot) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.config = c
	s.rebuild()
}

// SetView takes a new view of the upstreams.
func (s *Services) SetView(v *ferrydiscovery.View) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.view = v
	s.rebuild()
}

func (s *Services) rebuild() {
	if s.config == nil || s.view == nil {
		return
	}
	old := *s.current.Load()
	next := make(map[ferryid.ServiceName]*service, len(s.config.Services))
	for i := range s.config.Services {
		c := &s.config.Services[i]
		sv := s.reuse(old[c.Name], c)
		upstreams := s.view.Of(c.Name)
		sv.balancer.SetUpstreams(upstreams)
		if sv.chooser != nil {
			sv.chooser.Set(c.Model, upstreams)
		}
		next[c.Name] = sv
	}
	s.current.Store(&next)
}

// reuse keeps what is known of a service that still exists; it returns a new value where its kind changed.
func (s *Services) reuse(old *service, c *ferryconfig.Service) *service {
	layered := c.Model != nil && c.Model.Layers > 0
	if old != nil && (old.chooser != nil) == layered {
		return old
	}
	sv := &service{
		name:     c.Name,
		balancer: ferrybalance.New(ferrybalance.Options{Clock: s.cfg.Clock, Domain: s.cfg.Domain}),
		budget: ferrybudget.New(ferrybudget.Config{
			Clock: s.cfg.Clock, Window: s.cfg.RepeatWindow, Ratio: s.cfg.RepeatRatio, Allowance: s.cfg.RepeatAllowance, Resumed: s.cfg.Resumed,
		}),
	}
	if layered {
		sv.chooser = ferrypath.NewChooser(ferrypath.Options{Clock: s.cfg.Clock, Domain: s.cfg.Domain})
	}
	s.share(sv)
	return sv
}
