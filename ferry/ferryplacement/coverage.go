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
	// missingEverywhere is the worth of a layer that no engine holds: without it nothing is served.
	missingEverywhere = 1000.0
	// firstHolders is how many engines of a failure domain should hold the first layer: the engine that takes a request is the only
	// one of its path that cannot be replaced under way.
	firstHolders = 4
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

// best returns the range of the given length that is worth most in a domain, the highest of equals: so the engines that
// come later in a plan, which are many and slow, hold the first layers.
func (c *coverage) best(d ferryid.DomainName, length int) (ferryid.LayerRange, float64) {
	length = min(length, c.layers)
	from := c.layers - length
	sum := 0.0
	for l := from; l < c.layers; l++ {
		sum += c.worth(d, l)
	}
	at, most := from, sum
	for from--; from >= 0; from-- {
		sum += c.worth(d, from) - c.worth(d, from+length)
		if sum > most+tie {
			at, most = from, sum
		}
	}
	return ferryid.LayerRange{From: ferryid.Layer(at), To: ferryid.Layer(at + length)}, most
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

// missing reports whether some layer has no holder at all.
func (c *coverage) missing() bool {
	for _, n := range c.all {
		if n == 0 {
			return true
		}
	}
	return false
}
