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

// Write is one change to a slot's journal, passed to the entry that owns the slot; it is safe to pass it on more than once.
type Write struct {
	Op       Op     `cbor:"1,keyasint"`
	Slot     int    `cbor:"2,keyasint"`
	Record   Record `cbor:"3,keyasint"`
	Replaces Ref    `cbor:"4,keyasint"`
}

// Decision is the owner's answer to one Write.
type Decision struct {
	Kind DecisionKind `cbor:"1,keyasint"`
	// Held is the record that the key has, after DecisionHeld.
	Held Record `cbor:"2,keyasint"`
	// Sent is true after DecisionRefused if the record may be on the platform all the same.
	Sent bool `cbor:"3,keyasint"`
	// RetryAfter is set after DecisionRefused if the owner may not ask the platform before then.
	RetryAfter time.Duration `cbor:"4,keyasint,omitempty"`
}

// DecisionKind says which answer a Decision is.
type DecisionKind uint8

// The kinds of decisions.
const (
	DecisionGranted DecisionKind = 1
	DecisionHeld    DecisionKind = 2
	DecisionRefused DecisionKind = 3
)

// Forwarder passes writes on to the owner of their slot, over whatever joins the processes.
type Forwarder interface {
	// Forward returns one decision for each write, or an error if any answer is missing.
	Forward(ctx context.Context, owner ferryid.Incarnation, ws []Write) ([]Decision, error)
}

var errOwnerDown = &ferryplatform.UnavailableError{Op: "claim", Err: errors.New("the slot's owner can't reach it")}

func decisionOf(v verdict) Decision {
	switch v := v.(type) {
	case held:
		return Decision{Kind: DecisionHeld, Held: v.rec}
	case refused:
		d := Decision{Kind: DecisionRefused, Sent: v.sent}
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
			return refused{&ferryplatform.BudgetError{Op: "claim", RetryAfter: d.RetryAfter}, d.Sent}
		}
		return refused{errOwnerDown, d.Sent}
	}
	return granted{}
}

// Check returns an error unless the write is sound.
func (w Write) Check(slots int) error {
	if w.Slot < 0 || w.Slot >= slots || w.Op >= opBarrier {
		return merry.Errorf("write has operation %d on slot %d of %d", w.Op, w.Slot, slots)
	}
	if w.Op == opFinish {
		return w.Record.Result.Check()
	}
	return nil
}

// Write does another entry's writes and waits for all decisions, or returns an error if the context ends first.
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
		r := request{op: w.Op, rec: w.Record, replaces: w.Replaces, passed: true}
		r.reply = func(v verdict) {
			out[i] = decisionOf(v)
			if left.Add(-1) == 0 {
				close(done)
			}
		}
		c.slots[w.Slot].postAlways(r)
	}
	select {
	case <-done:
		return out, nil
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// pass hands what waits to the slot's owner and reports whether all of it was decided; if not, this entry writes it itself.
func (s *slotRunner) pass(ctx context.Context) bool {
	if s.forward == nil || s.core.flight != nil || len(s.core.waiting) == 0 {
		return false
	}
	owner := s.owner()
	if owner == s.core.self || owner == "" {
		return false
	}
	var ws []Write
	for _, r := range s.core.waiting {
		if r.passed {
			return false
		}
		if r.op != opBarrier {
			ws = append(ws, Write{Op: r.op, Slot: s.index, Record: r.rec, Replaces: r.replaces})
		}
	}
	ctx, cancel := clockwork.WithTimeout(ctx, s.clock, forwardTimeout)
	defer cancel()
	ds, err := s.forward.Forward(ctx, owner, ws)
	if err != nil || len(ds) != len(ws) {
		s.core.mayBeSent()
		return false
	}
	for _, r := range s.core.takeAll() {
		v := verdict(granted{})
		if r.op != opBarrier {
			v, ds = ds[0].verdict(), ds[1:]
		}
		r.reply(v)
	}
	return true
}

// mayBeSent notes that another entry may write what waits here.
func (s *slot) mayBeSent() {
	for i := range s.waiting {
		s.waiting[i].sent = true
		s.waiting[i].passed = true
	}
}

func (s *slot) takeAll() []request {
	out := s.waiting
	s.waiting = nil
	return out
}

// ownerOf is the live entry that should write a slot; several may believe to be it, which only costs conflicts.
func ownerOf(name string, live []ferryid.Incarnation) ferryid.Incarnation {
	order := HeirOrder(ferryid.Incarnation("slot "+name), live)
	if len(order) == 0 {
		return ""
	}
	return order[0]
}
