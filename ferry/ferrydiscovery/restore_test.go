package ferrydiscovery

import (
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"gotest.tools/v3/assert"

	"cactusferry.dev/ferry/ferryplatform"
)

// TestLeavingProcessInACopy guards against requests to an upstream that is leaving and that a restored platform shows as it
// was before. Another process under its name is not leaving.
func TestLeavingProcessInACopy(t *testing.T) {
	at := ferryplatform.VersionAt
	for _, tt := range []struct {
		name   string
		before []Change
		after  Upstream
		want   string
	}{
		{"leaving", []Change{{Upstream: up("a", at(1, 20), ferryplatform.StateLeaving)}}, live("a", at(2, 10)), "-a"},
		{"leaving and written again with a lower revision", []Change{{Upstream: up("a", at(1, 20), ferryplatform.StateLeaving)}}, up("a", at(2, 11), ferryplatform.StateLeaving), "-a"},
		{"ready again within the epoch", []Change{{Upstream: up("a", at(1, 20), ferryplatform.StateLeaving)}, {Upstream: live("a", at(1, 21))}}, live("a", at(2, 10)), "a"},
		{"another process", []Change{{Upstream: up("a", at(1, 20), ferryplatform.StateLeaving)}}, liveSince("a", at(2, 10), 7), "a"},
		{"restarted and leaving, the process before it", []Change{{Upstream: leavingSince("a", at(1, 20), 7)}}, live("a", at(2, 10)), ""},
		{"restarted and leaving, registered after all earlier revisions", []Change{{Upstream: leavingSince("a", at(1, 20), 7)}}, live("a", at(2, 25)), "a"},
		{"restarted and removed, the process before it", []Change{{Upstream: liveSince("a", at(1, 19), 7)}, removed("a", at(1, 20))}, live("a", at(2, 10)), ""},
		{"removed", []Change{removed("a", at(1, 20))}, live("a", at(2, 10)), ""},
		{"removed, another process", []Change{removed("a", at(1, 20))}, liveSince("a", at(2, 10), 7), "a"},
		{"removed, registered after all earlier revisions", []Change{removed("a", at(1, 20))}, live("a", at(2, 25)), "a"},
		{"old list", []Change{{Upstream: live("a", at(2, 5))}}, up("a", at(1, 90), ferryplatform.StateLeaving), "a"},
	} {
		t.Run(tt.name, func(t *testing.T) {
			clock := clockwork.NewFakeClock()
			tb := NewTable(clock)
			tb.Replace([]Upstream{live("a", at(1, 10))}, at(1, 15))
			tb.Apply(tt.before)
			tb.Replace([]Upstream{tt.after}, tt.after.Version)
			assert.Equal(t, list(tb), tt.want)
			tb.Replace([]Upstream{tt.after}, tt.after.Version)
			assert.Equal(t, list(tb), tt.want, "the same list again")
		})
	}
}

// TestRestartedProcessOutlastsACopy guards against a process that is taken for the one before it, which a restored platform
// shows: it has some time to register again, and is replaced by the other only if that is still listed later.
func TestRestartedProcessOutlastsACopy(t *testing.T) {
	at := ferryplatform.VersionAt
	started := func(tb *Table) int64 {
		if u := tb.View().Get("a"); u != nil {
			return u.Started.Unix()
		}
		return 0
	}
	for _, tt := range []struct {
		name string
		then func(*Table)
		// want is the start of the process at once, after expiryGrace and after restoredHold; 0 means that there is none.
		want [3]int64
	}{
		{"silent", func(*Table) {}, [3]int64{7, 0, 3}},
		{"silent, listed again", func(tb *Table) { tb.Replace([]Upstream{liveSince("a", at(2, 10), 3)}, at(2, 18)) }, [3]int64{7, 0, 3}},
		{"registers again", func(tb *Table) { tb.Apply([]Change{{Upstream: liveSince("a", at(2, 17), 7)}}) }, [3]int64{7, 7, 7}},
		{"listed as registered again", func(tb *Table) { tb.Replace([]Upstream{liveSince("a", at(2, 17), 7)}, at(2, 18)) }, [3]int64{7, 7, 7}},
		{"expires", func(tb *Table) { tb.Apply([]Change{removed("a", at(2, 17))}) }, [3]int64{0, 0, 0}},
		{"another process registers", func(tb *Table) { tb.Apply([]Change{{Upstream: liveSince("a", at(2, 17), 5)}}) }, [3]int64{5, 5, 5}},
		{"another process is listed", func(tb *Table) { tb.Replace([]Upstream{liveSince("a", at(2, 17), 5)}, at(2, 18)) }, [3]int64{5, 5, 5}},
	} {
		t.Run(tt.name, func(t *testing.T) {
			clock := clockwork.NewFakeClock()
			tb := NewTable(clock)
			tb.Replace([]Upstream{liveSince("a", at(1, 10), 3)}, at(1, 15))
			tb.Apply([]Change{{Upstream: liveSince("a", at(1, 20), 7)}})
			tb.Replace([]Upstream{liveSince("a", at(2, 10), 3)}, at(2, 16))
			assert.Equal(t, started(tb), int64(7))
			tt.then(tb)
			var got [3]int64
			for i, d := range []time.Duration{0, expiryGrace, restoredHold - expiryGrace} {
				clock.Advance(d)
				tb.Expire()
				got[i] = started(tb)
			}
			assert.DeepEqual(t, got, tt.want)
		})
	}
}

// TestRemovedUpstreamOfACopyIsHeld guards against a removed upstream that a restored platform lists again: it gets no
// requests until it must have expired, and is taken up if it has not.
func TestRemovedUpstreamOfACopyIsHeld(t *testing.T) {
	at := ferryplatform.VersionAt
	for _, tt := range []struct {
		name string
		then func(*Table)
		want string
	}{
		{"still listed", func(*Table) {}, "a"},
		{"listed again", func(tb *Table) { tb.Replace([]Upstream{live("a", at(2, 10))}, at(2, 18)) }, "a"},
		{"expired", func(tb *Table) { tb.Apply([]Change{removed("a", at(2, 17))}) }, ""},
		{"no longer listed", func(tb *Table) { tb.Replace(nil, at(2, 18)) }, ""},
	} {
		t.Run(tt.name, func(t *testing.T) {
			clock := clockwork.NewFakeClock()
			tb := NewTable(clock)
			tb.Replace([]Upstream{live("a", at(1, 10))}, at(1, 15))
			tb.Apply([]Change{removed("a", at(1, 20))})
			tb.Replace([]Upstream{live("a", at(2, 10))}, at(2, 16))
			tt.then(tb)
			clock.Advance(restoredHold - 1)
			tb.Expire()
			assert.Equal(t, list(tb), "")
			clock.Advance(1)
			tb.Expire()
			assert.Equal(t, list(tb), tt.want)
		})
	}
}
