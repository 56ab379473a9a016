package ferryplacement

import (
	"cactusferry.dev/ferry/ferryid"
)

// coverage counts how many engines hold each layer, in total and by failure domain.
type coverage struct {
	layers  int
	all     []int
	domains map[ferryid.DomainName][]int
}

func newCoverage(layers int) *coverage {
	return &coverage{layers: layers, all: make([]int, layers), domains: map[ferryid.DomainName][]int{}}
}

func (c *coverage) of(d ferryid.DomainName) []int {
	counts := c.domains[d]
	if counts == nil {
		counts = make([]int, c.layers)
		c.domains[d] = counts
	}
	return counts
}

// add adds n to the count of each layer of a range; n may be negative.
func (c *coverage) add(d ferryid.DomainName, r ferryid.LayerRange, n int) {
	counts := c.of(d)
	for l := int(r.From); l < int(r.To) && l < c.layers; l++ {
		counts[l] += n
		c.all[l] += n
	}
}

const (
	// missingEverywhere is added for a layer that no engine holds: without it no request can be served.
	missingEverywhere = 5.0
	// missingFirstLayer is added, divided by one more than the present holders, for the first layer while it
	// has fewer than firstHolders.
	missingFirstLayer = 20.0
	// missingHere is added for a layer that no engine of the failure domain holds: without it paths cross
	// to another domain and back.
	missingHere = 10.0
)

// value returns the value of one more holder of a layer in a domain. Each further copy has a lower value.
func (c *coverage) value(d ferryid.DomainName, layer int) float64 {
	here, all := c.of(d)[layer], c.all[layer]
	w := 1/float64(1+here) + 1/float64(1+all)
	if all == 0 {
		w += missingEverywhere
	}
	if here == 0 {
		w += missingHere
	}
	if layer == 0 && here < firstHolders {
		w += missingFirstLayer / float64(1+here)
	}
	return w
}

// best returns the range of at most the given length with the highest value in a domain, and its value.
//
// It considers the given number of first layers and the ranges behind them. Of equal values it prefers
// the first layers, and then the range with the highest layers.
func (c *coverage) best(d ferryid.DomainName, length, first int) (ferryid.LayerRange, float64) {
	length = min(length, c.layers)
	head := ferryid.LayerRange{To: ferryid.Layer(min(first, length))}
	most, best := c.rangeValue(d, head), head
	least := first
	if length < first {
		// An engine too small for the first part may also hold a range that overlaps it.
		least = 0
	}
	from := c.layers - length
	sum := c.rangeValue(d, ferryid.LayerRange{From: ferryid.Layer(from), To: ferryid.Layer(c.layers)})
	for ; from >= least; from-- {
		if sum > most+valueTolerance {
			best, most = ferryid.LayerRange{From: ferryid.Layer(from), To: ferryid.Layer(from + length)}, sum
		}
		if from > 0 {
			sum += c.value(d, from-1) - c.value(d, from+length-1)
		}
	}
	return best, most
}

// valueTolerance is the difference below which two values are equal.
const valueTolerance = 1e-6

// rangeValue returns the value of a range in a domain.
func (c *coverage) rangeValue(d ferryid.DomainName, r ferryid.LayerRange) float64 {
	sum := 0.0
	for l := int(r.From); l < int(r.To) && l < c.layers; l++ {
		sum += c.value(d, l)
	}
	return sum
}

// lacksAny reports whether no engine of the domain holds some layer.
func (c *coverage) lacksAny(d ferryid.DomainName) bool {
	for _, n := range c.of(d) {
		if n == 0 {
			return true
		}
	}
	return false
}
