package ferryconfig

import (
	"cmp"
	"slices"

	"cactusferry.dev/ferry/ferryid"
)

// Rank is the position of a request among the urgencies of its service; 0 is the most urgent.
type Rank int

// urgency orders the requests of a service: by the customer's priority if it has one, else by the route's, and among
// equals by the route's.
type urgency struct {
	effective, route Priority
}

func urgencyOf(r *Route, c *Customer) urgency {
	u := urgency{effective: r.Priority, route: r.Priority}
	if c != nil && c.Priority != nil {
		u.effective = *c.Priority
	}
	return u
}

func compareUrgency(a, b urgency) int {
	return cmp.Or(cmp.Compare(a.effective, b.effective), cmp.Compare(a.route, b.route))
}

// rankings hold the urgencies of each service whose routes have more than one priority, the most urgent first.
type rankings map[ferryid.ServiceName][]urgency

func newRankings(c *Configuration) rankings {
	routes := map[ferryid.ServiceName][]*Route{}
	for i := range c.Routes {
		for _, t := range c.Routes[i].Targets {
			routes[t.Service] = append(routes[t.Service], &c.Routes[i])
		}
	}
	customers := distinctPriorities(c.Customers)
	out := rankings{}
	for name, list := range routes {
		if !slices.ContainsFunc(list, func(r *Route) bool { return r.Priority != list[0].Priority }) {
			continue
		}
		var us []urgency
		for _, r := range list {
			us = append(us, urgencyOf(r, nil))
			for _, p := range customers {
				us = append(us, urgencyOf(r, &Customer{Priority: &p}))
			}
		}
		slices.SortFunc(us, compareUrgency)
		out[name] = slices.Compact(us)
	}
	return out
}

// distinctPriorities returns the priorities that customers have, each once.
func distinctPriorities(customers []Customer) []Priority {
	var out []Priority
	for _, c := range customers {
		if c.Priority != nil && !slices.Contains(out, *c.Priority) {
			out = append(out, *c.Priority)
		}
	}
	return out
}

// Ranks returns the number of ranks of a service, which is 1 if all its routes have the same priority.
func (s *Snapshot) Ranks(name ferryid.ServiceName) int {
	return max(1, len(s.ranks[name]))
}

// Rank returns the rank of a customer's requests on a route at a service; the customer may be nil.
func (s *Snapshot) Rank(name ferryid.ServiceName, r *Route, c *Customer) Rank {
	i, _ := slices.BinarySearchFunc(s.ranks[name], urgencyOf(r, c), compareUrgency)
	return Rank(i)
}
