package ferryconfig

import (
	"testing"

	"gotest.tools/v3/assert"

	"cactusferry.dev/ferry/ferryid"
)

// TestRankOrdersCustomersBeforeRoutes guards against urgent requests that get the rank of less urgent ones, and against
// ranks in services whose routes have one priority.
func TestRankOrdersCustomersBeforeRoutes(t *testing.T) {
	urgent, usual := Priority(0), Priority(1)
	route := func(name RouteName, p Priority, service ferryid.ServiceName) Route {
		return Route{Name: name, Host: "h", Prefix: "/" + string(name) + "/", Priority: p, Targets: []Target{{Service: service, Weight: 1}}}
	}
	s, err := NewSnapshot(&Configuration{
		Version:  1,
		Services: []Service{{Name: "llm"}, {Name: "desk"}, {Name: "idle"}},
		Routes:   []Route{route("draft", 0, "llm"), route("query", 1, "llm"), route("summary", 2, "llm"), route("order", 2, "desk"), route("stock", 2, "desk")},
		Customers: []Customer{
			{Name: "gold", Keys: []Key{"g"}, Priority: &urgent}, {Name: "silver", Keys: []Key{"s"}, Priority: &usual}, {Name: "plain", Keys: []Key{"p"}},
		},
	})
	assert.NilError(t, err)
	assert.Equal(t, s.Ranks("llm"), 7)
	assert.Equal(t, s.Ranks("desk"), 1)
	assert.Equal(t, s.Ranks("idle"), 1)
	assert.Equal(t, s.Ranks("unknown"), 1)
	for _, tt := range []struct {
		path string
		key  Key
		want Rank
	}{
		{"/draft/", "g", 0},
		{"/query/", "g", 1},
		{"/summary/", "g", 2},
		{"/draft/", "s", 3},
		{"/query/", "s", 4},
		{"/summary/", "s", 5},
		{"/draft/", "p", 0},
		{"/query/", "p", 4},
		{"/summary/", "p", 6},
		{"/draft/", "", 0},
	} {
		assert.Equal(t, s.Rank("llm", s.Route("h", tt.path), s.Customer(tt.key)), tt.want, "%s of %q", tt.path, tt.key)
	}
	assert.Equal(t, s.Rank("desk", s.Route("h", "/order/"), s.Customer("g")), Rank(0))
}
