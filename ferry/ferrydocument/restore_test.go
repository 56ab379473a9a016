package ferrydocument

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"cactusferry.dev/ferry/ferryid"
)

// snapshot and restore go back only while some entry has all that was acknowledged.
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

// forked returns an entry whose document is not an ancestor or successor of the store's.
func (m *model) forked() *modelEntry {
	stored := m.stored()
	for _, e := range m.entries {
		if f, ok := e.holder.Get(modelService); ok && compare(f, stored, stored.Hash()) == Forked {
			return e
		}
	}
	return nil
}

// TestModelNeverStepsBackWhenTheStoreDoes adds restores: branches may then form, but never silently, and can be settled.
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
			m.settleFork(t, e)
		}
		m.check(t)
		m.checkSame(t)
	})
	t.Logf("%d histories with a restore, %d forks settled", restores, forks)
}

// settleFork does what the alarm tells the operator to do, at the entry that raised it.
func (m *model) settleFork(t *rapid.T, e *modelEntry) {
	alarm := false
	for _, ev := range e.events.Events() {
		alarm = alarm || ev.Kind == EventForked
	}
	if !alarm {
		t.Fatalf("%s is on another branch than the store and raised no alarm", e.name)
	}
	f, _ := e.holder.Get(modelService)
	op := m.operators[0]
	op.entry = e
	m.n++
	m.begin(op, ApplyRequest{
		Service: modelService, Source: f.Accepted.Source, BaseGeneration: m.stored().Generation,
		Operator: "op", ApplyID: fmt.Sprint("settle-", m.n), Supersedes: []string{f.Hash},
	})
	for range 20 {
		if op.core != nil {
			op.action = op.core.next(m.perform(t.Context(), op.action))
			m.finish(op)
		}
	}
	m.clock.Advance(time.Minute)
	m.spread(t)
}
