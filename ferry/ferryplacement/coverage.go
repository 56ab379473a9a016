package ferryplacement

import (
	"cactusferry.dev/ferry/ferryid"
)

// coverage counts how many engines hold each layer, in all and in each failure domain.
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

// add counts a range in a domain n times, which may be negative.
func (c *coverage) add(d ferryid.DomainName, r ferryid.LayerRange, n int) {
	counts := c.of(d)
	for l := int(r.From); l < int(r.To) && l < c.layers; l++ {
		counts[l] += n
		c.all[l] += n
	}
}

const (
	// missingEverywhere is added for a layer that no engine holds at all: without it nothing is served.
	missingEverywhere = 5.0
	// firstWorth is the worth of one more of them.
	firstWorth = 20.0
	// missingHere is the worth of a layer that no engine of the failure domain holds: without it work crosses to another domain and back.
	missingHere = 10.0
)

// worth is what one more holder of a layer is worth in a domain; each further copy is worth less.
func (c *coverage) worth(d ferryid.DomainName, layer int) float64 {
	here, all := c.of(d)[layer], c.all[layer]
	w := 1/float64(1+here) + 1/float64(1+all)
	if all == 0 {
		w += missingEverywhere
	}
	if here == 0 {
		w += missingHere
	}
	if layer == 0 && here < firstHolders {
		w += firstWorth / float64(1+here)
	}
	return w
}

// best returns the range of at most the given length that is worth most in a domain: the first part, or the highest of equals behind it.
func (c *coverage) best(d ferryid.DomainName, length, first int) (ferryid.LayerRange, float64) {
	length = min(length, c.layers)
	head := ferryid.LayerRange{To: ferryid.Layer(min(first, length))}
	most, best := c.total(d, head), head
	least := first
	if length < first {
		// An engine too small for the first part helps with what lies behind its beginning.
		least = 0
	}
	from := c.layers - length
	sum := c.total(d, ferryid.LayerRange{From: ferryid.Layer(from), To: ferryid.Layer(c.layers)})
	for ; from >= least; from-- {
		if sum > most+tie {
			best, most = ferryid.LayerRange{From: ferryid.Layer(from), To: ferryid.Layer(from + length)}, sum
		}
		if from > 0 {
			sum += c.worth(d, from-1) - c.worth(d, from+length-1)
		}
	}
	return best, most
}

// tie is the difference below which two sums are taken as equal.
const tie = 1e-6

// total is what a range is worth in a domain.
func (c *coverage) total(d ferryid.DomainName, r ferryid.LayerRange) float64 {
	sum := 0.0
	for l := int(r.From); l < int(r.To) && l < c.layers; l++ {
		sum += c.worth(d, l)
	}
	return sum
}

// lacking reports whether a domain lacks some layer.
func (c *coverage) lacking(d ferryid.DomainName) bool {
	for _, n := range c.of(d) {
		if n == 0 {
			return true
		}
	}
	return false
}
