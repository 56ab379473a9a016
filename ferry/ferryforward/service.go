package ferryforward

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"

	"cactusferry.dev/ferry/ferryadmission"
	"cactusferry.dev/ferry/ferrybalance"
	"cactusferry.dev/ferry/ferrybudget"
	"cactusferry.dev/ferry/ferryconfig"
	"cactusferry.dev/ferry/ferrydiscovery"
	"cactusferry.dev/ferry/ferryid"
	"cactusferry.dev/ferry/ferrypath"
)

// service is the forwarding state of one service; chooser is nil unless its upstreams are engines that hold
// layers.
type service struct {
	name       ferryid.ServiceName
	balancer   *ferrybalance.Balancer
	chooser    *ferrypath.Chooser
	budget     *ferrybudget.Budget
	congestion congestion
	moves      drainMoves
	isolation  isolation
	times      streamTimes
	// admission decides which requests are refused while the engines are short of memory; it holds nil if all routes
	// of the service have the same priority.
	admission atomic.Pointer[ferryadmission.Core]
	// metrics are created at the first use.
	metrics atomic.Pointer[serviceMetrics]
	// inDomain is the number of entries in this failure domain.
	inDomain atomic.Int64
}

// domainEntries returns the number of entries that share the moves of this failure domain.
func (s *service) domainEntries() int { return int(s.inDomain.Load()) }

// availableAt returns the earliest time at which upstreams want requests again if none of them can be sent the
// request before, and zero otherwise.
func (s *service) availableAt() time.Time {
	if s.chooser != nil {
		return s.chooser.AvailableAt()
	}
	return s.balancer.AvailableAt()
}

// ServicesConfig configures Services.
type ServicesConfig struct {
	Clock clockwork.Clock
	// Domain is the failure domain of this entry.
	Domain ferryid.DomainName
	// RetryWindow, RetryRatio and RetryAllowance define the retry budget that all entries share.
	RetryWindow    time.Duration
	RetryRatio     float64
	RetryAllowance float64
	// Resumed is set if entries were already serving before this process started.
	Resumed bool
}

// Services keeps the forwarding state of each service up to date with configuration and discovery.
type Services struct {
	cfg     ServicesConfig
	current atomic.Pointer[map[ferryid.ServiceName]*service]

	mu          sync.Mutex
	entries     map[ferryid.DomainName]int
	reportDelay time.Duration
	config      *ferryconfig.Snapshot
	view        *ferrydiscovery.View
	// viewed is called with each new view; it may be nil.
	viewed func(*ferrydiscovery.View)
}

// NewServices returns Services without any service.
func NewServices(cfg ServicesConfig) *Services {
	s := &Services{cfg: cfg}
	s.current.Store(&map[ferryid.ServiceName]*service{})
	return s
}

func (s *Services) get(name ferryid.ServiceName) *service {
	return (*s.current.Load())[name]
}

// SetEntries sets the number of entries in each failure domain that share the upstreams and the retry
// budgets, and the delay with which their reports reach each other.
func (s *Services) SetEntries(byDomain map[ferryid.DomainName]int, reportDelay time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.entries, s.reportDelay = byDomain, reportDelay
	for _, sv := range *s.current.Load() {
		s.applyEntries(sv)
	}
}

// applyEntries applies the number of entries to the retry budget and the path chooser of a service.
func (s *Services) applyEntries(sv *service) {
	n := 0
	for _, k := range s.entries {
		n += k
	}
	sv.budget.SetEntries(n, s.reportDelay)
	sv.inDomain.Store(int64(s.entries[s.cfg.Domain]))
	if sv.chooser != nil {
		sv.chooser.SetEntries(s.entries)
	}
}

// upstreams returns the upstreams of a service.
func (s *Services) upstreams(name ferryid.ServiceName) []*ferrydiscovery.Upstream {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.view == nil {
		return nil
	}
	return s.view.Of(name)
}

// Chooser returns the path chooser of a service, or nil if its upstreams are not engines that hold layers.
func (s *Services) Chooser(name ferryid.ServiceName) *ferrypath.Chooser {
	if sv := s.get(name); sv != nil {
		return sv.chooser
	}
	return nil
}

// Layered returns the names of the services whose engines hold layers.
func (s *Services) Layered() []ferryid.ServiceName {
	var out []ferryid.ServiceName
	for name, sv := range *s.current.Load() {
		if sv.chooser != nil {
			out = append(out, name)
		}
	}
	return out
}

// RetryUsage returns this entry's use of the retry budgets in the last window, for the services where the other
// entries must know it.
func (s *Services) RetryUsage() map[ferryid.ServiceName]ferrybudget.Usage {
	out := map[ferryid.ServiceName]ferrybudget.Usage{}
	for name, sv := range *s.current.Load() {
		if sv.budget.MustReport() {
			out[name] = sv.budget.Own()
		}
	}
	return out
}

// SetRetryUsage sets the use of the retry budgets reported by other entries, by service.
func (s *Services) SetRetryUsage(reported map[ferryid.ServiceName][]ferrybudget.Report) {
	for name, sv := range *s.current.Load() {
		sv.budget.SetReported(reported[name])
	}
}

// SetConfig applies a new configuration.
func (s *Services) SetConfig(c *ferryconfig.Snapshot) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.config = c
	s.rebuild()
}

// SetView applies a new view of the upstreams.
func (s *Services) SetView(v *ferrydiscovery.View) {
	s.mu.Lock()
	s.view = v
	s.rebuild()
	viewed := s.viewed
	s.mu.Unlock()
	if viewed != nil {
		viewed(v)
	}
}

// onView sets the function that is called with each new view.
func (s *Services) onView(f func(*ferrydiscovery.View)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.viewed = f
}

// currentView returns the last view, or nil if there was none.
func (s *Services) currentView() *ferrydiscovery.View {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.view
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
		sv.setRanks(s.config.Ranks(c.Name), s.cfg.Clock)
		next[c.Name] = sv
	}
	s.current.Store(&next)
}

// reuse returns the existing state of a service, or a new one if there is none or the service's kind changed.
func (s *Services) reuse(old *service, c *ferryconfig.Service) *service {
	layered := c.Model != nil && c.Model.Layers > 0
	if old != nil && (old.chooser != nil) == layered {
		return old
	}
	sv := &service{
		name:     c.Name,
		balancer: ferrybalance.New(ferrybalance.Options{Clock: s.cfg.Clock, Domain: s.cfg.Domain}),
		budget: ferrybudget.New(ferrybudget.Config{
			Clock: s.cfg.Clock, Window: s.cfg.RetryWindow, Ratio: s.cfg.RetryRatio, Allowance: s.cfg.RetryAllowance, Resumed: s.cfg.Resumed,
		}),
	}
	if layered {
		sv.chooser = ferrypath.NewChooser(ferrypath.Options{Clock: s.cfg.Clock, Domain: s.cfg.Domain})
	}
	s.applyEntries(sv)
	return sv
}
