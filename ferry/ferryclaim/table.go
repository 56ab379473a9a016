package ferryclaim

import (
	"sync"
	"time"

	"cactusferry.dev/ferry/ferryid"
)

const (
	// TicketLifetime is how long a ticket can be used after its issue.
	TicketLifetime = 15 * time.Minute
	// ticketRetention is how long a used ticket is recognised after its issue.
	ticketRetention = 2 * TicketLifetime
	purgeGrace      = time.Minute
)

// phase is the progress of one operation at this incarnation.
type phase uint8

const (
	phasePending    phase = 1 // the claim is being written
	phaseGranted    phase = 2 // may be dispatched
	phaseDispatched phase = 3 // the call may have been sent
	phaseFinished   phase = 4
	phaseRevoked    phase = 5 // will never be dispatched
)

// op is one claim or used ticket for which this incarnation is authoritative.
type op struct {
	Ref    Ref       `cbor:"1,keyasint"`
	Key    Digest    `cbor:"2,keyasint"`
	Body   Digest    `cbor:"3,keyasint"`
	Phase  phase     `cbor:"4,keyasint"`
	Until  time.Time `cbor:"5,keyasint"` // expiry of the key, or the end of a ticket's retention
	Start  time.Time `cbor:"6,keyasint"`
	Result Result    `cbor:"7,keyasint"`
	Ticket bool      `cbor:"8,keyasint"`
	// Retention is how long the outcome of a key is kept.
	Retention time.Duration `cbor:"9,keyasint"`
}

// table holds the state that only this incarnation knows: which of its claims and tickets were dispatched.
// It has a mutex because callers' goroutines use it directly, just before they send the first byte.
type table struct {
	mu     sync.Mutex
	self   ferryid.Incarnation
	serial Serial
	ops    map[Ref]*op
	byKey  map[Digest]Ref
	heirOf map[ferryid.Incarnation]bool
	heir   ferryid.Incarnation
	closed bool
}

func newTable(self ferryid.Incarnation) *table {
	return &table{self: self, ops: map[Ref]*op{}, byKey: map[Digest]Ref{}, heirOf: map[ferryid.Incarnation]bool{}}
}

func (t *table) nextRef() Ref {
	t.serial++
	return Ref{By: t.self, N: t.serial}
}

// authoritativeFor reports whether this incarnation has the complete state of the other's claims.
func (t *table) authoritativeFor(id ferryid.Incarnation) bool {
	return !t.closed && (id == t.self || t.heirOf[id])
}

// findByKey returns this incarnation's operation for the key.
func (t *table) findByKey(k Digest) (op, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	o, ok := t.ops[t.byKey[k]]
	if !ok || o.Phase == phaseRevoked {
		return op{}, false
	}
	return *o, true
}

// claim adds a pending operation for a key; it returns false if the table is closed.
func (t *table) claim(c Call, k Digest, now time.Time) (op, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.closed {
		return op{}, false
	}
	o := &op{
		Ref: t.nextRef(), Key: k, Body: c.Digest, Phase: phasePending,
		Start: now, Until: now.Add(c.Retention), Retention: c.Retention,
	}
	t.ops[o.Ref] = o
	t.byKey[k] = o.Ref
	return *o, true
}

// grant allows a pending operation to be dispatched, unless it was revoked in the meantime.
func (t *table) grant(r Ref) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	o, ok := t.ops[r]
	if !ok || t.closed || o.Phase != phasePending {
		return false
	}
	o.Phase = phaseGranted
	return true
}

// dispatch marks a granted operation as possibly sent. A claim must be dispatched within half of its
// retention, so that it can't run concurrently with a later claim of the same key.
func (t *table) dispatch(r Ref, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	o, ok := t.ops[r]
	if !ok || t.closed || o.Phase != phaseGranted {
		return false
	}
	if !o.Ticket && now.Sub(o.Start) >= o.Retention/2 {
		o.Phase = phaseRevoked
		return false
	}
	o.Phase = phaseDispatched
	return true
}

// finish records the result and returns the updated operation.
func (t *table) finish(r Ref, res Result, now time.Time) (op, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	o, ok := t.ops[r]
	if !ok || o.Phase != phaseDispatched {
		return op{}, false
	}
	o.Phase = phaseFinished
	o.Result = res
	if o.Ticket {
		o.Until = later(o.Until, now.Add(TicketLifetime))
	} else {
		o.Until = now.Add(o.Retention)
	}
	return *o, true
}

// release revokes an operation of which nothing was sent; a ticket can be used again.
func (t *table) release(r Ref) (op, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	o, ok := t.ops[r]
	if !ok || o.Phase == phaseFinished {
		return op{}, false
	}
	o.Phase = phaseRevoked
	if o.Ticket {
		delete(t.ops, r)
	}
	return *o, true
}

// forget drops an operation whose state the journal holds in full.
func (t *table) forget(r Ref) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.drop(r)
}

func (t *table) drop(r Ref) {
	o, ok := t.ops[r]
	if !ok {
		return
	}
	delete(t.ops, r)
	if t.byKey[o.Key] == r {
		delete(t.byKey, o.Key)
	}
}

// purge drops finished, revoked and inherited operations after their expiry.
// A ticket dropped here is refused for its age.
func (t *table) purge(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for r, o := range t.ops {
		done := o.Phase == phaseFinished || o.Phase == phaseRevoked || r.By != t.self
		if done && now.After(o.Until.Add(purgeGrace)) {
			t.drop(r)
		}
	}
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
