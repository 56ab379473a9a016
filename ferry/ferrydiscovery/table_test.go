package ferrydiscovery

import (
	"strings"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"gotest.tools/v3/assert"

	"cactusferry.dev/ferry/ferryplatform"
)

func up(name string, v ferryplatform.Version, state ferryplatform.InstanceState) Upstream {
	return Upstream{Instance: ferryplatform.Instance{Name: name, Service: "s", Address: name + ":1", State: state}, Version: v}
}

func live(name string, v ferryplatform.Version) Upstream {
	return up(name, v, ferryplatform.StateLive)
}

func removed(name string, v ferryplatform.Version) Change {
	return Change{Upstream: live(name, v), Removed: true}
}

// list returns the names of the service's upstreams, those that are leaving with a leading dash.
func list(t *Table) string {
	var names []string
	for _, u := range t.View().Of("s") {
		name := u.Name
		if !u.Ready() {
			name = "-" + name
		}
		names = append(names, name)
	}
	return strings.Join(names, " ")
}

func TestApplyAndReplace(t *testing.T) {
	tb := NewTable(clockwork.NewFakeClock())
	views := 0
	tb.OnChange(func(*View) { views++ })
	tb.Replace([]Upstream{live("b", 2), live("a", 1)}, 2)
	assert.Equal(t, list(tb), "a b")
	tb.Apply([]Change{{Upstream: up("a", 3, ferryplatform.StateLeaving)}, {Upstream: live("c", 4)}})
	assert.Equal(t, list(tb), "-a b c")
	tb.Apply([]Change{removed("a", 5)})
	assert.Equal(t, list(tb), "b c")
	assert.Equal(t, views, 3)
	tb.Apply(nil)
	tb.Apply([]Change{{Upstream: live("b", 6)}})
	assert.Equal(t, views, 3, "a heartbeat must not publish a view")
}

func TestOlderUpdatesAreIgnored(t *testing.T) {
	tb := NewTable(clockwork.NewFakeClock())
	tb.Apply([]Change{{Upstream: live("a", 5)}, removed("b", 6)})
	tb.Apply([]Change{{Upstream: up("a", 4, ferryplatform.StateLeaving)}, {Upstream: live("b", 3)}, removed("a", 4)})
	assert.Equal(t, list(tb), "a")
	tb.Replace([]Upstream{live("b", 3)}, 4)
	assert.Equal(t, list(tb), "a", "a list older than a change must not undo it")
	tb.Apply([]Change{{Upstream: live("b", 7)}})
	assert.Equal(t, list(tb), "a b", "an upstream may register again under its name")
}

func TestUpstreamsExpiredInAnOutageHaveAGracePeriod(t *testing.T) {
	clock := clockwork.NewFakeClock()
	tb := NewTable(clock)
	tb.Replace([]Upstream{live("a", 1), live("b", 2), up("c", 3, ferryplatform.StateLeaving)}, 3)
	tb.MarkUnreachable()
	clock.Advance(time.Minute)
	assert.Equal(t, list(tb), "a b -c", "no upstream is removed during an outage")
	tb.Replace([]Upstream{}, 9)
	assert.Equal(t, list(tb), "a b", "an upstream that was leaving is removed at once")
	tb.Apply([]Change{{Upstream: live("a", 10)}})
	clock.Advance(expiryGrace - 1)
	assert.Assert(t, !tb.Expire().IsZero())
	assert.Equal(t, list(tb), "a b")
	clock.Advance(1)
	assert.Assert(t, tb.Expire().IsZero())
	assert.Equal(t, list(tb), "a", "an upstream that did not register within the grace period is removed")
	tb.Apply([]Change{removed("a", 11)})
	assert.Equal(t, list(tb), "", "after the outage, a removal takes effect at once")
}

func TestSameProcess(t *testing.T) {
	a := live("a", 1)
	a.Started = time.Unix(100, 0)
	b := a
	b.Started = time.Unix(200, 0)
	moved := a
	moved.Address = "elsewhere:1"
	assert.Assert(t, a.SameProcess(&a))
	assert.Assert(t, !a.SameProcess(&b))
	assert.Assert(t, !a.SameProcess(&moved))
}
