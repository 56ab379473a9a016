package ferrypipeline

import (
	"time"

	"cactusferry.dev/ferry/ferryengine"
	"cactusferry.dev/ferry/ferryid"
)

// Action is an output of a Core, to be performed by its caller.
type Action interface{ action() }

// AskPlan requests a plan; Retry is set if it is charged to the retry budget.
type AskPlan struct {
	Exclude []ferryid.UpstreamName
	Retry   bool
}

// MoveKV requests a transfer of the stream's KV cache from the stages of the old plan to those
// of the new one.
type MoveKV struct {
	Epoch ferryid.Epoch
	From  Plan
	To    Plan
}

// Start starts an epoch.
type Start struct {
	Request ferryengine.RunRequest
}

// Emit sends a token to the caller.
type Emit struct{ Token Token }

// CancelEpoch stops an epoch's work at its stages.
type CancelEpoch struct {
	Epoch ferryid.Epoch
	Plan  Plan
}

// Release returns a plan to the Picker; Times holds the measurements of its stages if it ran to its end.
type Release struct {
	Plan   Plan
	Tokens ferryid.Tokens
	Times  []ferryengine.StageTime
}

// Wait requests a Woke message after the delay.
type Wait struct{ Delay time.Duration }

// Finish ends the job; Err, if set, is a *ferryoutcome.Problem.
type Finish struct {
	Result Result
	Err    error
}

func (AskPlan) action()     {}
func (MoveKV) action()      {}
func (Start) action()       {}
func (Emit) action()        {}
func (CancelEpoch) action() {}
func (Release) action()     {}
func (Wait) action()        {}
func (Finish) action()      {}
