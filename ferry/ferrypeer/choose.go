package ferrypeer

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"cactusferry.dev/ferry/ferryid"
)

// An entry aims at linksPerDomainFew links to each other failure domain if there are at most maxFewDomains others,
// and at linksPerDomainMany otherwise. Links within its own domain fill up the rest of targetLinks.
const (
	targetLinks         = 8
	ringLinks           = 2
	maxFewDomains       = 3
	linksPerDomainFew   = 2
	linksPerDomainMany  = 1
	maxSizeRatio        = 3
	fibonacciMultiplier = 0x9E3779B97F4A7C15
)

// Candidate is an entry that can be chosen as the far end of a link.
type Candidate struct {
	Name          ferryid.EntryName
	FailureDomain ferryid.DomainName
}

// ChooseLinks returns the sorted names of the entries that self keeps links to.
//
// The choice is deterministic and symmetric: both ends of a link choose it if they know the same candidates.
// Within a failure domain the entries form a hash ring, filled up by a greedy matching by rendezvous weight.
// Each pair of domains is connected by a matching. A change of one candidate moves few links.
func ChooseLinks(self Candidate, candidates []Candidate) []ferryid.EntryName {
	domains := byDomain(self, candidates)
	own := domains[self.FailureDomain]
	others := len(domains) - 1
	linksPerDomain := linksPerDomainMany
	if others <= maxFewDomains {
		linksPerDomain = linksPerDomainFew
	}
	extra := max(0, targetLinks-ringLinks-others*linksPerDomain)
	chosen := map[ferryid.EntryName]bool{}
	chooseWithinDomain(self.Name, own, extra, chosen)
	for d, other := range domains {
		if d != self.FailureDomain {
			chooseBetweenDomains(self.Name, own, other, linksPerDomain, chosen)
		}
	}
	out := make([]ferryid.EntryName, 0, len(chosen))
	for n := range chosen {
		out = append(out, n)
	}
	slices.Sort(out)
	return out
}

// point is a candidate on the hash ring.
type point struct {
	hash uint64
	name ferryid.EntryName
}

func byDomain(self Candidate, candidates []Candidate) map[ferryid.DomainName][]point {
	out := map[ferryid.DomainName][]point{}
	add := func(c Candidate) {
		p := point{hash: xxhash.Sum64String(string(c.Name)), name: c.Name}
		out[c.FailureDomain] = append(out[c.FailureDomain], p)
	}
	add(self)
	for _, c := range candidates {
		if c.Name != self.Name {
			add(c)
		}
	}
	for _, ps := range out {
		slices.SortFunc(ps, func(a, b point) int {
			return cmp.Or(cmp.Compare(a.hash, b.hash), cmp.Compare(a.name, b.name))
		})
	}
	return out
}

func chooseWithinDomain(self ferryid.EntryName, own []point, extra int, chosen map[ferryid.EntryName]bool) {
	n := len(own)
	isRingEdge := func(i, j int) bool { return j-i == 1 || j-i == n-1 }
	edges := make([]edge, 0, n*(n-1)/2)
	for i := range n {
		for j := i + 1; j < n; j++ {
			if !isRingEdge(i, j) {
				edges = append(edges, edge{weight: edgeWeight(own[i].hash, own[j].hash), a: i, b: j})
				continue
			}
			addLink(self, own[i].name, own[j].name, chosen)
		}
	}
	capacity := repeated(n, extra)
	match(edges, capacity, capacity, func(a, b int) {
		addLink(self, own[a].name, own[b].name, chosen)
	})
}

// chooseBetweenDomains matches two failure domains so that each entry of both has a link,
// as long as one domain has at most maxSizeRatio times as many entries as the other.
func chooseBetweenDomains(self ferryid.EntryName, own, other []point, linksPerEntry int, chosen map[ferryid.EntryName]bool) {
	edges := make([]edge, 0, len(own)*len(other))
	for i, a := range own {
		for j, b := range other {
			edges = append(edges, edge{weight: edgeWeight(a.hash, b.hash), a: i, b: j})
		}
	}
	take := func(a, b int) { addLink(self, own[a].name, other[b].name, chosen) }
	left, right := repeated(len(own), linksPerEntry), repeated(len(other), linksPerEntry)
	match(edges, left, right, take)
	extra := linksPerEntry * (min(maxSizeRatio, ceilDiv(max(len(own), len(other)), min(len(own), len(other)))) - 1)
	if len(own) < len(other) {
		left = repeated(len(own), extra)
	} else {
		right = repeated(len(other), extra)
	}
	match(edges, left, right, take)
}

func addLink(self, a, b ferryid.EntryName, chosen map[ferryid.EntryName]bool) {
	switch self {
	case a:
		chosen[b] = true
	case b:
		chosen[a] = true
	}
}

type edge struct {
	weight uint64
	a, b   int
	taken  bool
}

// match takes edges by descending weight while both ends have capacity left.
// On return left and right hold the remaining capacities.
func match(edges []edge, left, right []int, take func(a, b int)) {
	slices.SortFunc(edges, heavierFirst)
	for i := range edges {
		e := &edges[i]
		if e.taken || left[e.a] == 0 || right[e.b] == 0 {
			continue
		}
		e.taken = true
		left[e.a]--
		right[e.b]--
		take(e.a, e.b)
	}
}

// heavierFirst compares the endpoints only if the weights are equal, which is rare.
func heavierFirst(x, y edge) int {
	switch {
	case x.weight > y.weight:
		return -1
	case x.weight < y.weight:
		return 1
	}
	return cmp.Or(cmp.Compare(x.a, y.a), cmp.Compare(x.b, y.b))
}

func repeated(n, v int) []int {
	out := make([]int, n)
	for i := range out {
		out[i] = v
	}
	return out
}

func ceilDiv(a, b int) int {
	return (a + b - 1) / b
}

// edgeWeight is symmetric, so that both ends compute the same weight for a link.
func edgeWeight(a, b uint64) uint64 {
	return mix(mix(min(a, b)) ^ max(a, b))
}

// mix scrambles the bits of a hash, as the final step of a 64-bit hash function does.
func mix(x uint64) uint64 {
	x ^= x >> 32
	x *= fibonacciMultiplier
	x ^= x >> 29
	x *= fibonacciMultiplier
	return x ^ x>>32
}

// fraction maps a hash to a number in [0, 1).
func fraction(h uint64) float64 {
	return float64(mix(h)>>11) / (1 << 53)
}
