package ferryconfig

import (
	"cmp"
	"errors"
	"slices"
	"strings"

	"cactusferry.dev/ferry/ferryid"
)

// Snapshot is an immutable, indexed configuration without the parts that have faults.
type Snapshot struct {
	*Configuration
	// Faults lists the faults of the parts that were left out.
	Faults   []string
	hosts    map[string][]*Route
	services map[ferryid.ServiceName]*Service
	keys     map[Key]*Customer
	ranks    rankings
}

// NewSnapshot checks and indexes a configuration, which must not be modified afterwards. A fault concerns only the part that
// has it, since the others are what the operators want; without a version the error is a *FaultsError.
func NewSnapshot(c *Configuration) (*Snapshot, error) {
	var faults *FaultsError
	if err := c.Check(); errors.As(err, &faults) && c.Version == 0 {
		return nil, err
	}
	c = c.usable()
	s := &Snapshot{
		Configuration: c,
		hosts:         map[string][]*Route{},
		services:      make(map[ferryid.ServiceName]*Service, len(c.Services)),
		keys:          map[Key]*Customer{},
		ranks:         newRankings(c),
	}
	if faults != nil {
		s.Faults = faults.Faults
	}
	for i := range c.Routes {
		r := &c.Routes[i]
		host := strings.ToLower(r.Host)
		s.hosts[host] = append(s.hosts[host], r)
	}
	for _, routes := range s.hosts {
		slices.SortStableFunc(routes, func(a, b *Route) int { return cmp.Compare(len(b.Prefix), len(a.Prefix)) })
	}
	for i := range c.Services {
		s.services[c.Services[i].Name] = &c.Services[i]
	}
	for i := range c.Customers {
		for _, k := range c.Customers[i].Keys {
			if s.keys[k] == nil && k != "" {
				s.keys[k] = &c.Customers[i]
			}
		}
	}
	return s, nil
}

// Route returns the route with the longest matching prefix for a host and a path, or nil. A
// port in the host is ignored.
func (s *Snapshot) Route(host, path string) *Route {
	for _, r := range s.hosts[hostname(host)] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

func hostname(host string) string {
	if i := strings.LastIndexByte(host, ':'); i >= 0 {
		host = host[:i]
	}
	return strings.ToLower(host)
}

// Service returns the service of that name, or nil.
func (s *Snapshot) Service(name ferryid.ServiceName) *Service {
	return s.services[name]
}

// Customer returns the customer with the given API key, or nil.
func (s *Snapshot) Customer(k Key) *Customer {
	return s.keys[k]
}
