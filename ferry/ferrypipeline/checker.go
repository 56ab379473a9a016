package ferrypipeline

import (
	"cmp"
	"fmt"
	"slices"

	"cactusferry.dev/ferry/ferryid"
)

// Applied is an engine's record that it ran one layer for one position of a stream.
type Applied struct {
	Stream   ferryid.StreamID `json:"Stream"`
	Epoch    ferryid.Epoch    `json:"Epoch"`
	Position ferryid.Position `json:"Position"`
	Layer    ferryid.Layer    `json:"Layer"`
	// Prefill marks a position rebuilt from the history, which yields no token.
	Prefill bool `json:"Prefill,omitempty"`
	// AtNanos is the Unix time in nanoseconds; it is comparable between engines on one machine only.
	AtNanos int64 `json:"AtNanos"`
}

// LayerError reports a token for which a layer did not run exactly once and in order.
type LayerError struct {
	Stream   ferryid.StreamID
	Epoch    ferryid.Epoch
	Position ferryid.Position
	Layer    ferryid.Layer
	Detail   string
}

func (e *LayerError) Error() string {
	return fmt.Sprintf("stream %s epoch %d token %d layer %d: %s", e.Stream, e.Epoch, e.Position, e.Layer, e.Detail)
}

// Checker compares the tokens delivered to a caller with the layers applied by the engines.
//
// Each delivered token was generated in one epoch. In that epoch each layer must have been applied to the
// token's position exactly once, in order and not as prefill. No later epoch may generate the position again.
// No epoch may apply a layer to a position twice, prefill included. An earlier epoch may have started the
// position and been cancelled before its token was accepted; that work is counted in Wasted.
type Checker struct {
	Layers ferryid.Layer
	// Wasted counts the layers applied in generation for tokens that were not delivered from that epoch.
	Wasted int
	// Prefill counts the layers applied in prefill.
	Prefill int
}

type appliedKey struct {
	epoch    ferryid.Epoch
	position ferryid.Position
}

// Check returns a *LayerError for the first token whose layers did not run exactly once and in order. It
// takes the records of all engines for one stream, and sorts them by time.
func (c *Checker) Check(records []Applied, delivered []Token) error {
	slices.SortStableFunc(records, func(a, b Applied) int { return cmp.Compare(a.AtNanos, b.AtNanos) })
	runs := map[appliedKey][]Applied{}
	for _, r := range records {
		k := appliedKey{r.Epoch, r.Position}
		for _, earlier := range runs[k] {
			if earlier.Layer == r.Layer {
				return layerError(r, "applied twice")
			}
		}
		runs[k] = append(runs[k], r)
	}
	epochs := map[ferryid.Position]ferryid.Epoch{}
	for i, t := range delivered {
		if i > 0 && t.Position != delivered[i-1].Position+1 {
			return &LayerError{Epoch: t.Epoch, Position: t.Position, Detail: "delivered out of order"}
		}
		epochs[t.Position] = t.Epoch
		if err := c.checkToken(t, runs[appliedKey{t.Epoch, t.Position}]); err != nil {
			return err
		}
	}
	return c.checkRest(records, epochs)
}

func (c *Checker) checkToken(t Token, runs []Applied) error {
	next := ferryid.Layer(0)
	for _, r := range runs {
		if r.Prefill {
			return layerError(r, "applied as prefill for a delivered token")
		}
		if r.Layer != next {
			return layerError(r, fmt.Sprintf("applied out of order, want layer %d", next))
		}
		next++
	}
	if next != c.Layers {
		return &LayerError{Epoch: t.Epoch, Position: t.Position, Layer: next, Detail: "not applied"}
	}
	return nil
}

// checkRest checks and counts the records that did not produce a delivered token.
func (c *Checker) checkRest(records []Applied, epochs map[ferryid.Position]ferryid.Epoch) error {
	for _, r := range records {
		delivered, ok := epochs[r.Position]
		switch {
		case r.Prefill:
			c.Prefill++
		case ok && r.Epoch > delivered:
			return layerError(r, fmt.Sprintf("generated again after epoch %d delivered it", delivered))
		case !ok || r.Epoch < delivered:
			c.Wasted++
		}
	}
	return nil
}

func layerError(r Applied, detail string) error {
	return &LayerError{Stream: r.Stream, Epoch: r.Epoch, Position: r.Position, Layer: r.Layer, Detail: detail}
}
