package ferryplacement

import (
	"cmp"
	"slices"

	"cactusferry.dev/ferry/ferryconfig"
	"cactusferry.dev/ferry/ferryid"
)

// requestShare is the part of an engine's memory that is kept for requests: at less, bursts find no room; at more, fewer copies of each layer are left.
const requestShare = 0.25

// Engine is one engine as a plan sees it.
type Engine struct {
	Name        ferryid.UpstreamName
	Domain      ferryid.DomainName
	Accelerator ferryconfig.Accelerator
	// Held are the layers that it holds or has been ordered to hold.
	Held ferryid.LayerRange
	// Fixed engines keep what they hold, because an order to them is under way.
	Fixed bool
}

// Order is one engine's new range.
type Order struct {
	Engine ferryid.UpstreamName
	Layers ferryid.LayerRange
}

// Capacity is how many layers an engine is given, with memory left for requests; it never exceeds what its memory holds.
func Capacity(m *ferryconfig.Model, a ferryconfig.Accelerator) int {
	if m.LayerSize <= 0 {
		return 0
	}
	roomy := int(float64(a.Memory) * (1 - requestShare) / float64(m.LayerSize))
	return max(0, min(roomy, m.Layers))
}

// Plan returns the orders that improve the placement: empty engines get the ranges that are worth most, and where a layer
// is held nowhere, or nowhere in a failure domain that has a copy to spare, the engine that is missed least moves.
func Plan(m *ferryconfig.Model, engines []Engine) []Order {
	if m.Layers <= 0 {
		return nil
	}
	sorted := slices.Clone(engines)
	slices.SortFunc(sorted, func(a, b Engine) int {
		return cmp.Or(cmp.Compare(a.Accelerator.StepFactor, b.Accelerator.StepFactor), cmp.Compare(a.Name, b.Name))
	})
	c := newCoverage(m.Layers)
	for _, e := range sorted {
		c.add(e.Domain, e.Held, 1)
	}
	var orders []Order
	for i := range sorted {
		e := &sorted[i]
		length := Capacity(m, e.Accelerator)
		if e.Held.Len() > 0 || e.Fixed || length == 0 {
			continue
		}
		e.Held, _ = c.best(e.Domain, length)
		c.add(e.Domain, e.Held, 1)
		orders = append(orders, Order{Engine: e.Name, Layers: e.Held})
	}
	if move, ok := fill(m, sorted, c); ok {
		orders = append(orders, move)
	}
	return orders
}

// gainToMove is how much more a range has to be worth than the one given up for it.
const gainToMove = 2.0

// fill moves one engine to layers that are missing, if that is worth more than what is lost by it.
func fill(m *ferryconfig.Model, engines []Engine, c *coverage) (Order, bool) {
	best, gain := Order{}, 0.0
	for _, e := range engines {
		length := Capacity(m, e.Accelerator)
		if e.Fixed || e.Held.Len() == 0 || length == 0 {
			continue
		}
		c.add(e.Domain, e.Held, -1)
		lost := c.total(e.Domain, e.Held)
		to, won := c.best(e.Domain, length)
		c.add(e.Domain, e.Held, 1)
		if won > gainToMove*lost && won-lost > missingHere && won-lost > gain+tie {
			best, gain = Order{Engine: e.Name, Layers: to}, won-lost
		}
	}
	return best, gain > 0
}
