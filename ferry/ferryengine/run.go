package ferryengine

import (
	"encoding/json"
	"fmt"

	"cactusferry.dev/ferry/ferryid"
)

// Bounds of a run.
const (
	maxStages        = 64
	maxStreamBytes   = 128
	maxAddressBytes  = 256
	maxPromptBytes   = 8 << 20
	maxTextBytes     = 4 << 10
	maxMaxTokens     = 1 << 20
	maxRequestBytes  = 32 << 20
	maxItemLineBytes = 64 << 10
)

// Stage is one engine's part of a pipeline.
type Stage struct {
	Address string             `json:"Address"`
	Layers  ferryid.LayerRange `json:"Layers"`
}

// Stages is a pipeline of contiguous layer ranges in order.
type Stages []Stage

// Check returns a *FieldError unless the stages are contiguous.
func (ss Stages) Check() error {
	if len(ss) == 0 || len(ss) > maxStages {
		return fieldError("Stages", "must list 1 to %d stages, lists %d", maxStages, len(ss))
	}
	for i, s := range ss {
		if s.Address == "" || len(s.Address) > maxAddressBytes {
			return fieldError("Stages", "stage %d must have an address of at most %d bytes", i, maxAddressBytes)
		}
		if s.Layers.Len() == 0 {
			return fieldError("Stages", "stage %d has no layers", i)
		}
		if i > 0 && s.Layers.From != ss[i-1].Layers.To {
			return fieldError("Stages", "stage %d begins at layer %d, the one before ends at %d", i, s.Layers.From, ss[i-1].Layers.To)
		}
	}
	return nil
}

// RunRequest is the request to the first stage to run a stream through all stages.
type RunRequest struct {
	Stream ferryid.StreamID `json:"Stream"`
	Epoch  ferryid.Epoch    `json:"Epoch"`
	// Incarnations holds the expected incarnations of the stages, by address.
	Incarnations map[string]ferryid.Incarnation `json:"Incarnations,omitempty"`
	Stages       Stages                         `json:"Stages"`
	Prompt       string                         `json:"Prompt"`
	// Generated holds the texts of the tokens generated before, in order.
	Generated []string `json:"Generated,omitempty"`
	MaxTokens int      `json:"MaxTokens"`
	Seed      uint64   `json:"Seed"`
	Priority  int      `json:"Priority"`
	// Import makes the stages continue from the stream's KV cache instead of a prefill of the history.
	Import bool `json:"Import,omitempty"`
}

// Check returns a *FieldError for the first invalid field.
func (r *RunRequest) Check() error {
	if r.Stream == "" || len(r.Stream) > maxStreamBytes {
		return fieldError("Stream", "must have 1 to %d bytes, has %d", maxStreamBytes, len(r.Stream))
	}
	if r.Epoch == 0 {
		return fieldError("Epoch", "must be at least 1")
	}
	if err := r.Stages.Check(); err != nil {
		return err
	}
	if len(r.Prompt) > maxPromptBytes {
		return fieldError("Prompt", "must have at most %d bytes, has %d", maxPromptBytes, len(r.Prompt))
	}
	if r.MaxTokens < 1 || r.MaxTokens > maxMaxTokens {
		return fieldError("MaxTokens", "must be from 1 to %d, is %d", maxMaxTokens, r.MaxTokens)
	}
	if len(r.Generated) > r.MaxTokens {
		return fieldError("Generated", "must have at most MaxTokens texts, has %d", len(r.Generated))
	}
	for i, t := range r.Generated {
		if t == "" || len(t) > maxTextBytes {
			return fieldError("Generated", "text %d must have 1 to %d bytes", i, maxTextBytes)
		}
	}
	return nil
}

// DecodeRunRequest decodes and validates the first line of a run's request body.
func DecodeRunRequest(line []byte) (RunRequest, error) {
	var r RunRequest
	if err := json.Unmarshal(line, &r); err != nil {
		return RunRequest{}, fmt.Errorf("decode run request: %w", err)
	}
	return r, r.Check()
}

// Activations holds the model's states for consecutive history elements, sent from one stage to the next.
type Activations struct {
	From   ferryid.Position `json:"From"`
	States []uint64         `json:"States"`
}

// DecodeActivations decodes and validates one line of activations in a request body.
func DecodeActivations(line []byte) (Activations, error) {
	var a Activations
	if err := json.Unmarshal(line, &a); err != nil {
		return Activations{}, fmt.Errorf("decode activations: %w", err)
	}
	if len(a.States) == 0 || len(a.States) > maxMaxTokens {
		return Activations{}, fieldError("States", "must have 1 to %d states, has %d", maxMaxTokens, len(a.States))
	}
	return a, nil
}
