package ferrydocument

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"cactusferry.dev/ferry/ferryid"
)

// restore rolls the store back, unless the store has the only copy of an acknowledged version.
func (m *model) restore(t *rapid.T) {
	best := ferryid.Generation(0)
	for _, e := range m.entries {
		best = max(best, e.generation())
	}
	if best < m.stored().Generation {
		t.Skip("the store has the only copy")
	}
	if m.store.Restore() {
		m.restored = true
	}
}

// forked returns an entry whose document is neither an ancestor nor a successor of the one in the store, or
// nil.
func (m *model) forked() *modelEntry {
	stored := m.stored()
	for _, e := range m.entries {
		if f, ok := e.holder.Get(modelService); ok && compare(f, stored, stored.Hash()) == Forked {
			return e
		}
	}
	return nil
}

// TestModelNeverStepsBackWhenTheStoreDoes runs random histories with rollbacks of the store. Branches may
// then form, but each must raise an alarm and be resolvable with --supersedes.
func TestModelNeverStepsBackWhenTheStoreDoes(t *testing.T) {
	forks, restores := 0, 0
	rapid.Check(t, func(t *rapid.T) {
		m := newModel()
		actions := m.actions()
		actions["snapshot"] = func(*rapid.T) { m.store.Snapshot() }
		actions["restore"] = m.restore
		t.Repeat(actions)
		m.heal(t)
		if m.restored {
			restores++
		}
		for range 2 * modelEntries {
			e := m.forked()
			if e == nil {
				break
			}
			forks++
			m.resolveFork(t, e)
		}
		m.check(t)
		m.checkConverged(t)
	})
	t.Logf("%d histories with a restore, %d forks resolved", restores, forks)
}

// resolveFork resolves the fork as the alarm asks the operator to, at the entry that raised it.
func (m *model) resolveFork(t *rapid.T, e *modelEntry) {
	alarm := false
	for _, ev := range e.events.Events() {
		alarm = alarm || ev.Kind == EventForked
	}
	if !alarm {
		t.Fatalf("%s diverges from the store and raised no alarm", e.name)
	}
	f, _ := e.holder.Get(modelService)
	op := m.operators[0]
	op.entry = e
	m.n++
	m.begin(op, ApplyRequest{
		Service: modelService, Source: f.Accepted.Source, BaseGeneration: m.stored().Generation,
		Operator: "op", ApplyID: fmt.Sprint("resolve-", m.n), Supersedes: []string{f.Hash},
	})
	for range 20 {
		if op.core != nil {
			op.action = op.core.next(m.perform(t.Context(), op.action))
			m.finish(op)
		}
	}
	m.clock.Advance(time.Minute)
	m.converge(t)
}
