package ferryclaim

import (
	"context"

	"cactusferry.dev/ferry/ferryid"
)

// Question asks an incarnation for the state of one of its claims or tickets.
type Question struct {
	Ref Ref `cbor:"1,keyasint"`
	// Body is the digest of the call that is being retried.
	Body Digest `cbor:"2,keyasint"`
	// Revoke asks the incarnation never to dispatch the claim unless it already has.
	Revoke bool `cbor:"3,keyasint"`
}

// AnswerKind is the state of a claim or ticket as reported by an incarnation.
type AnswerKind uint8

// The kinds of answers to a Question.
const (
	// AnswerNotAuthoritative means that the process asked is neither that incarnation nor its heir.
	AnswerNotAuthoritative AnswerKind = 1
	// AnswerNotDispatched means that nothing was sent; if the Question had Revoke set, nothing ever will be.
	AnswerNotDispatched AnswerKind = 2
	// AnswerDispatched means that the call may have been sent and has not finished.
	AnswerDispatched AnswerKind = 3
	// AnswerFinished means that the result is known.
	AnswerFinished AnswerKind = 4
	// AnswerReused means that the key or ticket was claimed for a call with another body.
	AnswerReused AnswerKind = 5
)

// Answer is the answer to a Question.
type Answer struct {
	Kind   AnswerKind `cbor:"1,keyasint"`
	Result Result     `cbor:"2,keyasint"`
}

// Asker sends questions to other incarnations.
type Asker interface {
	// Ask returns the incarnation's answer, or an error if the incarnation is unreachable or has ended.
	Ask(ctx context.Context, id ferryid.Incarnation, q Question) (Answer, error)
}

// answer decides under the table's lock without waiting, so that a revoked claim can't be
// dispatched afterwards.
func (t *table) answer(q Question) Answer {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.authoritativeFor(q.Ref.By) {
		return Answer{Kind: AnswerNotAuthoritative}
	}
	o, ok := t.ops[q.Ref]
	if !ok {
		return Answer{Kind: AnswerNotDispatched}
	}
	if o.Body != q.Body {
		return Answer{Kind: AnswerReused}
	}
	switch o.Phase {
	case phaseDispatched:
		return Answer{Kind: AnswerDispatched}
	case phaseFinished:
		return Answer{Kind: AnswerFinished, Result: o.Result}
	case phasePending, phaseGranted:
		if !q.Revoke {
			return Answer{Kind: AnswerDispatched}
		}
		o.Phase = phaseRevoked
	}
	return Answer{Kind: AnswerNotDispatched}
}
