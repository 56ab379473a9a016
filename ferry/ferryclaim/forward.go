package ferryclaim

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/jonboulle/clockwork"

	"cactusferry.dev/ferry/ferryid"
	"cactusferry.dev/ferry/ferryplatform"
)

const (
	forwardTimeout = time.Second
	maxWrites      = 2 * maxWaiting
)

// Write is one change to a slot's journal, forwarded to the entry that owns the slot; it is idempotent.
type Write struct {
	Op       Op     `cbor:"1,keyasint"`
	Slot     int    `cbor:"2,keyasint"`
	Record   Record `cbor:"3,keyasint"`
	Replaces Ref    `cbor:"4,keyasint"`
}

// Decision is the owner's answer to one Write.
type Decision struct {
	Kind DecisionKind `cbor:"1,keyasint"`
	// Held is the current record of the key, set with DecisionHeld.
	Held Record `cbor:"2,keyasint"`
	// MayBeWritten is true with DecisionRefused if the record may have been written nevertheless.
	MayBeWritten bool `cbor:"3,keyasint"`
	// RetryAfter is set with DecisionRefused if the owner's request budget is exhausted for that long.
	RetryAfter time.Duration `cbor:"4,keyasint,omitempty"`
}

// DecisionKind is the kind of a Decision.
type DecisionKind uint8

// The kinds of decisions.
const (
	DecisionGranted DecisionKind = 1
	DecisionHeld    DecisionKind = 2
	DecisionRefused DecisionKind = 3
)

// Forwarder forwards writes to the entry that owns their slot.
type Forwarder interface {
	// Forward returns one decision for each write, or an error if any decision is missing.
	Forward(ctx context.Context, owner ferryid.Incarnation, ws []Write) ([]Decision, error)
}

var errOwnerDown = &ferryplatform.UnavailableError{Op: "claim", Err: errors.New("unreachable from the slot's owner")}

func decisionOf(v verdict) Decision {
	switch v := v.(type) {
	case held:
		return Decision{Kind: DecisionHeld, Held: v.rec}
	case refused:
		d := Decision{Kind: DecisionRefused, MayBeWritten: v.mayBeWritten}
		var budget *ferryplatform.BudgetError
		if errors.As(v.err, &budget) {
			d.RetryAfter = budget.RetryAfter
		}
		return d
	}
	return Decision{Kind: DecisionGranted}
}

func (d Decision) verdict() verdict {
	switch d.Kind {
	case DecisionHeld:
		return held{d.Held}
	case DecisionRefused:
		if d.RetryAfter > 0 {
			return refused{&ferryplatform.BudgetError{Op: "claim", RetryAfter: d.RetryAfter}, d.MayBeWritten}
		}
		return refused{errOwnerDown, d.MayBeWritten}
	}
	return granted{}
}

// Check returns an error if the write has an invalid operation, slot or result.
func (w Write) Check(slots int) error {
	if w.Slot < 0 || w.Slot >= slots || w.Op >= opBarrier {
		return merry.Errorf("write has operation %d on slot %d of %d", w.Op, w.Slot, slots)
	}
	if w.Op == opFinish {
		return w.Record.Result.Check()
	}
	return nil
}

// Write performs writes that another entry forwarded and waits for all decisions,
// or returns an error if the context ends first.
func (c *Claims) Write(ctx context.Context, ws []Write) ([]Decision, error) {
	if len(ws) == 0 {
		return nil, nil
	}
	if len(ws) > maxWrites {
		return nil, merry.Errorf("%d writes in one message", len(ws))
	}
	out := make([]Decision, len(ws))
	var left atomic.Int64
	left.Store(int64(len(ws)))
	done := make(chan struct{})
	for _, w := range ws {
		if err := w.Check(len(c.slots)); err != nil {
			return nil, err
		}
	}
	for i, w := range ws {
		r := request{op: w.Op, rec: w.Record, replaces: w.Replaces, forwarded: true}
		r.reply = func(v verdict) {
			out[i] = decisionOf(v)
			if left.Add(-1) == 0 {
				close(done)
			}
		}
		c.slots[w.Slot].postUnbounded(r)
	}
	select {
	case <-done:
		return out, nil
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// forwardWaiting forwards the waiting requests to the slot's owner and reports whether all were decided.
// If not, this entry writes them itself.
func (s *slotRunner) forwardWaiting(ctx context.Context) bool {
	if s.forwarder == nil || s.slot.inFlight != nil || len(s.slot.waiting) == 0 {
		return false
	}
	owner := s.owner()
	if owner == s.slot.self || owner == "" {
		return false
	}
	var ws []Write
	for _, r := range s.slot.waiting {
		if r.forwarded {
			return false
		}
		if r.op != opBarrier {
			ws = append(ws, Write{Op: r.op, Slot: s.index, Record: r.rec, Replaces: r.replaces})
		}
	}
	ctx, cancel := clockwork.WithTimeout(ctx, s.clock, forwardTimeout)
	defer cancel()
	ds, err := s.forwarder.Forward(ctx, owner, ws)
	if err != nil || len(ds) != len(ws) {
		s.slot.markForwarded()
		return false
	}
	for _, r := range s.slot.takeWaiting() {
		v := verdict(granted{})
		if r.op != opBarrier {
			v, ds = ds[0].verdict(), ds[1:]
		}
		r.reply(v)
	}
	return true
}

// markForwarded records that another entry may write the waiting requests.
func (s *slot) markForwarded() {
	for i := range s.waiting {
		s.waiting[i].mayBeWritten = true
		s.waiting[i].forwarded = true
	}
}

func (s *slot) takeWaiting() []request {
	out := s.waiting
	s.waiting = nil
	return out
}

// ownerOf returns the live entry that should write a slot. Entries with different lists of live entries
// may choose different owners, which only costs write conflicts.
func ownerOf(name string, live []ferryid.Incarnation) ferryid.Incarnation {
	order := HeirOrder(ferryid.Incarnation("slot "+name), live)
	if len(order) == 0 {
		return ""
	}
	return order[0]
}
