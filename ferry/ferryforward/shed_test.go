package ferryforward

import (
	"testing"

	"github.com/jonboulle/clockwork"
	"gotest.tools/v3/assert"

	"cactusferry.dev/ferry/ferryadmission"
	"cactusferry.dev/ferry/ferryroom"
)

// TestUrgencyOfRefusedRequest guards against less urgent requests that become most urgent when an engine refuses them,
// against requests that may have run already and give way to others, and against an urgency by the number of the rank
// where few requests have the ranks before it.
func TestUrgencyOfRefusedRequest(t *testing.T) {
	core := ferryadmission.New(ferryadmission.Config{Clock: clockwork.NewFakeClock(), Ranks: 4})
	for rank, n := range []int{0, 10, 50, 40} {
		for range n {
			core.Decide(ferryadmission.Request{Rank: ferryadmission.Rank(rank), Customer: "smolyan"}, ferryroom.Room{})
		}
	}
	s := &service{}
	s.admission.Store(core)
	near := func(r *request, want float64) {
		t.Helper()
		assert.Assert(t, r.urgency() > want-1e-9 && r.urgency() < want+1e-9, "%v, not %v", r.urgency(), want)
	}
	near(&request{service: s, rank: 0, ranks: 4}, 1)
	near(&request{service: s, rank: 1, ranks: 4}, 1)
	near(&request{service: s, rank: 2, ranks: 4}, 0.9)
	r := &request{service: s, rank: 3, ranks: 4}
	near(r, 0.4)
	r.arrived = 1
	near(r, 0.4)
	r.mayHaveRun = true
	near(r, 1)
	near(&request{service: &service{}, ranks: 1}, 1)
	for range 900 {
		core.Decide(ferryadmission.Request{Rank: 2, Customer: "smolyan"}, ferryroom.Room{})
	}
	near(&request{service: s, rank: 3, ranks: 4}, minUrgency)
}
