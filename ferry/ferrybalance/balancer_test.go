package ferrybalance

import (
	"fmt"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"gotest.tools/v3/assert"

	"cactusferry.dev/ferry/ferrydiscovery"
	"cactusferry.dev/ferry/ferryid"
	"cactusferry.dev/ferry/ferryplatform"
)

func upstreams(n int) []*ferrydiscovery.Upstream {
	out := make([]*ferrydiscovery.Upstream, n)
	for i := range out {
		out[i] = &ferrydiscovery.Upstream{Instance: ferryplatform.Instance{
			Name: fmt.Sprintf("u%d", i), Address: fmt.Sprintf("u%d:1", i), State: ferryplatform.StateLive, Slots: 6,
			FailureDomain: ferryid.DomainName(fmt.Sprintf("d%d", i)),
		}}
	}
	return out
}

func balancer(n int) (*Balancer, *clockwork.FakeClock) {
	clock := clockwork.NewFakeClock()
	b := New(Options{Clock: clock, Domain: "d0"})
	b.SetUpstreams(upstreams(n))
	return b, clock
}

// pickCounts picks 300 times, ends each call by f and counts the calls of each upstream.
func pickCounts(b *Balancer, repeatable bool, f func(*Call)) map[string]int {
	got := map[string]int{}
	for range 300 {
		c := b.Pick(nil, repeatable)
		got[c.Upstream.Name]++
		f(c)
	}
	return got
}

func TestCallsSpreadOverEqualUpstreams(t *testing.T) {
	b, clock := balancer(3)
	got := pickCounts(b, true, func(c *Call) { clock.Advance(15 * time.Millisecond); c.Done(nil) })
	for name, n := range got {
		assert.Assert(t, n > 50, "%s got %d of 300", name, n)
	}
	assert.Equal(t, len(got), 3)
}

func TestConcurrentCallsSpreadEvenly(t *testing.T) {
	b, _ := balancer(3)
	got := map[string]int{}
	for range 18 {
		got[b.Pick(nil, true).Upstream.Name]++
	}
	for name, n := range got {
		assert.Assert(t, n >= 4 && n <= 8, "%s runs %d of 18 calls", name, n)
	}
}

func TestSlowAndFailingUpstreamsAreAvoided(t *testing.T) {
	b, clock := balancer(3)
	for range 20 {
		for _, avoid := range [][]ferryid.UpstreamName{{"u1", "u2"}, {"u0", "u2"}, {"u0", "u1"}} {
			c := b.Pick(avoid, true)
			clock.Advance(10 * time.Millisecond)
			if c.Upstream.Name == "u0" {
				clock.Advance(200 * time.Millisecond)
			}
			c.Done(nil)
		}
	}
	got := pickCounts(b, true, func(c *Call) { c.Cancelled() })
	assert.Equal(t, got["u0"], 0, "calls to the upstream with 20 times the latency")
	c := b.Pick([]ferryid.UpstreamName{"u0", "u2"}, true)
	c.Failed()
	got = pickCounts(b, false, func(c *Call) { c.Cancelled() })
	assert.Equal(t, got["u1"], 0, "non-repeatable calls to an upstream that has just failed")
}

func TestEjectedUpstreamsAreLastResort(t *testing.T) {
	b, _ := balancer(2)
	for range 4 {
		b.Pick(nil, true).Unreachable()
	}
	assert.Equal(t, b.Usable(), 0)
	assert.Assert(t, b.Pick(nil, true) != nil, "no upstream picked although all were ejected")
	assert.Assert(t, b.Pick([]ferryid.UpstreamName{"u0", "u1"}, true) == nil)
}

func TestDrainingUpstreamsGetNoCalls(t *testing.T) {
	b, _ := balancer(2)
	list := upstreams(2)
	list[0].State = ferryplatform.StateLeaving
	b.SetUpstreams(list)
	got := pickCounts(b, true, func(c *Call) { c.Done(nil) })
	assert.DeepEqual(t, got, map[string]int{"u1": 300})
	assert.Equal(t, b.Known(), 1)
}

func TestStateEndsWithUpstreamRestart(t *testing.T) {
	b, _ := balancer(2)
	for range 5 {
		b.Pick([]ferryid.UpstreamName{"u1"}, true).Unreachable()
	}
	assert.Equal(t, b.Usable(), 1)
	b.SetUpstreams(upstreams(2))
	assert.Equal(t, b.Usable(), 1, "unchanged upstream is no longer ejected")
	list := upstreams(2)
	list[0].Started = time.Unix(200, 0)
	b.SetUpstreams(list)
	assert.Equal(t, b.Usable(), 2, "restarted upstream is still ejected")
}

func TestReportedLoadExpires(t *testing.T) {
	b, clock := balancer(2)
	busy := b.Pick([]ferryid.UpstreamName{"u1"}, true)
	clock.Advance(15 * time.Millisecond)
	busy.Done(&Load{Running: 6, Waiting: 12, Slots: 6})
	got := pickCounts(b, true, func(c *Call) { c.Cancelled() })
	assert.Equal(t, got["u0"], 0)
	clock.Advance(loadTTL)
	got = pickCounts(b, true, func(c *Call) { c.Cancelled() })
	assert.Assert(t, got["u0"] > 50)
}

// TestUpstreamsThatWantNoRequests has upstreams ask for no requests until a time, which holds also where no other is
// left, and whatever their health is.
func TestUpstreamsThatWantNoRequests(t *testing.T) {
	clock := clockwork.NewFakeClock()
	table := ferrydiscovery.NewTable(clock)
	var changes []ferrydiscovery.Change
	for _, u := range upstreams(3) {
		u.Service, u.Version = "s", 1
		changes = append(changes, ferrydiscovery.Change{Upstream: *u})
	}
	table.Apply(changes)
	b := New(Options{Clock: clock, Domain: "d0"})
	b.SetUpstreams(table.View().Of("s"))
	now := clock.Now()
	deferFor := func(name string, d time.Duration) { table.View().Get(name).Defer(now.Add(d)) }

	deferFor("u0", 4*time.Second)
	assert.Assert(t, b.Pick([]ferryid.UpstreamName{"u1", "u2"}, true) == nil)
	got := pickCounts(b, true, func(c *Call) { c.Done(nil) })
	assert.Equal(t, got["u0"], 0)
	assert.Equal(t, b.Usable(), 2)
	assert.Equal(t, b.Usable("u1"), 1)
	assert.Equal(t, b.Known(), 3)
	assert.Assert(t, b.AvailableAt().IsZero())

	deferFor("u1", 2*time.Second)
	deferFor("u2", 9*time.Second)
	assert.Assert(t, b.Pick(nil, true) == nil, "not even as the last resort")
	assert.Equal(t, b.AvailableAt(), now.Add(2*time.Second))
	b.SetUpstreams(table.View().Of("s")[:1])
	assert.Equal(t, b.AvailableAt(), now.Add(4*time.Second))
	b.SetUpstreams(nil)
	b.SetUpstreams(table.View().Of("s"))
	assert.Assert(t, b.Pick(nil, true) == nil, "an upstream that is listed again is the same process")

	clock.Advance(2 * time.Second)
	assert.Equal(t, b.Pick(nil, false).Upstream.Name, "u1")
	assert.Assert(t, b.AvailableAt().IsZero())
}
