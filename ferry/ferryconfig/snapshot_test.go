package ferryconfig

import (
	"errors"
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
	assert.Assert(t, s.Keyed())
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
	r := Route{Targets: []Target{{Service: "a", Weight: 90}, {Service: "b", Weight: 10}, {Service: "c"}}}
	got := map[ferryid.ServiceName]int{}
	for draw := range uint64(1000) {
		got[r.Target(draw)]++
	}
	assert.DeepEqual(t, got, map[ferryid.ServiceName]int{"a": 900, "b": 100})
	none := Route{Targets: []Target{{Service: "a"}}}
	assert.Equal(t, none.Target(7), ferryid.ServiceName("a"))
}

// TestPriorityOutOfRange guards against priorities that no rank can be computed from. Each fault names the route or
// customer and the value, and the configuration is not accepted.
func TestPriorityOutOfRange(t *testing.T) {
	for _, tt := range []struct {
		priority Priority
		fault    string
	}{
		{0, ""},
		{9, ""},
		{MaxPriority, ""},
		{-1, "the priority must be from 0 to 1000, is -1"},
		{MaxPriority + 1, "the priority must be from 0 to 1000, is 1001"},
		{math.MinInt, "the priority must be from 0 to 1000, is -9223372036854775808"},
		{math.MaxInt, "the priority must be from 0 to 1000, is 9223372036854775807"},
	} {
		ofRoute, ofCustomer := sample(1), sample(1)
		ofRoute.Routes[1].Priority = tt.priority
		ofCustomer.Customers[0].Priority = &tt.priority
		for name, c := range map[string]*Configuration{`route "deep": `: ofRoute, `customer "smolyan": `: ofCustomer} {
			_, err := NewSnapshot(c)
			if tt.fault == "" {
				assert.NilError(t, err)
				continue
			}
			var faults *FaultsError
			assert.Assert(t, errors.As(err, &faults), "%s%d", name, tt.priority)
			assert.DeepEqual(t, faults.Faults, []string{name + tt.fault})
		}
	}
}
