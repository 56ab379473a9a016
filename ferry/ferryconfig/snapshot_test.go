package ferryconfig

import (
	"errors"
	"fmt"
	"math"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"

	"cactusferry.dev/ferry/ferryid"
)

func sample(v Version) *Configuration {
	return &Configuration{
		Version:  v,
		Services: []Service{{Name: "herd"}, {Name: "robots"}},
		Routes: []Route{
			{Name: "all", Host: "Dairy.Example", Prefix: "/", Targets: []Target{{Service: "robots", Weight: 1}}},
			{Name: "deep", Host: "dairy.example", Prefix: "/a/b/", Targets: []Target{{Service: "herd", Weight: 1}}},
			{Name: "shallow", Host: "dairy.example", Prefix: "/a/", Targets: []Target{{Service: "robots", Weight: 1}}},
		},
		Customers: []Customer{{Name: "smolyan", Keys: []Key{"k1", "k2"}}},
	}
}

func TestRouteSelectsLongestPrefix(t *testing.T) {
	s, err := NewSnapshot(sample(1))
	assert.NilError(t, err)
	for _, tt := range []struct {
		host, path string
		want       RouteName
	}{
		{"dairy.example", "/a/b/c", "deep"},
		{"DAIRY.example:8080", "/a/b/", "deep"},
		{"dairy.example", "/a/b", "shallow"},
		{"dairy.example", "/ab", "all"},
		{"other.example", "/a/b/c", ""},
		{"", "/", ""},
	} {
		got := RouteName("")
		if r := s.Route(tt.host, tt.path); r != nil {
			got = r.Name
		}
		assert.Equal(t, got, tt.want, "%s%s", tt.host, tt.path)
	}
	assert.Equal(t, s.Customer("k2").Name, ferryid.CustomerName("smolyan"))
	assert.Assert(t, s.Customer("") == nil)
	assert.Assert(t, s.Keyed)
}

func TestCheckListsAllFaults(t *testing.T) {
	c := &Configuration{
		Services: []Service{{Name: "herd"}, {Name: "herd"}, {Name: "llm", Model: &Model{Layers: 8}}},
		Routes: []Route{
			{Name: "r", Host: "", Prefix: "a", Timeout: -time.Second},
			{Name: "r", Host: "h", Prefix: "/", Targets: []Target{{Service: "gone", Weight: -1}}},
		},
		Customers: []Customer{{Name: "a", Keys: []Key{"k", ""}}, {Name: "b", Keys: []Key{"k"}}},
	}
	_, err := NewSnapshot(c)
	var faults *FaultsError
	assert.Assert(t, errors.As(err, &faults))
	golden.Assert(t, strings.Join(faults.Faults, "\n")+"\n", "faults.golden")
}

func TestTargetFollowsWeights(t *testing.T) {
	const draws = 1000
	count := func(r Route) map[ferryid.ServiceName]int {
		got := map[ferryid.ServiceName]int{}
		for i := range uint64(draws) {
			got[r.Target(math.MaxUint64/draws*i+math.MaxUint64/draws/2)]++
		}
		return got
	}
	weighted := Route{Targets: []Target{{Service: "a", Weight: 90}, {Service: "b", Weight: 10}, {Service: "c"}}}
	assert.DeepEqual(t, count(weighted), map[ferryid.ServiceName]int{"a": 900, "b": 100})
	fractions := Route{Targets: []Target{{Service: "c"}, {Service: "a", Weight: 0.75}, {Service: "b", Weight: 0.25}}}
	assert.DeepEqual(t, count(fractions), map[ferryid.ServiceName]int{"a": 750, "b": 250})
	assert.Equal(t, fractions.Target(math.MaxUint64), ferryid.ServiceName("b"), "the last draw must not reach a target without a weight")
	none := Route{Targets: []Target{{Service: "a"}}}
	assert.Equal(t, none.Target(7), ferryid.ServiceName("a"))
	assert.Equal(t, (&Route{}).Target(7), ferryid.ServiceName(""))
}

// TestFaultsLeaveOutOnlyTheirPart guards against a configuration that is not put in force because of a fault in one part
// of it, so that the old one stays in force for all others.
func TestFaultsLeaveOutOnlyTheirPart(t *testing.T) {
	const negative = Priority(-1)
	accelerators := []Accelerator{{Name: "l4", Memory: 100, StepFactor: 1, ReadFactor: 1}, {Name: "odd", StepFactor: 1, ReadFactor: 1}}
	for _, tt := range []struct {
		name   string
		change func(*Configuration)
		// faults are part of the texts of all faults, in their order.
		faults []string
		// service is where requests to /a/b/ go, customer the owner of key k1, and accelerators the number of those of the
		// service "llm".
		service      ferryid.ServiceName
		customer     ferryid.CustomerName
		accelerators int
	}{
		{"sound", func(*Configuration) {}, nil, "herd", "smolyan", 1},
		{"field not decoded", func(c *Configuration) { c.Undecoded = []string{"route 1: kind"} }, []string{"route 1: kind"}, "herd", "smolyan", 1},
		{"route to a missing service", func(c *Configuration) { c.Routes[0].Targets[0].Service = "gone" }, []string{`service "gone" does not exist`}, "herd", "smolyan", 1},
		{"requests of a route with a fault match no other", func(c *Configuration) { c.Routes[1].Timeout = -1 }, []string{"timeout"}, "", "smolyan", 1},
		{"negative weight", func(c *Configuration) { c.Routes[1].Targets[0].Weight = -0.5 }, []string{"weight"}, "", "smolyan", 1},
		{"repeated route", func(c *Configuration) { c.Routes = append(c.Routes, c.Routes[1]) }, []string{"stands twice"}, "herd", "smolyan", 1},
		{"repeated service", func(c *Configuration) { c.Services = append(c.Services, Service{Name: "llm"}) }, []string{"stands twice"}, "herd", "smolyan", 1},
		{"unusable model", func(c *Configuration) { c.Services[2].Model.LayerSize = 0 }, []string{"size of a layer"}, "herd", "smolyan", 0},
		{"unusable accelerator", func(c *Configuration) { c.Services[2].Model.Accelerators = accelerators }, []string{`accelerator "odd"`}, "herd", "smolyan", 1},
		{"negative number of connections", func(c *Configuration) { c.Services[0].MaxConnections = -1 }, []string{"number of connections"}, "herd", "smolyan", 1},
		{"customer without a name", func(c *Configuration) { c.Customers[0].Name = "" }, []string{"no name"}, "herd", "", 1},
		{"shared key", func(c *Configuration) { c.Customers = append(c.Customers, Customer{Name: "b", Keys: []Key{"k1"}}) }, []string{"share a key"}, "herd", "smolyan", 1},
		{"empty key", func(c *Configuration) { c.Customers[0].Keys = []Key{"", "k1"} }, []string{"empty key"}, "herd", "smolyan", 1},
		{"negative priority", func(c *Configuration) { c.Routes[0].Priority = negative }, nil, "herd", "smolyan", 1},
	} {
		t.Run(tt.name, func(t *testing.T) {
			c := sample(3)
			c.Services = append(c.Services, Service{Name: "llm", Model: &Model{Layers: 8, LayerSize: 1, Accelerators: accelerators[:1]}})
			tt.change(c)
			s, err := NewSnapshot(c)
			assert.NilError(t, err)
			assert.Equal(t, len(s.Faults), len(tt.faults), "%q", s.Faults)
			for i, want := range tt.faults {
				assert.Assert(t, strings.Contains(s.Faults[i], want), s.Faults[i])
			}
			assert.Equal(t, s.Route("dairy.example", "/a/b/c").Target(0), tt.service)
			customer := ferryid.CustomerName("")
			if found := s.Customer("k1"); found != nil {
				customer = found.Name
			}
			assert.Equal(t, customer, tt.customer)
			assert.Assert(t, s.Customer("") == nil, "requests without a key must not get a customer")
			assert.Assert(t, s.Keyed)
			count := 0
			if llm := s.Service("llm"); llm != nil {
				count = len(llm.Model.Accelerators)
			}
			assert.Equal(t, count, tt.accelerators)
			assert.Equal(t, s.Service("herd").MaxConnections, 0)
		})
	}
}

// TestPriorityIsOnlyAnOrder guards against configurations that are refused for the value of a priority: only the order of
// priorities counts.
func TestPriorityIsOnlyAnOrder(t *testing.T) {
	ascending := []Priority{math.MinInt, -1, 0, 0.5, 9, 1000, 1001, 2000, 1e30}
	c := sample(1)
	c.Routes = nil
	for i, p := range ascending {
		c.Routes = append(c.Routes, Route{Name: RouteName(fmt.Sprint(i)), Host: "h", Prefix: fmt.Sprintf("/%d/", i), Priority: p, Targets: []Target{{Service: "herd", Weight: 1}}})
	}
	s, err := NewSnapshot(c)
	assert.NilError(t, err)
	assert.Equal(t, len(s.Faults), 0, "%q", s.Faults)
	assert.Equal(t, s.Ranks("herd"), len(ascending))
	for i := range c.Routes {
		assert.Equal(t, s.Rank("herd", &c.Routes[i], nil), Rank(i))
	}
	last := Priority(5000)
	assert.Equal(t, urgencyOf(&c.Routes[0], &Customer{Priority: &last}).effective, last)
}
