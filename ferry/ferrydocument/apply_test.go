package ferrydocument_test

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"

	"cactusferry.dev/ferry/ferrydocument"
	"cactusferry.dev/ferry/ferryid"
	"cactusferry.dev/ferry/ferryplatform"
	"cactusferry.dev/ferry/ferryplatform/ferryplatformtest"
	"cactusferry.dev/ferry/ferryservice"
	"cactusferry.dev/ferry/ferrytoml"
)

// autoClock is a fake clock that advances by the requested duration in After.
type autoClock struct{ *clockwork.FakeClock }

func (c autoClock) After(d time.Duration) <-chan time.Time {
	over := make(chan time.Time, 1)
	c.Advance(d)
	over <- c.Now()
	return over
}

// testEntry is the holder of one entry and its store.
type testEntry struct {
	t      *testing.T
	clock  autoClock
	store  *ferryplatformtest.Fake
	holder *ferrydocument.Holder
}

func newTestEntry(t *testing.T) *testEntry {
	clock := autoClock{clockwork.NewFakeClockAt(start)}
	return &testEntry{t, clock, ferryplatformtest.New(clock), ferrydocument.NewHolder(clock, nil)}
}

func request(team string, base ferryid.Generation) ferrydocument.ApplyRequest {
	return ferrydocument.ApplyRequest{
		Service: "parlour-api", Source: text(team), BaseGeneration: base, Operator: "op-" + team, ApplyID: "apply-" + team,
	}
}

func (s *testEntry) apply(req ferrydocument.ApplyRequest) (ferryservice.Accepted, error) {
	return s.holder.Apply(s.t.Context(), s.store, req)
}

func (s *testEntry) mustApply(team string, base ferryid.Generation) ferryservice.Accepted {
	s.t.Helper()
	a, err := s.apply(request(team, base))
	assert.NilError(s.t, err)
	return a
}

// stored returns the accepted version in the store.
func (s *testEntry) stored() ferryservice.Accepted {
	s.t.Helper()
	o, err := s.store.Get(s.t.Context(), ferryservice.ObjectKind, "parlour-api")
	assert.NilError(s.t, err)
	a, err := ferryservice.DecodeAccepted(o.Value)
	assert.NilError(s.t, err)
	return a
}

func TestApplyTakesEffectLocallyAtOnce(t *testing.T) {
	s := newTestEntry(t)
	first := s.mustApply("one", 0)
	second := s.mustApply("two", 1)
	assert.Equal(t, second.Generation, ferryid.Generation(2))
	assert.Equal(t, second.PreviousHash, first.Hash())
	f, ok := s.holder.Get("parlour-api")
	assert.Assert(t, ok)
	assert.Equal(t, f.Hash, second.Hash())
	assert.Equal(t, s.stored().Hash(), second.Hash())
}

func TestApplyLosesRace(t *testing.T) {
	s := newTestEntry(t)
	s.mustApply("noon", 0)
	morning := request("noon", 1)
	morning.ApplyID, morning.Operator = "m", "ivana"
	morning.Source = strings.Replace(text("noon"), `Team = "noon"`, `Team = "parlour" # ivana`, 1) + "[Limits]\nQueueLength = 10\n"
	_, err := s.apply(morning)
	assert.NilError(t, err)
	afternoon := request("noon", 1)
	afternoon.ApplyID, afternoon.Operator = "a", "petar"
	afternoon.Source = strings.Replace(text("noon"), `Team = "noon"`, `Team = "parlour" # petar`, 1)
	_, err = s.apply(afternoon)
	var lost *ferrydocument.LostRaceError
	assert.Assert(t, errors.As(err, &lost), "%v", err)
	assert.Equal(t, lost.Winner.Operator, "ivana")
	assert.Equal(t, s.stored().Operator, "ivana")
	golden.Assert(t, err.Error()+"\n"+lost.Diff, "lost-race.golden")
}

func TestApplyLosesRaceWithoutBase(t *testing.T) {
	s := newTestEntry(t)
	s.mustApply("one", 0)
	s.mustApply("two", 1)
	other := newTestEntry(t)
	other.store, other.clock = s.store, s.clock
	_, err := other.apply(request("late", 1))
	var lost *ferrydocument.LostRaceError
	assert.Assert(t, errors.As(err, &lost), "%v", err)
	golden.Assert(t, lost.Diff, "lost-race-two-way.golden")
}

func TestApplyResolvesLostAnswer(t *testing.T) {
	tests := []struct {
		name   string
		faults ferryplatformtest.Faults
	}{
		{"took effect", ferryplatformtest.Faults{LoseAnswers: 1}},
		{"takes effect late", ferryplatformtest.Faults{LoseAnswers: 1, LateEffectMS: 1000}},
		{"several answers lost", ferryplatformtest.Faults{LoseAnswers: 3, LateEffectMS: 1000}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s := newTestEntry(t)
			s.mustApply("one", 0)
			s.store.SetFaults(tt.faults)
			a, err := s.apply(request("two", 1))
			assert.NilError(t, err)
			s.clock.Advance(time.Minute)
			assert.Equal(t, s.stored().Hash(), a.Hash())
			assert.Equal(t, a.Generation, ferryid.Generation(2))
		})
	}
}

// hookedStore calls get before each read of the store.
type hookedStore struct {
	ferryplatform.Store
	beforeGet func()
}

func (b hookedStore) Get(ctx context.Context, kind, name string) (ferryplatform.Object, error) {
	b.beforeGet()
	return b.Store.Get(ctx, kind, name)
}

func TestApplyWithLostAnswerFindsItsVersionAmongAncestors(t *testing.T) {
	s := newTestEntry(t)
	s.mustApply("one", 0)
	s.store.SetFaults(ferryplatformtest.Faults{LoseAnswers: 1})
	other := newTestEntry(t)
	other.clock, other.store = s.clock, s.store
	reads := 0
	store := hookedStore{s.store, func() {
		reads++
		if reads == 2 {
			for i, g := range []ferryid.Generation{2, 3} {
				_, err := ferrydocument.Apply(t.Context(), s.store, s.clock, request(fmt.Sprint("later", i), g))
				assert.NilError(t, err)
			}
		}
	}}
	a, err := s.holder.Apply(t.Context(), store, request("two", 1))
	assert.NilError(t, err)
	assert.Equal(t, a.Generation, ferryid.Generation(2))
	f, _ := s.holder.Get("parlour-api")
	assert.Equal(t, f.Accepted.Generation, ferryid.Generation(4))
	assert.Equal(t, f.Accepted.DescendsFrom(2, a.Hash()), ferryservice.Descends)
}

func TestApplyUnresolvedThenRepeated(t *testing.T) {
	s := newTestEntry(t)
	s.mustApply("one", 0)
	s.store.SetFaults(ferryplatformtest.Faults{LoseAnswers: 1000, LateEffectMS: 60000})
	_, err := s.apply(request("two", 1))
	var unresolved *ferrydocument.UnresolvedError
	assert.Assert(t, errors.As(err, &unresolved), "%v", err)
	assert.Equal(t, unresolved.Command, "ferryctl apply FILE --base 1 --apply-id apply-two --operator op-two")
	assert.Equal(t, ferrydocument.Status(err), 202)
	s.store.SetFaults(ferryplatformtest.Faults{})
	a, err := s.apply(request("two", 1))
	assert.NilError(t, err)
	s.clock.Advance(time.Hour)
	assert.Equal(t, s.stored().Hash(), a.Hash())
	again, err := s.apply(request("two", 1))
	assert.NilError(t, err)
	assert.Equal(t, again.Hash(), a.Hash())
}

func TestApplyFailsAtOnceInOutage(t *testing.T) {
	s := newTestEntry(t)
	s.store.SetFaults(ferryplatformtest.Faults{Outage: true})
	_, err := ferrydocument.Apply(t.Context(), s.store, s.clock, request("one", 0))
	assert.Assert(t, errors.As(err, new(*ferryplatform.UnavailableError)), "%v", err)
	assert.Equal(t, ferrydocument.Status(err), 503)
}

func TestApplyRepairsRolledBackStore(t *testing.T) {
	s := newTestEntry(t)
	s.mustApply("one", 0)
	s.store.Snapshot()
	two := s.mustApply("two", 1)
	assert.Assert(t, s.store.Restore())
	_, err := s.apply(request("stale", 1))
	var lost *ferrydocument.LostRaceError
	assert.Assert(t, errors.As(err, &lost), "%v", err)
	assert.Equal(t, s.stored().Hash(), two.Hash())
	three := s.mustApply("three", 2)
	assert.Equal(t, three.PreviousHash, two.Hash())
}

func TestApplyResolvesFork(t *testing.T) {
	s := newTestEntry(t)
	s.mustApply("one", 0)
	s.store.Snapshot()
	s.mustApply("two", 1)
	assert.Assert(t, s.store.Restore())
	_, err := ferrydocument.Apply(t.Context(), s.store, s.clock, request("other", 1))
	assert.NilError(t, err)

	_, err = s.apply(request("three", 2))
	var fork *ferrydocument.ForkError
	assert.Assert(t, errors.As(err, &fork), "%v", err)
	req := request("three", fork.StoreGeneration)
	req.Supersedes = []string{fork.HeldHash}
	a, err := s.apply(req)
	assert.NilError(t, err)
	f, _ := s.holder.Get("parlour-api")
	assert.Equal(t, f.Hash, a.Hash())
	assert.Equal(t, s.stored().Hash(), a.Hash())
}

func TestApplyRefusesInvalidRequests(t *testing.T) {
	change := func(f func(*ferrydocument.ApplyRequest)) ferrydocument.ApplyRequest {
		r := request("one", 0)
		f(&r)
		return r
	}
	tests := []struct {
		name   string
		req    ferrydocument.ApplyRequest
		want   string
		status int
	}{
		{"no id", change(func(r *ferrydocument.ApplyRequest) { r.ApplyID = "" }), "ApplyID", 400},
		{"no operator", change(func(r *ferrydocument.ApplyRequest) { r.Operator = "" }), "Operator", 400},
		{"bad name", change(func(r *ferrydocument.ApplyRequest) { r.Service = "../x" }), "service", 400},
		{"too long", change(func(r *ferrydocument.ApplyRequest) { r.Source = strings.Repeat("#", 800<<10) }), "Source", 400},
		{"faulty text", change(func(r *ferrydocument.ApplyRequest) { r.Source = "Kind = 3" }), "line 1", 422},
		{"other service", change(func(r *ferrydocument.ApplyRequest) { r.Service = "other" }), `"other"`, 422},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s := newTestEntry(t)
			_, err := ferrydocument.Apply(t.Context(), s.store, s.clock, tt.req)
			assert.ErrorContains(t, err, tt.want)
			assert.Equal(t, ferrydocument.Status(err), tt.status)
			assert.Equal(t, s.store.Calls().Total(), int64(0))
		})
	}
}

func TestApplyRefusesReusedID(t *testing.T) {
	s := newTestEntry(t)
	s.mustApply("one", 0)
	reused := request("two", 1)
	reused.ApplyID = "apply-one"
	_, err := s.apply(reused)
	assert.Assert(t, errors.As(err, new(*ferrydocument.ApplyIDReusedError)), "%v", err)
	s.mustApply("two", 1)
	reused = request("three", 2)
	reused.ApplyID = "apply-one"
	_, err = s.apply(reused)
	assert.Assert(t, errors.As(err, new(*ferrydocument.ApplyIDReusedError)), "%v", err)
}

func FuzzDecodeApplyRequest(f *testing.F) {
	f.Add([]byte(`{"Source":"x","BaseGeneration":1,"Operator":"o","ApplyID":"a"}`))
	f.Fuzz(func(t *testing.T, b []byte) {
		req, err := ferrydocument.DecodeApplyRequest("parlour-api", b)
		if err == nil && req.ApplyID == "" {
			t.Fatal("accepted a request without an apply id")
		}
		var faults *ferrytoml.FaultsError
		if errors.As(err, &faults) {
			t.Fatal("DecodeApplyRequest validated the text")
		}
	})
}
