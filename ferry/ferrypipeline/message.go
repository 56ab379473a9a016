package ferrypipeline

import (
	"cactusferry.dev/ferry/ferryengine"
	"cactusferry.dev/ferry/ferryid"
	"cactusferry.dev/ferry/ferryoutcome"
)

// Message is an input of a Core.
type Message interface{ message() }

// Begin starts the job.
type Begin struct{}

// Planned is the answer to AskPlan with a plan.
type Planned struct{ Plan Plan }

// NoPlan is the answer to AskPlan if there is no plan.
type NoPlan struct{ Err error }

// ItemArrived is an item received on an epoch's connection.
type ItemArrived struct {
	Epoch ferryid.Epoch
	Item  ferryengine.Item
}

// Broke reports that an epoch's connection failed or was refused.
type Broke struct {
	Epoch ferryid.Epoch
	// Outcome tells whether any layer of the epoch ran.
	Outcome ferryoutcome.Outcome
	// Refused is the kind of the problem if the upstream itself refused the request.
	Refused ferryoutcome.Kind
	Err     error
}

// KVMoved is the answer to MoveKV; OK is set if every stage of the epoch's plan has the stream's KV cache.
type KVMoved struct {
	Epoch ferryid.Epoch
	OK    bool
}

// CancelAnswered is the answer of a cancelled epoch's first stage: whether it knows if any layer ran, and
// whether one did.
type CancelAnswered struct {
	Epoch ferryid.Epoch
	Known bool
	Ran   bool
}

// Woke reports the end of a Wait.
type Woke struct{}

// DeadlinePassed reports that the job's deadline has passed.
type DeadlinePassed struct{}

// CallerGone reports that the caller disconnected or a token could not be written to it.
type CallerGone struct{ Err error }

func (Begin) message()          {}
func (Planned) message()        {}
func (NoPlan) message()         {}
func (ItemArrived) message()    {}
func (Broke) message()          {}
func (KVMoved) message()        {}
func (CancelAnswered) message() {}
func (Woke) message()           {}
func (DeadlinePassed) message() {}
func (CallerGone) message()     {}
