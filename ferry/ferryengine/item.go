package ferryengine

import (
	"encoding/json"
	"fmt"
	"strconv"

	"cactusferry.dev/ferry/ferryid"
	"cactusferry.dev/ferry/ferryjson"
)

// Receipt confirms that a stage applied its layers to a token.
type Receipt struct {
	Stage  string             `json:"Stage"`
	Layers ferryid.LayerRange `json:"Layers"`
}

// FailureKind is the reason for the failure of a stage.
type FailureKind string

// Kinds of failures.
const (
	FailureDied    FailureKind = "Died"
	FailureRefused FailureKind = "Refused"
	// FailureEmpty means that the engine does not have the stream's KV cache.
	FailureEmpty FailureKind = "Empty"
	// FailureDraining means that the engine is draining and refused the epoch.
	FailureDraining FailureKind = "Draining"
)

// Failure reports the stage whose failure ended an epoch.
type Failure struct {
	Stage  string      `json:"Stage"`
	Kind   FailureKind `json:"Kind"`
	Detail string      `json:"Detail,omitempty"`
}

const maxStageMicros = 1 << 50

// StageTime holds the times measured by one stage of an epoch over all its tokens.
type StageTime struct {
	Stage string `json:"Stage"`
	// Steps counts the generated tokens, Prefill the history elements rebuilt.
	Steps   int `json:"Steps"`
	Prefill int `json:"Prefill,omitempty"`
	// BusyMicros is the accelerator's time for generated tokens, without waiting.
	BusyMicros int64 `json:"BusyMicros"`
	// HeldMicros is the time from an activation's arrival to the token's return. HopMicros is the part of it
	// spent on the next stage and the link to it.
	HeldMicros int64 `json:"HeldMicros"`
	HopMicros  int64 `json:"HopMicros"`
}

func (t *StageTime) check() error {
	for _, n := range []int64{int64(t.Steps), int64(t.Prefill), t.BusyMicros, t.HeldMicros, t.HopMicros} {
		if n < 0 || n > maxStageMicros {
			return fieldError("Times", "%d is out of bounds", n)
		}
	}
	return nil
}

// Item is one line of a run's answer: the start, a token, the end or a failure. Before the start no stage has
// run a layer of the epoch.
type Item struct {
	Epoch    ferryid.Epoch    `json:"Epoch"`
	Position ferryid.Position `json:"Position"`
	Text     string           `json:"Text,omitempty"`
	Receipts []Receipt        `json:"Receipts,omitempty"`
	Ready    bool             `json:"Ready,omitempty"`
	Done     bool             `json:"Done,omitempty"`
	// Reason is the finish reason with Done, "length" or "stop".
	Reason string      `json:"Reason,omitempty"`
	Tokens int         `json:"Tokens,omitempty"`
	Times  []StageTime `json:"Times,omitempty"`
	Failed *Failure    `json:"Failed,omitempty"`
}

// Check returns a *FieldError unless the item is exactly one of start, token, end or failure.
func (it *Item) Check() error {
	if it.Epoch == 0 {
		return fieldError("Epoch", "must be at least 1")
	}
	if len(it.Times) > 0 && (!it.Done || len(it.Times) > maxStages) {
		return fieldError("Times", "must come with Done, for at most %d stages", maxStages)
	}
	for i := range it.Times {
		if err := it.Times[i].check(); err != nil {
			return err
		}
	}
	switch {
	case it.Failed != nil:
		return it.Failed.check(it)
	case it.Done && it.Ready:
		return fieldError("Ready", "must come alone")
	case it.Done || it.Ready:
		if it.Text != "" || len(it.Receipts) > 0 || it.Tokens < 0 {
			return fieldError("Done", "must come without a token")
		}
		return nil
	}
	if it.Text == "" || len(it.Text) > maxTextBytes {
		return fieldError("Text", "must have 1 to %d bytes, has %d", maxTextBytes, len(it.Text))
	}
	if len(it.Receipts) == 0 || len(it.Receipts) > maxStages {
		return fieldError("Receipts", "must have 1 to %d receipts, has %d", maxStages, len(it.Receipts))
	}
	return nil
}

func (f *Failure) check(it *Item) error {
	if it.Done || it.Ready || it.Text != "" || len(it.Receipts) > 0 {
		return fieldError("Failed", "must come alone")
	}
	switch f.Kind {
	case FailureDied, FailureRefused, FailureEmpty, FailureDraining:
		return nil
	}
	return fieldError("Failed", "has an unknown kind %q", f.Kind)
}

// DecodeItem decodes and validates one line of a run's answer.
func DecodeItem(line []byte) (Item, error) {
	var it Item
	if err := json.Unmarshal(line, &it); err != nil {
		return Item{}, fmt.Errorf("decode item: %w", err)
	}
	if err := it.Check(); err != nil {
		return Item{}, err
	}
	return it, nil
}

// AppendItem appends the item to b as one line of JSON.
func AppendItem(b []byte, it *Item) []byte {
	if it.Ready || it.Done || it.Failed != nil {
		line, _ := json.Marshal(it)
		return append(append(b, line...), '\n')
	}
	b = append(b, `{"Epoch":`...)
	b = strconv.AppendUint(b, uint64(it.Epoch), 10)
	b = append(b, `,"Position":`...)
	b = strconv.AppendUint(b, uint64(it.Position), 10)
	b = append(b, `,"Text":`...)
	b = ferryjson.AppendString(b, it.Text)
	b = append(b, `,"Receipts":[`...)
	for i, r := range it.Receipts {
		if i > 0 {
			b = append(b, ',')
		}
		b = append(b, `{"Stage":`...)
		b = ferryjson.AppendString(b, r.Stage)
		b = append(b, `,"Layers":{"From":`...)
		b = strconv.AppendUint(b, uint64(r.Layers.From), 10)
		b = append(b, `,"To":`...)
		b = strconv.AppendUint(b, uint64(r.Layers.To), 10)
		b = append(b, `}}`...)
	}
	return append(b, "]}\n"...)
}
