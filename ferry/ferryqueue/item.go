package ferryqueue

import (
	"time"

	"cactusferry.dev/ferry/ferryid"
	"cactusferry.dev/ferry/ferryoutcome"
)

// Item is one call that asks to run; its work is predicted from Prompt and MaxTokens if Predicted is zero.
// One that is Resumed has already run in part, and is never refused for want of room.
type Item struct {
	ID        ferryid.RequestID    `json:"ID"`
	Customer  ferryid.CustomerName `json:"Customer"`
	Class     ferryid.ClassName    `json:"Class"`
	Predicted ferryid.Tokens       `json:"Predicted"`
	Prompt    ferryid.Tokens       `json:"Prompt"`
	MaxTokens ferryid.Tokens       `json:"MaxTokens"`
	Deadline  time.Time            `json:"Deadline"`
	Arrived   time.Time            `json:"Arrived"`
	Resumed   bool                 `json:"Resumed,omitempty"`
}

// Refusal says why an item will not run and when its caller should come back.
type Refusal struct {
	Item       Item
	Kind       ferryoutcome.Kind
	Detail     string
	RetryAfter time.Duration
}

// Problem returns the refusal as the problem a caller is answered with; its outcome is always NotRun.
func (r *Refusal) Problem() *ferryoutcome.Problem {
	return ferryoutcome.New(r.Kind, ferryoutcome.NotRun, "%s", r.Detail).After(r.RetryAfter)
}

// entry is an item in the queue or running.
type entry struct {
	Item
	prev, next *entry
	flow       *flow
	lane       *lane
	started    time.Time
	tokens     ferryid.Tokens
	charged    ferryid.Tokens
	running    bool
	excess     bool
	preempted  int
	done       ferryid.Tokens
	at         int
}
