package ferryclaim

import (
	"errors"
	"testing"

	"gotest.tools/v3/assert"

	"cactusferry.dev/ferry/ferryoutcome"
)

// runCall advances one call and the slot of its entry until the call waits for nothing.
func (w *simulation) runCall(t *simCall) {
	for range 20 {
		for range 4 {
			w.io(t.entry)
		}
		w.step(t, false)
	}
}

func outcomeOf(err error) ferryoutcome.Outcome {
	var rep *Replay
	if errors.As(err, &rep) {
		return rep.Outcome
	}
	return ferryoutcome.Of(err)
}

func TestHeirWithStaleCacheWritesOutcome(t *testing.T) {
	w := newSimulation(2)
	w.runCall(w.begin(w.entries[1], "warm", nil, "x"))
	first := w.begin(w.entries[0], "a", nil, "one")
	w.runCall(first)
	w.finish(first)
	assert.NilError(t, w.stop(0))
	heir := w.entries[1]
	for range 8 {
		w.io(heir)
	}
	w.all["i1"].dead = true
	w.crash(1)
	retry := w.begin(w.entries[1], "a", nil, "one")
	w.runCall(retry)
	assert.Equal(t, outcomeOf(retry.err), ferryoutcome.Ran)
}

func TestJournalIsReadAgainWhenHolderCrashed(t *testing.T) {
	w := newSimulation(2)
	first := w.begin(w.entries[0], "a", nil, "one")
	w.runCall(first)
	retry := w.begin(w.entries[1], "a", nil, "one")
	for range 4 {
		w.io(retry.entry)
		w.io(retry.entry)
		if retry.verdict != nil {
			break
		}
	}
	w.step(retry, false)
	_, asking := retry.step.(askStep)
	assert.Assert(t, asking)
	w.finish(first)
	for range 4 {
		w.io(first.entry)
	}
	w.crash(0)
	w.runCall(retry)
	assert.Equal(t, outcomeOf(retry.err), ferryoutcome.Ran)
}

func TestLostAnswerDelaysDispatch(t *testing.T) {
	for _, tc := range []struct {
		name    string
		fault   fault
		resolve func(*simulation)
		want    bool
	}{
		{"applied", faultLostApplied, func(*simulation) {}, true},
		{"dropped", faultLostDropped, func(*simulation) {}, true},
		{"applied late", faultLostLate, func(w *simulation) { w.store.applyLate() }, true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			w := newSimulation(2)
			w.store.fault = func(write bool) fault {
				if write {
					return tc.fault
				}
				return faultNone
			}
			first := w.begin(w.entries[0], "a", nil, "one")
			w.runCall(first)
			assert.Assert(t, !first.sent && !first.done)
			w.store.fault = nil
			tc.resolve(w)
			w.now = w.now.Add(maxBackoff)
			w.runCall(first)
			assert.Equal(t, first.sent, tc.want)
		})
	}
}

func TestKeyReusedWithAnotherBody(t *testing.T) {
	w := newSimulation(2)
	first := w.begin(w.entries[0], "a", nil, "one")
	w.runCall(first)
	for _, n := range w.entries {
		other := w.begin(n, "a", nil, "two")
		w.runCall(other)
		var p *ferryoutcome.Problem
		assert.Assert(t, errors.As(other.err, &p))
		assert.Equal(t, p.Kind, ferryoutcome.KindKeyReused)
		assert.Equal(t, p.Outcome, ferryoutcome.NotRun)
	}
}

func TestTicketOfCrashedIncarnationIsUnknown(t *testing.T) {
	w := newSimulation(2)
	tk, _ := w.entries[0].table.issue(Call{Customer: "c", Service: "s"}, w.now)
	w.crash(0)
	use := w.begin(w.entries[1], "ticket", &tk, "one")
	w.runCall(use)
	assert.Equal(t, outcomeOf(use.err), ferryoutcome.Unknown)
	assert.Equal(t, len(w.ran["ticket"]), 0)
}

func TestTicketOutlivesPlannedStop(t *testing.T) {
	w := newSimulation(3)
	tk, _ := w.entries[0].table.issue(Call{Customer: "c", Service: "s"}, w.now)
	assert.NilError(t, w.stop(0))
	w.all["i1"].dead = true
	for range 3 {
		for _, n := range w.entries {
			w.runCall(w.begin(n, "ticket", &tk, "one"))
		}
	}
	assert.Equal(t, len(w.ran["ticket"]), 1)
}

func TestExpiredTickets(t *testing.T) {
	for _, tc := range []struct {
		name string
		age  int
		want ferryoutcome.Outcome
	}{
		{"past its lifetime, never used", 1, ferryoutcome.NotRun},
		{"past its retention", 2, ferryoutcome.Unknown},
	} {
		t.Run(tc.name, func(t *testing.T) {
			w := newSimulation(1)
			tk, _ := w.entries[0].table.issue(Call{Customer: "c", Service: "s"}, w.now)
			for range tc.age {
				w.now = w.now.Add(TicketLifetime)
			}
			use := w.begin(w.entries[0], "ticket", &tk, "one")
			assert.Equal(t, outcomeOf(use.err), tc.want)
		})
	}
}
