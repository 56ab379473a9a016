package ferryclaim

import "cactusferry.dev/ferry/ferryplatform"

// Op is the operation of a Write on a slot's journal.
type Op uint8

const (
	opClaim   Op = iota // write the record if the key is claimable
	opRelease           // release the claim
	opFinish            // record the outcome
	opRead              // read the current record from the platform
	opBarrier           // wait until all earlier requests are written
)

// request is one request to a slot.
type request struct {
	op  Op
	rec Record
	// replaces refers to another incarnation's claim that may be replaced because it was revoked.
	replaces Ref
	// fresh is true once the slot was read after the request was submitted.
	fresh bool
	// mayBeWritten is true once the record was in a write that may have taken effect.
	mayBeWritten bool
	// forwarded is true if another entry forwarded the request, or if forwarding it to the owner failed.
	forwarded bool
	reply     func(verdict)
}

func (r request) needsAnswer() bool {
	return r.op == opClaim || r.op == opRead
}

// verdict is a slot's answer to one request.
type verdict interface{ isVerdict() }

// granted means that the record is written.
type granted struct{}

// held means that the key has another record; its State is 0 if it has none.
type held struct{ rec Record }

// refused means that the platform did not serve the request.
// Unless mayBeWritten is true, the record is not written and never will be.
type refused struct {
	err          error
	mayBeWritten bool
}

func (granted) isVerdict() {}
func (held) isVerdict()    {}
func (refused) isVerdict() {}

// decided pairs a request with its verdict.
type decided struct {
	req request
	v   verdict
}

// action is one operation on the slot's object, the tail, or on a segment; a slot has at most one in progress.
type action interface{ isAction() }

type getTail struct{}

type getSegment struct{ ref segmentRef }

type putTail struct {
	expected ferryplatform.Version
	value    []byte
}

type putSegment struct {
	name  string
	value []byte
}

type deleteSegment struct{ name string }

func (getTail) isAction()       {}
func (getSegment) isAction()    {}
func (putTail) isAction()       {}
func (putSegment) isAction()    {}
func (deleteSegment) isAction() {}

// actionResult is the result of an action.
type actionResult struct {
	object  ferryplatform.Object
	version ferryplatform.Version
	err     error
}
