package ferryconfig

import (
	"errors"
	"fmt"
	"slices"
	"strings"
	"time"

	"cactusferry.dev/ferry/ferryid"
)

// Version is the number of an accepted configuration. Versions increase, but not always by one.
type Version uint64

// RouteName is the name of a route, unique within a configuration.
type RouteName string

// Key is the secret that authenticates a caller as a customer.
type Key string

// Priority is the priority of a request; 0 is the most urgent, and only the order of priorities counts.
type Priority float64

// Configuration is one complete version of what the operators have configured.
type Configuration struct {
	Version   Version
	Routes    []Route
	Services  []Service
	Customers []Customer
	// Keyed is set if requests on routes that are not public need an API key, also where no customer is left to have one.
	// Customers imply it.
	Keyed  bool
	Limits Limits
	// Undecoded lists the fields that could not be decoded and have their zero value.
	Undecoded []string `json:",omitempty"`
}

// Customer is one customer with its API keys.
type Customer struct {
	Name ferryid.CustomerName
	Keys []Key
	// Priority goes before the route's priority if it is set; see Rank.
	Priority *Priority
}

// Limits bounds the size and duration of callers' requests; zero means that no limit is configured.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// FaultsError lists the faults of a configuration.
type FaultsError struct {
	Version Version
	Faults  []string
}

func (e *FaultsError) Error() string {
	return fmt.Sprintf("configuration %d: %s", e.Version, strings.Join(e.Faults, "; "))
}

// Check returns a *FaultsError with all faults, or nil.
func (c *Configuration) Check() error {
	f := slices.Clone(faults(c.Undecoded))
	f.add(c.Version > 0, "the version must be above 0")
	services := map[ferryid.ServiceName]bool{}
	for _, s := range c.Services {
		f.add(s.Name != "", "a service has no name")
		f.add(!services[s.Name], "service %q stands twice", s.Name)
		services[s.Name] = true
		f.join(s.check())
	}
	names := map[RouteName]bool{}
	for _, r := range c.Routes {
		f.add(!names[r.Name], "route %q stands twice", r.Name)
		names[r.Name] = true
		f.join(r.check(services))
	}
	f.join(checkCustomers(c.Customers))
	if len(f) == 0 {
		return nil
	}
	return &FaultsError{Version: c.Version, Faults: f}
}

// usable returns the configuration without the parts that have faults. A route with a fault stays without targets, so that
// its requests are refused and do not match a shorter prefix.
func (c *Configuration) usable() *Configuration {
	out := *c
	out.Keyed = c.Keyed || len(c.Customers) > 0
	out.Services, out.Routes, out.Customers = nil, nil, nil
	names := map[ferryid.ServiceName]bool{}
	for _, s := range c.Services {
		if s, ok := s.usable(); ok && !names[s.Name] {
			names[s.Name] = true
			out.Services = append(out.Services, s)
		}
	}
	for _, r := range c.Routes {
		if r.check(nil) != nil {
			r.Targets = nil
		}
		out.Routes = append(out.Routes, r)
	}
	for _, customer := range c.Customers {
		if customer.Name != "" {
			out.Customers = append(out.Customers, customer)
		}
	}
	return &out
}

func checkCustomers(customers []Customer) error {
	f := faults{}
	owners := map[Key]ferryid.CustomerName{}
	for _, c := range customers {
		f.add(c.Name != "", "a customer has no name")
		for _, k := range c.Keys {
			other, taken := owners[k]
			f.add(k != "", "customer %q has an empty key", c.Name)
			f.add(!taken || other == c.Name, "customers %q and %q share a key", other, c.Name)
			owners[k] = c.Name
		}
	}
	return f.err()
}

// faults collects the faults that are found.
type faults []string

func (f *faults) add(ok bool, format string, args ...any) {
	if !ok {
		*f = append(*f, fmt.Sprintf(format, args...))
	}
}

func (f *faults) join(err error) {
	var e *FaultsError
	if errors.As(err, &e) {
		*f = append(*f, e.Faults...)
	}
}

func (f faults) err() error {
	if len(f) == 0 {
		return nil
	}
	return &FaultsError{Faults: f}
}
