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

// share picks many times and counts, each pick ended by f.
func share(b *Balancer, repeatable bool, f func(*Call)) map[string]int {
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
	got := share(b, true, func(c *Call) { clock.Advance(15 * time.Millisecond); c.Done(nil) })
	for name, n := range got {
		assert.Assert(t, n > 50, "%s got %d of 300", name, n)
	}
	assert.Equal(t, len(got), 3)
}

func TestRunningCallsAreSpreadEvenly(t *testing.T) {
	b, _ := balancer(3)
	got := map[string]int{}
	for range 18 {
		got[b.Pick(nil, true).Upstream.Name]++
	}
	for name, n := range got {
		assert.Assert(t, n >= 4 && n <= 8, "%s runs %d of 18 calls", name, n)
	}
}

func TestSlowAndFailingUpstreamsGetLess(t *testing.T) {
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
	got := share(b, true, func(c *Call) { c.Cancelled() })
	assert.Equal(t, got["u0"], 0, "an upstream that takes 20 times as long")
	c := b.Pick([]ferryid.UpstreamName{"u0", "u2"}, true)
	c.Failed()
	got = share(b, false, func(c *Call) { c.Cancelled() })
	assert.Equal(t, got["u1"], 0, "a call that must not repeat keeps away from one that has just failed")
}

func TestNoUpstreamIsLeftOutWhenAllFail(t *testing.T) {
	b, _ := balancer(2)
	for range 4 {
		b.Pick(nil, true).Unreachable()
	}
	assert.Equal(t, b.Usable(), 0)
	assert.Assert(t, b.Pick(nil, true) != nil, "a wrong judgement must not stop a service")
	assert.Assert(t, b.Pick([]ferryid.UpstreamName{"u0", "u1"}, true) == nil)
}

func TestLeavingUpstreamsGetNothing(t *testing.T) {
	b, _ := balancer(2)
	list := upstreams(2)
	list[0].State = ferryplatform.StateLeaving
	b.SetUpstreams(list)
	got := share(b, true, func(c *Call) { c.Done(nil) })
	assert.DeepEqual(t, got, map[string]int{"u1": 300})
	assert.Equal(t, b.Known(), 1)
}

func TestWhatIsKnownEndsWithTheRun(t *testing.T) {
	b, _ := balancer(2)
	for range 5 {
		b.Pick([]ferryid.UpstreamName{"u1"}, true).Unreachable()
	}
	assert.Equal(t, b.Usable(), 1)
	b.SetUpstreams(upstreams(2))
	assert.Equal(t, b.Usable(), 1, "the same run is still out")
	list := upstreams(2)
	list[0].Started = time.Unix(200, 0)
	b.SetUpstreams(list)
	assert.Equal(t, b.Usable(), 2, "a new run starts afresh")
}

func TestAnUpstreamsWordOnItsLoadCountsForAWhile(t *testing.T) {
	b, clock := balancer(2)
	busy := b.Pick([]ferryid.UpstreamName{"u1"}, true)
	clock.Advance(15 * time.Millisecond)
	busy.Done(&Load{Running: 6, Waiting: 12, Slots: 6})
	got := share(b, true, func(c *Call) { c.Cancelled() })
	assert.Equal(t, got["u0"], 0)
	clock.Advance(reportAge)
	got = share(b, true, func(c *Call) { c.Cancelled() })
	assert.Assert(t, got["u0"] > 50)
}
