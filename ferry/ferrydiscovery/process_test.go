package ferrydiscovery

import (
	"fmt"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"cactusferry.dev/ferry/ferryplatform"
)

// liveSince returns a live upstream whose process started n seconds after the epoch.
func liveSince(name string, v ferryplatform.Version, n int64) Upstream {
	u := live(name, v)
	u.Started = time.Unix(n, 0).UTC()
	return u
}

func leavingSince(name string, v ferryplatform.Version, n int64) Upstream {
	u := liveSince(name, v, n)
	u.State = ferryplatform.StateLeaving
	return u
}

func TestMarkLeaving(t *testing.T) {
	for _, tt := range []struct {
		name string
		then func(tb *Table, clock *clockwork.FakeClock)
		want string
	}{
		{"at once", func(*Table, *clockwork.FakeClock) {}, "-a b"},
		{"later record of the process", func(tb *Table, _ *clockwork.FakeClock) { tb.Apply([]Change{{Upstream: liveSince("a", 9, 100)}}) }, "-a b"},
		{"later list", func(tb *Table, _ *clockwork.FakeClock) {
			tb.Replace([]Upstream{liveSince("a", 9, 100), live("b", 2)}, 9)
		}, "-a b"},
		{"registered again", func(tb *Table, clock *clockwork.FakeClock) {
			tb.Apply([]Change{removed("a", 8)})
			clock.Advance(time.Minute)
			tb.Expire()
			tb.Apply([]Change{{Upstream: liveSince("a", 9, 100)}})
		}, "-a b"},
		{"restarted", func(tb *Table, _ *clockwork.FakeClock) { tb.Apply([]Change{{Upstream: liveSince("a", 9, 101)}}) }, "a b"},
		{"restarted and listed as before", func(tb *Table, _ *clockwork.FakeClock) {
			tb.Apply([]Change{{Upstream: liveSince("a", 9, 101)}, {Upstream: liveSince("a", 10, 100)}})
		}, "-a b"},
		{"removed", func(tb *Table, _ *clockwork.FakeClock) { tb.Apply([]Change{removed("a", 9)}) }, "b"},
		{"removed in an outage", func(tb *Table, _ *clockwork.FakeClock) {
			tb.MarkUnreachable()
			tb.Apply([]Change{removed("a", 9)})
		}, "b"},
	} {
		t.Run(tt.name, func(t *testing.T) {
			clock := clockwork.NewFakeClock()
			tb := NewTable(clock)
			tb.Apply([]Change{{Upstream: liveSince("a", 1, 100)}, {Upstream: live("b", 2)}})
			views := 0
			tb.OnChange(func(*View) { views++ })
			a := tb.View().Get("a")
			assert.Assert(t, tb.MarkLeaving(a))
			assert.Assert(t, !tb.MarkLeaving(a), "known already")
			assert.Equal(t, views, 1)
			tt.then(tb, clock)
			assert.Equal(t, list(tb), tt.want)
		})
	}
}

// TestMarkLeavingOfEarlierProcess has an answer of an earlier process arrive after the restart.
func TestMarkLeavingOfEarlierProcess(t *testing.T) {
	clock := clockwork.NewFakeClock()
	tb := NewTable(clock)
	tb.Apply([]Change{{Upstream: liveSince("a", 1, 100)}})
	earlier := tb.View().Get("a")
	tb.Apply([]Change{{Upstream: liveSince("a", 2, 200)}})
	assert.Assert(t, tb.MarkLeaving(earlier))
	assert.Equal(t, list(tb), "a")
	clock.Advance(tombstoneRetention + 1)
	tb.Expire()
	assert.Equal(t, len(tb.processes), 1, "processes without a row are dropped")
}

func TestDefer(t *testing.T) {
	clock := clockwork.NewFakeClock()
	tb := NewTable(clock)
	now := clock.Now()
	tb.Apply([]Change{{Upstream: liveSince("a", 1, 100)}})
	a := tb.View().Get("a")
	assert.Assert(t, !a.Deferred(now))
	a.Defer(now.Add(4 * time.Second))
	a.Defer(now.Add(2 * time.Second))
	assert.Equal(t, a.RetryAt(), now.Add(4*time.Second), "an earlier end must not shorten it")
	assert.Assert(t, a.Deferred(now.Add(4*time.Second-1)))
	assert.Assert(t, !a.Deferred(now.Add(4*time.Second)))
	tb.Apply([]Change{removed("a", 2)})
	tb.Apply([]Change{{Upstream: liveSince("a", 3, 100)}})
	assert.Assert(t, tb.View().Get("a").Deferred(now), "the same process registered again")
	tb.Apply([]Change{{Upstream: liveSince("a", 4, 101)}})
	assert.Assert(t, !tb.View().Get("a").Deferred(now), "another process")
	a.Defer(now.Add(9 * time.Second))
	assert.Assert(t, !tb.View().Get("a").Deferred(now), "late answer of the earlier process")
	unlisted := live("b", 1)
	unlisted.Defer(now.Add(time.Second))
	assert.Assert(t, !unlisted.Deferred(now))
}

// TestDeferBeforeRegistration has the next process at an address want no requests before the platform reports it.
func TestDeferBeforeRegistration(t *testing.T) {
	const before, after = 20 * time.Second, 9 * time.Second
	moved := liveSince("a", 9, 101)
	moved.Address = "elsewhere"
	for _, tt := range []struct {
		name        string
		unreachable []bool
		then        []Change
		want        time.Duration
	}{
		{"could be reached", []bool{false}, []Change{{Upstream: liveSince("a", 9, 101)}}, 0},
		{"restarted", []bool{true}, []Change{{Upstream: liveSince("a", 9, 101)}}, after},
		{"restarted twice", []bool{true, true}, []Change{{Upstream: liveSince("a", 9, 101)}}, 0},
		{"removed in between", []bool{true}, []Change{removed("a", 8), {Upstream: liveSince("a", 9, 101)}}, after},
		{"the same process", []bool{true}, []Change{{Upstream: liveSince("a", 9, 100)}}, before},
		{"an earlier process", []bool{true}, []Change{{Upstream: liveSince("a", 9, 99)}}, 0},
		{"another address", []bool{true}, []Change{{Upstream: moved}}, 0},
	} {
		t.Run(tt.name, func(t *testing.T) {
			clock := clockwork.NewFakeClock()
			tb := NewTable(clock)
			now := clock.Now()
			tb.Apply([]Change{{Upstream: liveSince("a", 1, 100)}})
			a := tb.View().Get("a")
			a.Defer(now.Add(before))
			for i, lost := range tt.unreachable {
				if lost {
					a.RecordUnreachable()
				}
				if i == 0 {
					a.Defer(now.Add(after))
				}
			}
			tb.Apply(tt.then)
			if tt.want == 0 {
				assert.Assert(t, tb.View().Get("a").RetryAt().IsZero())
				return
			}
			assert.Equal(t, tb.View().Get("a").RetryAt(), now.Add(tt.want))
			a.Defer(now.Add(time.Minute))
			assert.Equal(t, tb.View().Get("a").RetryAt(), now.Add(time.Minute), "answer to a request that was sent before the registration")
		})
	}
	unlisted := live("b", 1)
	unlisted.RecordUnreachable()
}

// TestAnswersAreNotUndone applies answers of all processes so far and records of the platform in random order. What
// a process has stated holds for it in each view, and what was stated at its address since the one before it could not be
// reached.
func TestAnswersAreNotUndone(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		clock := clockwork.NewFakeClock()
		tb := NewTable(clock)
		left := map[processKey]bool{}
		retryAt := map[processKey]*time.Time{}
		// next holds what was stated since a process could not be reached.
		next := map[processKey]*time.Time{}
		last := map[string]*Upstream{}
		stated := map[processKey]ferryplatform.InstanceState{}
		var seen []*Upstream
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			version := ferryplatform.Version(rapid.IntRange(1, 60).Draw(t, "version"))
			u := liveSince(fmt.Sprint("u", rapid.IntRange(0, 2).Draw(t, "name")), version, int64(rapid.IntRange(1, 3).Draw(t, "started")))
			u.State = rapid.SampledFrom([]ferryplatform.InstanceState{ferryplatform.StateLive, ferryplatform.StateLeaving}).Draw(t, "state")
			before := tb.View().Get(u.Name)
			switch rapid.IntRange(0, 7).Draw(t, "kind") {
			case 0:
				tb.Apply([]Change{{Upstream: u, Removed: true}})
			case 1:
				tb.MarkUnreachable()
			case 2:
				clock.Advance(time.Duration(rapid.IntRange(0, 3).Draw(t, "seconds")) * time.Second)
				tb.Expire()
			case 3:
				if len(seen) > 0 {
					answered := rapid.SampledFrom(seen).Draw(t, "answered")
					until := clock.Now().Add(time.Duration(rapid.IntRange(0, 30).Draw(t, "after")) * time.Second)
					answered.Defer(until)
					for _, at := range []*time.Time{retryAt[keyOf(answered)], next[keyOf(answered)]} {
						if at != nil && until.After(*at) {
							*at = until
						}
					}
				}
			case 4:
				if len(seen) > 0 {
					answered := rapid.SampledFrom(seen).Draw(t, "answered")
					tb.MarkLeaving(answered)
					left[keyOf(answered)] = true
				}
			case 5:
				if len(seen) > 0 {
					lost := rapid.SampledFrom(seen).Draw(t, "unreachable")
					lost.RecordUnreachable()
					next[keyOf(lost)] = &time.Time{}
				}
			default:
				known := tb.processes[keyOf(&u)] != nil
				tb.Apply([]Change{{Upstream: u}})
				now := tb.View().Get(u.Name)
				if now == before || now.Version != version {
					break
				}
				if !known {
					retryAt[keyOf(now)] = &time.Time{}
					if l := last[u.Name]; l != nil && next[keyOf(l)] != nil && u.Started.After(l.Started) {
						retryAt[keyOf(now)] = next[keyOf(l)]
					}
				}
				stated[keyOf(now)], last[u.Name] = u.State, now
			}
			for _, now := range tb.View().Of("s") {
				seen = append(seen, now)
				want := !left[keyOf(now)] && stated[keyOf(now)] == ferryplatform.StateLive
				if at := retryAt[keyOf(now)]; !now.RetryAt().Equal(*at) {
					t.Fatalf("%s of %s at version %d: wants no requests until %s, want %s", now.Name, now.Started, now.Version, now.RetryAt(), *at)
				}
				if now.Ready() != want {
					t.Fatalf("%s of %s at version %d: ready %t, want %t", now.Name, now.Started, now.Version, now.Ready(), want)
				}
			}
		}
	})
}
