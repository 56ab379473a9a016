package ferrypipeline

import (
	"time"

	"cactusferry.dev/ferry/ferryengine"
	"cactusferry.dev/ferry/ferryid"
)

// Action is what a job's core wants done.
type Action interface{ action() }

// AskPlan asks for a plan; Retry marks one that is charged to the retry budget.
type AskPlan struct {
	Exclude []ferryid.UpstreamName
	Retry   bool
}

// MoveKV asks to take the stream's KV cache from the old plan's stages to the new plan's.
type MoveKV struct {
	Epoch ferryid.Epoch
	From  Plan
	To    Plan
}

// Start starts an epoch.
type Start struct {
	Request ferryengine.RunRequest
}

// Emit gives the caller a token.
type Emit struct{ Token Token }

// CancelEpoch stops an epoch's work at its stages.
type CancelEpoch struct {
	Epoch ferryid.Epoch
	Plan  Plan
}

// Release says that a plan is over, with what its stages measured if it came to its end.
type Release struct {
	Plan   Plan
	Tokens ferryid.Tokens
	Times  []ferryengine.StageTime
}

// Wait asks for a Woke after the delay.
type Wait struct{ Delay time.Duration }

// Finish ends the job; an error is a *ferryoutcome.Problem.
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
