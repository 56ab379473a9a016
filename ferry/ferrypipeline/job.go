package ferrypipeline

import (
	"time"

	"cactusferry.dev/ferry/ferryengine"
	"cactusferry.dev/ferry/ferryid"
	"cactusferry.dev/ferry/ferrystream"
)

// Token is one token of an answer with its position.
type Token = ferrystream.Token

// Job is a completion to run.
type Job struct {
	Service   ferryid.ServiceName
	Stream    ferryid.StreamID
	Customer  ferryid.CustomerName
	Prompt    string
	MaxTokens int
	Seed      uint64
	Priority  int
	// Deadline ends the job; the zero time means none.
	Deadline time.Time
	// Resume holds the tokens generated before, which are not emitted again.
	Resume []string
	// Epoch is the last known epoch of the stream; the job starts at the next.
	Epoch ferryid.Epoch
}

// Check returns a *ferryengine.FieldError if no valid request to an engine can be made from the job.
func (j *Job) Check() error {
	probe := ferryengine.RunRequest{
		Stream: j.Stream, Epoch: 1, Prompt: j.Prompt, Generated: j.Resume, MaxTokens: j.MaxTokens,
		Stages: ferryengine.Stages{{Address: "any", Layers: ferryid.LayerRange{To: 1}}},
	}
	return probe.Check()
}

// Picker chooses plans and tracks the outstanding work of engines; it is safe for concurrent use
// by many jobs.
type Picker interface {
	// Pick chooses a plan without the excluded engines and counts its work as outstanding.
	Pick(job *Job, exclude []ferryid.UpstreamName) (Plan, error)
	// Done releases a plan returned by Pick; tokens is the number of tokens that it produced.
	Done(plan Plan, tokens ferryid.Tokens)
}

// Observer is implemented by a Picker that uses the times measured by the stages of a plan.
type Observer interface {
	Observe(plan Plan, times []ferryengine.StageTime)
}

// Result is the result of a job.
type Result struct {
	// Tokens counts the tokens emitted to the caller.
	Tokens int
	// Reason is the finish reason of the answer, "length" or "stop".
	Reason string
	// Epochs counts the pipelines that the job was started on.
	Epochs int
	// Imported counts the epochs started from a moved KV cache instead of a prefill of the history.
	Imported int
	// Late counts dropped items of older epochs, Duplicates dropped items that had been received before.
	Late       int
	Duplicates int
}
