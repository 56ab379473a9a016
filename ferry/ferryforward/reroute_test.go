package ferryforward

import (
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"
	"gotest.tools/v3/assert"

	"cactusferry.dev/ferry/ferrydiscovery"
	"cactusferry.dev/ferry/ferryid"
	"cactusferry.dev/ferry/ferrypath"
)

// rerouteHarness is the watchdog of one run over the engines first, lost and last. The engines mid-a to mid-d hold the
// same layers as lost.
type rerouteHarness struct {
	*watchdog
	clock    *clockwork.FakeClock
	rerouter *fakeRerouter
	scope    tally.TestScope
}

func newRerouteHarness(t *testing.T, result func(*ferrypath.Path) error) *rerouteHarness {
	clock := clockwork.NewFakeClock()
	list := []*ferrydiscovery.Upstream{loadEngine("first", 0, 2), loadEngine("lost", 2, 5), loadEngine("last", 5, 8)}
	c := ferrypath.NewChooser(ferrypath.Options{Clock: clock, Domain: "d"})
	c.Set(configuration().Services[1].Model, list)
	run, err := c.Pick(loadWork)
	assert.NilError(t, err)
	for _, name := range []string{"mid-a", "mid-b", "mid-c", "mid-d"} {
		list = append(list, loadEngine(name, 2, 5))
	}
	c.Set(configuration().Services[1].Model, list)
	h := &rerouteHarness{clock: clock, rerouter: &fakeRerouter{result: result}, scope: tally.NewTestScope("", nil)}
	f := &Forwarder{cfg: Config{Clock: clock, Rerouter: h.rerouter}, log: zerolog.Nop(), metrics: metrics{h.scope}}
	h.watchdog = newRerouteWatchdog(f, c, run, "1")
	return h
}

// try reroutes the run and returns the number of orders that this took.
func (h *rerouteHarness) try(engines ...ferryid.UpstreamName) (orders int, moved bool) {
	before := len(h.rerouter.paths)
	moved = h.reroute(engines, true)
	return len(h.rerouter.paths) - before, moved
}

// counted returns the counts of a metric by its tag that is not the service.
func (h *rerouteHarness) counted(name, tag string) map[string]int64 {
	out := map[string]int64{}
	for _, c := range h.scope.Snapshot().Counters() {
		if c.Name() == name {
			out[c.Tags()[tag]] = c.Value()
		}
	}
	return out
}

// TestRunThatIsNotRunningIsSeldomOrdered has the first engine not know the run. Orders at each check of the watchdog
// would be in vain, but a run that has not begun may do so later.
func TestRunThatIsNotRunningIsSeldomOrdered(t *testing.T) {
	h := newRerouteHarness(t, func(*ferrypath.Path) error { return &NotRunningError{Err: errBusy} })
	orders, moved := h.try("lost")
	assert.Assert(t, orders == 1 && !moved)
	h.clock.Advance(notRunningDelay - 1)
	orders, _ = h.try("lost")
	assert.Equal(t, orders, 0)
	h.clock.Advance(1)
	orders, _ = h.try("lost")
	assert.Equal(t, orders, 1)
	h.last.Store(1) // an event
	orders, _ = h.try("lost")
	assert.Equal(t, orders, 1)
	assert.DeepEqual(t, h.counted("reroute_orders", "result"), map[string]int64{"NotRunning": 3})
	assert.DeepEqual(t, h.counted("reroutes_not_ordered", "why"), map[string]int64{"NotRunning": 1})
}

// TestRunThatBeginsLateIsMoved guards against answers that the run has not begun yet which count as refusals, after
// which the run is not moved off a lost engine any more.
func TestRunThatBeginsLateIsMoved(t *testing.T) {
	h := newRerouteHarness(t, func(*ferrypath.Path) error { return &NotRunningError{Err: errBusy} })
	for range maxRefusedOrders {
		orders, moved := h.try("lost")
		assert.Assert(t, orders == 1 && !moved)
		h.clock.Advance(notRunningDelay)
	}
	h.rerouter.result = func(*ferrypath.Path) error { return nil }
	_, moved := h.try("lost")
	assert.Assert(t, moved)
}

// TestNoOrderForRunWhoseFirstEngineIsDown has the engine that would get the order be dead.
func TestNoOrderForRunWhoseFirstEngineIsDown(t *testing.T) {
	h := newRerouteHarness(t, func(*ferrypath.Path) error { return nil })
	h.run.Chooser().MarkDown("first")
	orders, moved := h.try("lost")
	assert.Assert(t, orders == 0 && !moved)
	assert.DeepEqual(t, h.counted("reroutes_not_ordered", "why"), map[string]int64{"FirstEngineDown": 1})
	h.run.Chooser().MarkUp("first")
	orders, moved = h.try("lost")
	assert.Assert(t, orders == 1 && moved)
	assert.DeepEqual(t, h.counted("reroute_orders", "result"), map[string]int64{"Moved": 1})
}

// TestRefusedOrdersOfOneRunAreBounded has all orders be refused, while the engines may have room by their reports.
func TestRefusedOrdersOfOneRunAreBounded(t *testing.T) {
	h := newRerouteHarness(t, nil)
	for _, tt := range []struct {
		result  func(*ferrypath.Path) error
		perCall int
	}{
		{func(p *ferrypath.Path) error {
			return &BlockedError{Address: p.Hops()[1].Upstream.Address, Err: errBusy}
		}, maxDetours},
		{func(*ferrypath.Path) error { return &BlockedError{Err: errBusy} }, 2},
		{func(*ferrypath.Path) error { return errBusy }, 1},
	} {
		h = newRerouteHarness(t, tt.result)
		total := 0
		for range 20 {
			orders, moved := h.try("lost")
			assert.Assert(t, !moved && orders <= tt.perCall, "%d orders", orders)
			total += orders
			h.clock.Advance(5 * time.Second) // the engines' refusals are forgotten
		}
		assert.Equal(t, total, maxRefusedOrders)
		assert.Assert(t, h.counted("reroutes_not_ordered", "why")["RefusedTooOften"] > 0)
		h.rerouter.result = func(*ferrypath.Path) error { return nil }
		_, moved := h.try("lost")
		assert.Assert(t, !moved)
		_, moved = h.try("lost", "mid-a")
		assert.Assert(t, moved, "orders for other engines are bounded by themselves")
	}
}

// TestBlockingEngineIsLeftOut has one engine refuse each move to it, by name.
func TestBlockingEngineIsLeftOut(t *testing.T) {
	blocking := ""
	h := newRerouteHarness(t, func(p *ferrypath.Path) error {
		if blocking == "" || p.Hops()[1].Upstream.Name == blocking {
			blocking = p.Hops()[1].Upstream.Name
			return &BlockedError{Address: p.Hops()[1].Upstream.Address, Err: errBusy}
		}
		return nil
	})
	orders, moved := h.try("lost")
	assert.Assert(t, moved && orders == 2, "%d orders", orders)
	orders, moved = h.try("lost")
	assert.Assert(t, moved && orders == 0, "order for a run that does not use the engine")
	assert.DeepEqual(t, h.counted("reroute_orders", "result"), map[string]int64{"Blocked": 1, "Moved": 1})
}
