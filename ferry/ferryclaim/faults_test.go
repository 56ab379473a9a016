package ferryclaim

import (
	"errors"
	"testing"

	"gotest.tools/v3/assert"

	"cactusferry.dev/ferry/ferryoutcome"
)

// play lets one entry's slot and one try go on until the try waits for nothing more.
func (w *world) play(t *try) {
	for range 20 {
		for range 4 {
			w.io(t.at)
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
	w := newWorld(2)
	w.play(w.begin(w.entries[1], "warm", nil, "x"))
	first := w.begin(w.entries[0], "a", nil, "one")
	w.play(first)
	w.finish(first)
	assert.NilError(t, w.stop(0))
	heir := w.entries[1]
	for range 8 {
		w.io(heir)
	}
	w.all["i1"].dead = true
	w.crash(1)
	retry := w.begin(w.entries[1], "a", nil, "one")
	w.play(retry)
	assert.Equal(t, outcomeOf(retry.err), ferryoutcome.Ran)
}

func TestJournalIsReadAgainWhenHolderIsGone(t *testing.T) {
	w := newWorld(2)
	first := w.begin(w.entries[0], "a", nil, "one")
	w.play(first)
	retry := w.begin(w.entries[1], "a", nil, "one")
	for range 4 {
		w.io(retry.at)
		w.io(retry.at)
		if retry.verdict != nil {
			break
		}
	}
	w.step(retry, false)
	_, asking := retry.wait.(askStep)
	assert.Assert(t, asking)
	w.finish(first)
	for range 4 {
		w.io(first.at)
	}
	w.crash(0)
	w.play(retry)
	assert.Equal(t, outcomeOf(retry.err), ferryoutcome.Ran)
}

func TestLostAnswerHoldsTheDispatchBack(t *testing.T) {
	for _, tc := range []struct {
		name   string
		fault  fault
		settle func(*world)
		want   bool
	}{
		{"landed", faultLostApplied, func(*world) {}, true},
		{"dropped", faultLostDropped, func(*world) {}, true},
		{"lands later", faultLostLate, func(w *world) { w.store.land() }, true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			w := newWorld(2)
			w.store.fault = func(write bool) fault {
				if write {
					return tc.fault
				}
				return faultNone
			}
			first := w.begin(w.entries[0], "a", nil, "one")
			w.play(first)
			assert.Assert(t, !first.sent && !first.done)
			w.store.fault = nil
			tc.settle(w)
			w.now = w.now.Add(maxBackoff)
			w.play(first)
			assert.Equal(t, first.sent, tc.want)
		})
	}
}

func TestKeyReusedWithAnotherBody(t *testing.T) {
	w := newWorld(2)
	first := w.begin(w.entries[0], "a", nil, "one")
	w.play(first)
	for _, n := range w.entries {
		other := w.begin(n, "a", nil, "two")
		w.play(other)
		var p *ferryoutcome.Problem
		assert.Assert(t, errors.As(other.err, &p))
		assert.Equal(t, p.Kind, ferryoutcome.KindKeyReused)
		assert.Equal(t, p.Outcome, ferryoutcome.NotRun)
	}
}

func TestTicketOfGoneIncarnationIsUnknown(t *testing.T) {
	w := newWorld(2)
	tk, _ := w.entries[0].table.issue(Call{Customer: "c", Service: "s"}, w.now)
	w.crash(0)
	use := w.begin(w.entries[1], "ticket", &tk, "one")
	w.play(use)
	assert.Equal(t, outcomeOf(use.err), ferryoutcome.Unknown)
	assert.Equal(t, len(w.ran["ticket"]), 0)
}

func TestTicketOutlivesPlannedStop(t *testing.T) {
	w := newWorld(3)
	tk, _ := w.entries[0].table.issue(Call{Customer: "c", Service: "s"}, w.now)
	assert.NilError(t, w.stop(0))
	w.all["i1"].dead = true
	for range 3 {
		for _, n := range w.entries {
			w.play(w.begin(n, "ticket", &tk, "one"))
		}
	}
	assert.Equal(t, len(w.ran["ticket"]), 1)
}

func TestOldTickets(t *testing.T) {
	for _, tc := range []struct {
		name string
		age  int
		want ferryoutcome.Outcome
	}{
		{"never used", 1, ferryoutcome.NotRun},
		{"forgotten", 2, ferryoutcome.Unknown},
	} {
		t.Run(tc.name, func(t *testing.T) {
			w := newWorld(1)
			tk, _ := w.entries[0].table.issue(Call{Customer: "c", Service: "s"}, w.now)
			for range tc.age {
				w.now = w.now.Add(TicketLifetime)
			}
			use := w.begin(w.entries[0], "ticket", &tk, "one")
			assert.Equal(t, outcomeOf(use.err), tc.want)
		})
	}
}
