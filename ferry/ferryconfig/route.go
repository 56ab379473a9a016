package ferryconfig

import (
	"strings"
	"time"

	"cactusferry.dev/ferry/ferryid"
)

// Repeat is the retry policy for requests that may already have run.
type Repeat int

// The retry policies.
const (
	// RepeatNever is for requests that must run at most once.
	RepeatNever Repeat = iota
	// RepeatAlways is for idempotent requests.
	RepeatAlways
	// RepeatFromEvent is for streams that another upstream can resume after the last delivered event.
	RepeatFromEvent
)

func (r Repeat) String() string {
	switch r {
	case RepeatAlways:
		return "RepeatAlways"
	case RepeatFromEvent:
		return "RepeatFromEvent"
	case RepeatNever:
	}
	return "RepeatNever"
}

// Route maps the requests of a host below a path prefix to services.
type Route struct {
	Name RouteName
	Host string
	// Prefix starts and ends with a slash.
	Prefix  string
	Targets []Target
	Repeat  Repeat
	// Streaming is set if answers are event streams.
	Streaming bool
	// Generation is set if requests carry the model, the number of tokens and the
	// shared parts of their prompt.
	Generation bool
	// Public is set if requests need no API key.
	Public bool
	// MaxAttempts is the maximum number of upstreams that may run one request.
	MaxAttempts int
	// Timeout is the maximum time to the end of the answer; zero means no limit.
	Timeout time.Duration
	// Objective is the latency objective of an answer or its first event.
	Objective time.Duration
	// GapObjective is the objective for the time between two events.
	GapObjective time.Duration
	Priority     Priority
}

// Target is a service with its weight among a route's targets.
type Target struct {
	Service ferryid.ServiceName
	Weight  float64
}

// check returns the faults of a route; services are those that exist, or nil if that does not matter.
func (r Route) check(services map[ferryid.ServiceName]bool) error {
	f := faults{}
	f.add(r.Name != "", "a route has no name")
	f.add(r.Host != "", "route %q has no host", r.Name)
	f.add(strings.HasPrefix(r.Prefix, "/") && strings.HasSuffix(r.Prefix, "/"), "route %q: prefix %q must start and end with a slash", r.Name, r.Prefix)
	f.add(len(r.Targets) > 0, "route %q has no service", r.Name)
	f.add(r.Timeout >= 0, "route %q: the timeout must not be negative", r.Name)
	for _, t := range r.Targets {
		f.add(services == nil || services[t.Service], "route %q: service %q does not exist", r.Name, t.Service)
		f.add(t.Weight >= 0, "route %q: the weight of service %q must not be negative", r.Name, t.Service)
	}
	return f.err()
}

// Target selects the service of a request by weight, or returns an empty name if the route has no targets; draw must be
// uniformly distributed.
func (r *Route) Target(draw uint64) ferryid.ServiceName {
	if len(r.Targets) == 0 {
		return ""
	}
	sum := 0.0
	for _, t := range r.Targets {
		sum += t.Weight
	}
	at := float64(draw>>11) / (1 << 53) * sum // 53 bits are the precision of a float64
	for _, t := range r.Targets {
		if at < t.Weight {
			return t.Service
		}
		at -= t.Weight
	}
	return r.Targets[0].Service
}
