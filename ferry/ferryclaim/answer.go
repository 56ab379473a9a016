package ferryclaim

import (
	"context"

	"cactusferry.dev/ferry/ferryid"
)

// Question asks an incarnation about one of its claims or tickets.
type Question struct {
	Ref Ref `cbor:"1,keyasint"`
	// Body is the digest of the call that is being retried.
	Body Digest `cbor:"2,keyasint"`
	// Revoke asks it never to dispatch the claim if it has not yet.
	Revoke bool `cbor:"3,keyasint"`
}

// Known is what an incarnation knows of a claim or ticket.
type Known uint8

// The answers to a Question.
const (
	// NotMine means that the asked process is neither that incarnation nor its heir.
	NotMine Known = 1
	// NeverDispatched means that nothing was sent, and after a Question with Revoke nothing ever will be.
	NeverDispatched Known = 2
	// Dispatched means that it may have been sent and has not finished.
	Dispatched Known = 3
	// Finished means that the result is known.
	Finished Known = 4
	// Reused means that it was claimed for a call with another body.
	Reused Known = 5
)

// Answer is the answer to a Question.
type Answer struct {
	Known  Known  `cbor:"1,keyasint"`
	Result Result `cbor:"2,keyasint"`
}

// Asker asks other incarnations, over whatever joins the processes.
type Asker interface {
	// Ask returns what the incarnation knows of a claim, or an error if it can't be reached or is gone.
	Ask(ctx context.Context, id ferryid.Incarnation, q Question) (Answer, error)
}

// answer is given at once and under the table's lock, so that a revoked claim can't be dispatched afterwards.
func (t *table) answer(q Question) Answer {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.answersFor(q.Ref.By) {
		return Answer{Known: NotMine}
	}
	o, ok := t.ops[q.Ref]
	if !ok {
		return Answer{Known: NeverDispatched}
	}
	if o.Body != q.Body {
		return Answer{Known: Reused}
	}
	switch o.Phase {
	case phaseDispatched:
		return Answer{Known: Dispatched}
	case phaseFinished:
		return Answer{Known: Finished, Result: o.Result}
	case phasePending, phaseGranted:
		if !q.Revoke {
			return Answer{Known: Dispatched}
		}
		o.Phase = phaseRevoked
	}
	return Answer{Known: NeverDispatched}
}
