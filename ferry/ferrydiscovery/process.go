package ferrydiscovery

import (
	"sync/atomic"
	"time"

	"cactusferry.dev/ferry/ferryplatform"
)

// process is what one process of an upstream has stated about itself in its answers. All rows of the process share
// it, whatever the platform reports later.
type process struct {
	leaving atomic.Bool
	// goneAt is when the table last lost the row of the process, or zero; the table's mutex guards it.
	goneAt time.Time
}

// processKey identifies a process by the values that SameProcess compares.
type processKey struct {
	name, address string
	started       int64
}

func keyOf(u *Upstream) processKey {
	return processKey{name: u.Name, address: u.Address, started: u.Started.UnixNano()}
}

// processOf returns the state of the upstream's process.
func (t *Table) processOf(u *Upstream) *process {
	if old := t.rows[u.Name]; old != nil && old.process != nil && old.SameProcess(u) {
		return old.process
	}
	key := keyOf(u)
	p := t.processes[key]
	if p == nil {
		p = &process{}
		t.processes[key] = p
	}
	return p
}

// MarkLeaving records that an upstream has stated that it is leaving, and reports whether that was not known. It
// holds for that process of the upstream whatever the platform reports.
func (t *Table) MarkLeaving(u *Upstream) bool {
	if u.process != nil && u.process.leaving.Load() {
		return false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	p := t.processOf(u)
	if p.leaving.Swap(true) {
		return false
	}
	row := t.rows[u.Name]
	if row == nil || !row.SameProcess(u) {
		p.goneAt = t.clock.Now()
		return true
	}
	wasReady := row.Ready()
	marked := *row
	marked.State = ferryplatform.StateLeaving
	t.setRow(u.Name, &marked)
	t.publish(wasReady)
	return wasReady
}

// dropProcess notes that a process has lost its row.
func (t *Table) dropProcess(u *Upstream) {
	if u != nil && u.process != nil {
		u.process.goneAt = t.clock.Now()
	}
}

// forgetProcesses drops the processes that have had no row for tombstoneRetention.
func (t *Table) forgetProcesses(now time.Time) {
	for key, p := range t.processes {
		if !p.goneAt.IsZero() && now.Sub(p.goneAt) > tombstoneRetention {
			delete(t.processes, key)
		}
	}
}
