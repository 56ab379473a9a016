package ferryorder

import (
	"context"
	"fmt"

	"cactusferry.dev/ferry/ferryid"
)

// State says whether an engine is to take new work.
type State string

// The states of an engine.
const (
	StateLive    State = "Live"
	StateLeaving State = "Leaving"
)

// Target is what one engine holds or should hold.
type Target struct {
	Model   string             `json:"Model"`
	Version string             `json:"Version"`
	Adapter string             `json:"Adapter,omitempty"`
	Layers  ferryid.LayerRange `json:"Layers"`
	State   State              `json:"State"`
}

// weights is the part of a target that a stage of one pipeline has to share with the others.
type weights struct {
	model, version, adapter string
}

func (t Target) weights() weights {
	return weights{t.Model, t.Version, t.Adapter}
}

// loads reports whether going from one target to the other reads weights from the store.
func (t Target) loads(from Target) bool {
	return t.Model != from.Model || t.Version != from.Version || t.Layers != from.Layers
}

// Order is the target state of one engine, with the fencing number of the entry that gives it.
type Order struct {
	Fence   ferryid.Fence       `json:"Fence"`
	Service ferryid.ServiceName `json:"Service"`
	Target
}

// Report is what an engine says of itself.
type Report struct {
	Target
	// Ready is false while the engine loads and can't serve.
	Ready bool `json:"Ready"`
}

// Engine gives orders to engines and reads their state; an adapter implements it.
type Engine interface {
	// Order sets an engine's target state; a *FenceError says that a newer holder has ordered since.
	Order(ctx context.Context, address string, o Order) error
	// Report reads what the engine holds now.
	Report(ctx context.Context, address string) (Report, error)
}

// FenceError says that an engine has seen a higher fencing number than the order's.
type FenceError struct {
	Highest ferryid.Fence
}

func (e *FenceError) Error() string {
	return fmt.Sprintf("the engine has seen fencing number %d", e.Highest)
}
