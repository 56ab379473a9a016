package ferryconfig

import (
	"errors"
	"fmt"
	"strings"
	"time"

	"cactusferry.dev/ferry/ferryid"
)

// Version numbers accepted configurations; it rises, not always by one.
type Version uint64

// RouteName names one route within a configuration.
type RouteName string

// Key is the secret by which a caller proves its customer.
type Key string

// Priority ranks requests; 0 is the most urgent.
type Priority int

// Configuration is all that the operators have decided, as one whole.
type Configuration struct {
	Version   Version
	Routes    []Route
	Services  []Service
	Customers []Customer
	Limits    Limits
}

// Customer is one customer and the keys that stand for it.
type Customer struct {
	Name ferryid.CustomerName
	Keys []Key
	// Priority goes before the route's where it is set.
	Priority *Priority
}

// Limits bound what a caller may send and how long it may take; zero stands for no limit.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// FaultsError lists everything that is wrong with a configuration.
type FaultsError struct {
	Version Version
	Faults  []string
}

func (e *FaultsError) Error() string {
	return fmt.Sprintf("configuration %d: %s", e.Version, strings.Join(e.Faults, "; "))
}

// Check returns a *FaultsError with every fault, or nil.
func (c *Configuration) Check() error {
	f := faults{}
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

func checkCustomers(customers []Customer) error {
	f := faults{}
	holders := map[Key]ferryid.CustomerName{}
	for _, c := range customers {
		f.add(c.Name != "", "a customer has no name")
		for _, k := range c.Keys {
			other, taken := holders[k]
			f.add(k != "", "customer %q has an empty key", c.Name)
			f.add(!taken || other == c.Name, "customers %q and %q share a key", other, c.Name)
			holders[k] = c.Name
		}
	}
	return f.err()
}

// faults collects what is wrong.
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
