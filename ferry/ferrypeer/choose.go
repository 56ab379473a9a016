package ferrypeer

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"cactusferry.dev/ferry/ferryid"
)

const (
	targetLinks       = 8
	ringLinks         = 2
	fewDomains        = 3
	linksIntoFew      = 2
	linksIntoMany     = 1
	maxUnequalFactor  = 3
	fibonacciMultiply = 0x9E3779B97F4A7C15
)

// Candidate is an entry that a link may lead to.
type Candidate struct {
	Name          ferryid.EntryName
	FailureDomain ferryid.DomainName
}

// ChooseLinks returns the names to which self keeps links, by computation alone, so that both ends of a link choose it when they know the same candidates.
//
// Inside a failure domain the entries form a ring by hash and fill up with a greedy matching by
// rendezvous weight; between each two domains there is a matching. A change of one candidate moves few links.
func ChooseLinks(self Candidate, candidates []Candidate) []ferryid.EntryName {
	domains := byDomain(self, candidates)
	own := domains[self.FailureDomain]
	others := len(domains) - 1
	into := linksIntoMany
	if others <= fewDomains {
		into = linksIntoFew
	}
	extra := max(0, targetLinks-ringLinks-others*into)
	chosen := map[ferryid.EntryName]bool{}
	chooseInside(self.Name, own, extra, chosen)
	for d, theirs := range domains {
		if d != self.FailureDomain {
			chooseBetween(self.Name, own, theirs, into, chosen)
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

func chooseInside(self ferryid.EntryName, own []point, extra int, chosen map[ferryid.EntryName]bool) {
	n := len(own)
	ringEdge := func(i, j int) bool { return j-i == 1 || j-i == n-1 }
	edges := make([]edge, 0, n*(n-1)/2)
	for i := range n {
		for j := i + 1; j < n; j++ {
			if !ringEdge(i, j) {
				edges = append(edges, edge{weight: weigh(own[i].hash, own[j].hash), a: i, b: j})
				continue
			}
			choose(self, own[i].name, own[j].name, chosen)
		}
	}
	room := fill(n, extra)
	match(edges, room, room, func(a, b int) {
		choose(self, own[a].name, own[b].name, chosen)
	})
}

// chooseBetween matches two failure domains so that each entry of both has a link, up to a threefold difference in size.
func chooseBetween(self ferryid.EntryName, own, theirs []point, into int, chosen map[ferryid.EntryName]bool) {
	edges := make([]edge, 0, len(own)*len(theirs))
	for i, a := range own {
		for j, b := range theirs {
			edges = append(edges, edge{weight: weigh(a.hash, b.hash), a: i, b: j})
		}
	}
	take := func(a, b int) { choose(self, own[a].name, theirs[b].name, chosen) }
	left, right := fill(len(own), into), fill(len(theirs), into)
	match(edges, left, right, take)
	more := into * (min(maxUnequalFactor, ceilDiv(max(len(own), len(theirs)), min(len(own), len(theirs)))) - 1)
	if len(own) < len(theirs) {
		left = fill(len(own), more)
	} else {
		right = fill(len(theirs), more)
	}
	match(edges, left, right, take)
}

func choose(self, a, b ferryid.EntryName, chosen map[ferryid.EntryName]bool) {
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

// match takes edges from the heaviest down while both ends have room left, and leaves in left and right what room remains.
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

// heavierFirst compares the rest of two edges only where their weights are equal, which is rare.
func heavierFirst(x, y edge) int {
	switch {
	case x.weight > y.weight:
		return -1
	case x.weight < y.weight:
		return 1
	}
	return cmp.Or(cmp.Compare(x.a, y.a), cmp.Compare(x.b, y.b))
}

func fill(n, v int) []int {
	out := make([]int, n)
	for i := range out {
		out[i] = v
	}
	return out
}

func ceilDiv(a, b int) int {
	return (a + b - 1) / b
}

// weigh is symmetric, so both ends rank a link alike.
func weigh(a, b uint64) uint64 {
	return mix(mix(min(a, b)) ^ max(a, b))
}

func mix(x uint64) uint64 {
	x ^= x >> 32
	x *= fibonacciMultiply
	x ^= x >> 29
	x *= fibonacciMultiply
	return x ^ x>>32
}

// fraction returns a number in [0, 1) that is the same each time for one hash.
func fraction(h uint64) float64 {
	return float64(mix(h)>>11) / (1 << 53)
}
