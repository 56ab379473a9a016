package ferrypipeline

import (
	"cactusferry.dev/ferry/ferryengine"
	"cactusferry.dev/ferry/ferryid"
	"cactusferry.dev/ferry/ferryoutcome"
)

// Message is what a job's core is told.
type Message interface{ message() }

// Begin starts the job.
type Begin struct{}

// Planned gives the plan that was asked for.
type Planned struct{ Plan Plan }

// NoPlan says that there is none.
type NoPlan struct{ Err error }

// ItemArrived gives an item that came over an epoch's connection.
type ItemArrived struct {
	Epoch ferryid.Epoch
	Item  ferryengine.Item
}

// Broke says that an epoch's connection failed or was refused.
type Broke struct {
	Epoch ferryid.Epoch
	// Outcome is what is known of whether any layer of the epoch ran.
	Outcome ferryoutcome.Outcome
	// Refused is the kind of the upstream's own refusal, if it was one.
	Refused ferryoutcome.Kind
	Err     error
}

// KVMoved says whether every stage of the epoch's plan has the stream's KV cache.
type KVMoved struct {
	Epoch ferryid.Epoch
	OK    bool
}

// CancelAnswered says what the first stage of a cancelled epoch knows of it.
type CancelAnswered struct {
	Epoch ferryid.Epoch
	Known bool
	Ran   bool
}

// Woke says that a wait is over.
type Woke struct{}

// DeadlinePassed says that the job's deadline has passed.
type DeadlinePassed struct{}

// CallerGone says that the answer can't be delivered any more.
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
