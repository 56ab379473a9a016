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
	// Prefill marks a position that was rebuilt from the history and yields no token.
	Prefill bool `json:"Prefill,omitempty"`
	// AtNanos is a Unix time in nanoseconds, comparable between the engines of one machine.
	AtNanos int64 `json:"AtNanos"`
}

// LayerError says that a layer did not run exactly once and in order for a token.
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

// Checker compares the tokens a caller got with what the engines applied.
//
// A delivered token belongs to one epoch, the one whose pipeline made it. Within that epoch each layer must have been
// applied to its position exactly once, in order, not as prefill; no later epoch may generate the position again;
// and no epoch, prefill included, may apply a layer to a position twice. An earlier epoch may have begun the position
// and been cut before its token was accepted: that work was thrown away and is counted in Wasted.
type Checker struct {
	Layers ferryid.Layer
	// Wasted counts the applied layers of generation whose token was never delivered.
	Wasted int
	// Prefill counts the applied layers that rebuilt history.
	Prefill int
}

type appliedKey struct {
	epoch    ferryid.Epoch
	position ferryid.Position
}

// Check returns a *LayerError for the first token delivered whose layers did not run exactly once and in order; the records are those of all engines for one stream.
func (c *Checker) Check(records []Applied, delivered []Token) error {
	slices.SortStableFunc(records, func(a, b Applied) int { return cmp.Compare(a.AtNanos, b.AtNanos) })
	runs := map[appliedKey][]Applied{}
	for _, r := range records {
		k := appliedKey{r.Epoch, r.Position}
		for _, earlier := range runs[k] {
			if earlier.Layer == r.Layer {
				return fail(r, "was applied twice")
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
			return fail(r, "was applied as prefill, yet the token was delivered")
		}
		if r.Layer != next {
			return fail(r, fmt.Sprintf("was applied where layer %d is due", next))
		}
		next++
	}
	if next != c.Layers {
		return &LayerError{Epoch: t.Epoch, Position: t.Position, Layer: next, Detail: "was not applied"}
	}
	return nil
}

// checkRest goes over what was applied beside the delivered tokens.
func (c *Checker) checkRest(records []Applied, epochs map[ferryid.Position]ferryid.Epoch) error {
	for _, r := range records {
		delivered, ok := epochs[r.Position]
		switch {
		case r.Prefill:
			c.Prefill++
		case ok && r.Epoch > delivered:
			return fail(r, fmt.Sprintf("generated again after epoch %d delivered it", delivered))
		case !ok || r.Epoch < delivered:
			c.Wasted++
		}
	}
	return nil
}

func fail(r Applied, detail string) error {
	return &LayerError{Stream: r.Stream, Epoch: r.Epoch, Position: r.Position, Layer: r.Layer, Detail: detail}
}
