package ferryconfig

import (
	"strings"
	"time"

	"cactusferry.dev/ferry/ferryid"
)

// Repeat says whether a request that may have run may be sent again.
type Repeat int

// The three kinds of requests by what may be repeated.
const (
	// RepeatNever is for requests that may run once at most.
	RepeatNever Repeat = iota
	// RepeatAlways is for requests that do the same however often they run.
	RepeatAlways
	// RepeatFromEvent is for streams that another upstream can continue after the last event that was delivered.
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

// Route sends the requests of one host below one path to a service.
type Route struct {
	Name RouteName
	Host string
	// Prefix starts and ends with a slash.
	Prefix  string
	Targets []Target
	Repeat  Repeat
	// Streaming says that answers are series of events.
	Streaming bool
	// Generation says that requests tell the model, the number of tokens and the shared parts of their prompt.
	Generation bool
	// Public routes need no key.
	Public bool
	// MaxAttempts is the most upstreams that may run one request.
	MaxAttempts int
	// Timeout is the longest that a caller is kept waiting for the end of the answer; zero stands for no limit.
	Timeout time.Duration
	// Objective is the time within which an answer, or its first event, is on time.
	Objective time.Duration
	// GapObjective is the longest pause between two events that is still on time.
	GapObjective time.Duration
	Priority     Priority
}

// Target is a service with its share of a route's requests.
type Target struct {
	Service ferryid.ServiceName
	Weight  int
}

func (r Route) check(services map[ferryid.ServiceName]bool) error {
	f := faults{}
	f.add(r.Name != "", "a route has no name")
	f.add(r.Host != "", "route %q has no host", r.Name)
	f.add(strings.HasPrefix(r.Prefix, "/") && strings.HasSuffix(r.Prefix, "/"), "route %q: prefix %q must start and end with a slash", r.Name, r.Prefix)
	f.add(len(r.Targets) > 0, "route %q has no service", r.Name)
	f.add(r.Timeout >= 0, "route %q: the timeout must not be negative", r.Name)
	for _, t := range r.Targets {
		f.add(services[t.Service], "route %q: service %q does not exist", r.Name, t.Service)
		f.add(t.Weight >= 0, "route %q: the weight of service %q must not be negative", r.Name, t.Service)
	}
	return f.err()
}

// Target returns the service for a request by a number that is spread evenly over all requests.
func (r *Route) Target(draw uint64) ferryid.ServiceName {
	sum := 0
	for _, t := range r.Targets {
		sum += t.Weight
	}
	if sum <= 0 {
		return r.Targets[0].Service
	}
	at := int(draw % uint64(sum))
	for _, t := range r.Targets {
		if at < t.Weight {
			return t.Service
		}
		at -= t.Weight
	}
	return r.Targets[0].Service
}
