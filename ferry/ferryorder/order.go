package ferryorder

import (
	"context"
	"fmt"

	"cactusferry.dev/ferry/ferryid"
)

// State is the target state of an engine with regard to new work.
type State string

// The states of an engine.
const (
	StateLive    State = "Live"
	StateLeaving State = "Leaving"
)

// Target is the current or wanted state of one engine.
type Target struct {
	Model   string             `json:"Model"`
	Version string             `json:"Version"`
	Adapter string             `json:"Adapter,omitempty"`
	Layers  ferryid.LayerRange `json:"Layers"`
	State   State              `json:"State"`
}

// weights is the part of a target that all stages of a pipeline must have in common.
type weights struct {
	model, version, adapter string
}

func (t Target) weights() weights {
	return weights{t.Model, t.Version, t.Adapter}
}

// loads reports whether the change between two targets loads weights from the store.
func (t Target) loads(from Target) bool {
	return t.Model != from.Model || t.Version != from.Version || t.Layers != from.Layers
}

// Order is the target state of one engine, with the fencing number of the entry that sends it.
type Order struct {
	Fence   ferryid.Fence       `json:"Fence"`
	Service ferryid.ServiceName `json:"Service"`
	Target
}

// Report is the state reported by an engine.
type Report struct {
	Target
	// Ready is false while the engine is loading.
	Ready bool `json:"Ready"`
}

// Engine sends orders to engines and reads their state.
type Engine interface {
	// Order sets an engine's target state; it returns a *FenceError if the engine has an order of a later holder.
	Order(ctx context.Context, address string, o Order) error
	// Report returns the current state of an engine.
	Report(ctx context.Context, address string) (Report, error)
}

// FenceError is returned when an engine has seen a higher fencing number than that of the order.
type FenceError struct {
	Highest ferryid.Fence
}

func (e *FenceError) Error() string {
	return fmt.Sprintf("order refused: engine has already seen fencing number %d", e.Highest)
}
