package ferryclaim

import "cactusferry.dev/ferry/ferryplatform"

// Op is what a Write asks of a slot's journal.
type Op uint8

const (
	opClaim   Op = iota // write the record if the key is free
	opRelease           // give the claim back
	opFinish            // record the outcome
	opLook              // read the record as it is on the platform now
	opBarrier           // wait until everything submitted before is written
)

// request is one message to a slot.
type request struct {
	op  Op
	rec Record
	// replaces is another incarnation's claim that may be taken over, because it was revoked.
	replaces Ref
	// fresh is true once the slot was read after the request came.
	fresh bool
	// sent is true once the record was in a write that may have landed.
	sent bool
	// passed is true if the request came from another entry, or was passed to one in vain.
	passed bool
	reply  func(verdict)
}

func (r request) needsAnswer() bool {
	return r.op == opClaim || r.op == opLook
}

// verdict is a slot's answer to one request.
type verdict interface{ isVerdict() }

// granted says that the record is on the platform.
type granted struct{}

// held says that the key has another record; State is 0 if it has none.
type held struct{ rec Record }

// refused says that the platform could not be asked; unless sent is true, the record certainly is not and will not be there.
type refused struct {
	err  error
	sent bool
}

func (granted) isVerdict() {}
func (held) isVerdict()    {}
func (refused) isVerdict() {}

// decided pairs a request with its verdict.
type decided struct {
	req request
	v   verdict
}

// action is one call to the object API; a slot has at most one under way.
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

// answer is what came of an action.
type answer struct {
	object  ferryplatform.Object
	version ferryplatform.Version
	err     error
}
