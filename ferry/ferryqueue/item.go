package ferryqueue

import (
	"time"

	"cactusferry.dev/ferry/ferryid"
	"cactusferry.dev/ferry/ferryoutcome"
)

// Item is one call to admit; if Predicted is zero, its work is predicted from Prompt and MaxTokens.
// A Resumed item has already run in part and is never refused because the queue is full.
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

// Refusal is the refusal of an item, with its reason and the time after which to retry.
type Refusal struct {
	Item       Item
	Kind       ferryoutcome.Kind
	Detail     string
	RetryAfter time.Duration
}

// Problem returns the refusal as a problem for the caller; its outcome is always NotRun.
func (r *Refusal) Problem() *ferryoutcome.Problem {
	return ferryoutcome.New(r.Kind, ferryoutcome.NotRun, "%s", r.Detail).WithRetryAfter(r.RetryAfter)
}

// queueItem is a waiting or running item with its accounting.
type queueItem struct {
	Item
	prev, next *queueItem
	flow       *flow
	classQueue *classQueue
	started    time.Time
	// tokens counts the tokens produced so far, priorTokens those produced before the last preemption.
	tokens ferryid.Tokens
	// charged is the work charged to the customer since the last start.
	charged     ferryid.Tokens
	running     bool
	excess      bool
	preempted   int
	priorTokens ferryid.Tokens
	// index is the position in Queue.runningItems.
	index int
}
