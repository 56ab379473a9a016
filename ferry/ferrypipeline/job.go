package ferrypipeline

import (
	"time"

	"cactusferry.dev/ferry/ferryengine"
	"cactusferry.dev/ferry/ferryid"
	"cactusferry.dev/ferry/ferrystream"
)

// Token is one token of an answer with its offset.
type Token = ferrystream.Token

// Job is one completion to run.
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
	// Resume is the text generated before, which is not given again.
	Resume []string
	// Epoch is the last epoch that the stream is known to have had; the job's first is one higher.
	Epoch ferryid.Epoch
}

// Check returns a *ferryengine.FieldError for a job that no engine could be asked to run.
func (j *Job) Check() error {
	probe := ferryengine.RunRequest{
		Stream: j.Stream, Epoch: 1, Prompt: j.Prompt, Generated: j.Resume, MaxTokens: j.MaxTokens,
		Stages: ferryengine.Stages{{Address: "any", Layers: ferryid.LayerRange{To: 1}}},
	}
	return probe.Check()
}

// Picker chooses plans and keeps account of the work given out; it is used by many jobs at once.
type Picker interface {
	// Pick chooses a plan without the excluded engines and counts its work as outstanding.
	Pick(job *Job, exclude []ferryid.UpstreamName) (Plan, error)
	// Done says that a picked plan is over and how many tokens it gave.
	Done(plan Plan, tokens ferryid.Tokens)
}

// Observer is a Picker that learns from what a plan's stages measured.
type Observer interface {
	Observe(plan Plan, times []ferryengine.StageTime)
}

// Result says how a job went.
type Result struct {
	// Tokens counts the tokens given to the caller.
	Tokens int
	// Reason is why the answer ended, "length" or "stop".
	Reason string
	// Epochs counts the pipelines the job ran on.
	Epochs int
	// Imported counts the epochs that went on from a KV cache, not from the history.
	Imported int
	// Late counts items of older epochs and Duplicates those that came twice; both were dropped.
	Late       int
	Duplicates int
}
