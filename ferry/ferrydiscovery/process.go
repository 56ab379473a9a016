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
	// retryAt is what was stated at the address of the process.
	retryAt *deferral
	// next is what was stated there since the process could last not be reached; nil if it always could be. It may be the
	// next process that stated it, before the platform reported that one.
	next atomic.Pointer[deferral]
	// goneAt is when the table last lost the row of the process, or zero; the table's mutex guards it.
	goneAt time.Time
}

// deferral is the time until which a process wants no requests; nil means that it never stated one.
type deferral struct{ at atomic.Pointer[time.Time] }

// extend sets a later time; an earlier one than that on record changes nothing.
func (d *deferral) extend(until time.Time) {
	for {
		old := d.at.Load()
		if (old != nil && !until.After(*old)) || d.at.CompareAndSwap(old, &until) {
			return
		}
	}
}

func (d *deferral) until() time.Time {
	if at := d.at.Load(); at != nil {
		return *at
	}
	return time.Time{}
}

// processKey identifies a process by the values that SameProcess compares.
type processKey struct {
	name, address string
	started       int64
}

func keyOf(u *Upstream) processKey {
	return processKey{name: u.Name, address: u.Address, started: u.Started.UnixNano()}
}

// processOf returns the state of the upstream's process, given the last row before it or nil.
func (t *Table) processOf(u, before *Upstream) *process {
	if old := t.rows[u.Name]; old != nil && old.process != nil && old.SameProcess(u) {
		return old.process
	}
	key := keyOf(u)
	p := t.processes[key]
	if p == nil {
		p = &process{retryAt: before.statedByNext(u)}
		t.processes[key] = p
	}
	return p
}

// statedByNext returns what the next process at the address of an earlier one, or of none, has stated until now.
func (u *Upstream) statedByNext(next *Upstream) *deferral {
	if u != nil && u.Address == next.Address && next.Started.After(u.Started) {
		if d := u.process.next.Load(); d != nil {
			return d // shared, since requests to the earlier row may still be answered
		}
	}
	return &deferral{}
}

// MarkLeaving records that an upstream has stated that it is leaving, and reports whether that was not known. It
// holds for that process of the upstream whatever the platform reports.
func (t *Table) MarkLeaving(u *Upstream) bool {
	if u.process != nil && u.process.leaving.Load() {
		return false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	p := t.processOf(u, nil)
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

// RetryAt returns the time until which the upstream's process wants no requests; it is zero if it never stated one.
func (u *Upstream) RetryAt() time.Time {
	if u.process == nil {
		return time.Time{}
	}
	return u.process.retryAt.until()
}

// Deferred reports whether the upstream wants no requests now.
func (u *Upstream) Deferred(now time.Time) bool { return now.Before(u.RetryAt()) }

// Defer records that the upstream wants no requests until the given time. An earlier time than the one on record
// changes nothing. It has no effect on an upstream that is not from a table's view.
func (u *Upstream) Defer(until time.Time) {
	if u.process == nil {
		return
	}
	u.process.retryAt.extend(until)
	if next := u.process.next.Load(); next != nil {
		next.extend(until)
	}
}

// RecordUnreachable records that the upstream could not be reached, so that another process may answer at its address
// before the platform reports it. It has no effect on an upstream that is not from a table's view.
func (u *Upstream) RecordUnreachable() {
	if u.process != nil {
		u.process.next.Store(&deferral{})
	}
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
