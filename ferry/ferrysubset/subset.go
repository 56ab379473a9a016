package ferrysubset

import (
	"math"
	"math/bits"

	"github.com/cespare/xxhash/v2"

	"cactusferry.dev/ferry/ferryid"
)

const (
	oddMultiplier = 0x9E3779B97F4A7C15
	maskBits      = 64
)

// Candidate is an engine, or a fixed pipeline of engines, that a subset holds or does not.
type Candidate struct {
	Name   ferryid.UpstreamName
	Domain ferryid.DomainName
	Layers ferryid.LayerRange
	// Out says that it gets no new work, as all entries know; it does not count where the subset needs engines.
	Out bool
	// Lost says that this entry does not reach it; it does not count for this entry's needs, but for the sizes that all must agree on.
	Lost bool
}

func (c *Candidate) counts() bool {
	return !c.Out && !c.Lost
}

// Config says how large subsets are.
type Config struct {
	// AllUpTo is the number of candidates that get work up to which every entry works all.
	AllUpTo int
	// Size is the mean number of candidates that an entry works at the least.
	Size int
	// Entries is how many entries work each candidate at the least.
	Entries int
	// PerRange is how many candidates of each layer range a subset holds at the least, if there are so many.
	PerRange int
	// ReadsPerSecond is how many engines an entry reads a second at the most where it works a subset.
	ReadsPerSecond int
	// IdleReadsPerSecond is the same while the entry has no calls.
	IdleReadsPerSecond int
}

// Default is what the entries use; all entries must use the same.
var Default = Config{AllUpTo: 24, Size: 24, Entries: 4, PerRange: 3, ReadsPerSecond: 10, IdleReadsPerSecond: 2}

// Grouped returns the configuration for candidates that are pipelines of so many engines each.
func (c Config) Grouped(engines int) Config {
	c.AllUpTo = max(1, c.AllUpTo/max(1, engines))
	c.Size = max(1, c.Size/max(1, engines))
	return c
}

// Whole reports whether so many entries all work all of the candidates that get work.
func (c Config) Whole(entries, candidates int) bool {
	return candidates <= c.AllUpTo || c.Copies(entries, candidates) >= float64(entries)
}

// Copies is the mean number of entries that work a candidate.
func (c Config) Copies(entries, candidates int) float64 {
	return max(float64(c.Entries), float64(entries)*float64(c.Size)/float64(max(1, candidates)))
}

// Chooser computes subsets and keeps its buffers; it is for one goroutine at a time.
type Chooser struct {
	cfg        Config
	entries    []uint64
	candidates []Candidate
	hashes     []uint64
	in         []bool
	domainOf   []int
	rangeOf    []int
	domains    []ferryid.DomainName
	ranges     []layerRange
	spanned    uint64
}

// layerRange is what a subset holds of the candidates with the same layers.
type layerRange struct {
	layers  ferryid.LayerRange
	total   int
	have    int
	domains uint64
	spanned uint64
}

// New returns a chooser.
func New(cfg Config) *Chooser {
	return &Chooser{cfg: cfg}
}

// Choose appends to out the indices of the candidates that self works, in rising order.
//
// Each candidate is worked by the live entries whose names weigh most with its own, so that an entry that goes or
// comes moves only its own places. On top of these, self takes what it weighs most of, until its subset spans the
// failure domains and holds some of each layer range: every chain of ranges that the whole list has, the subset has too.
func (c *Chooser) Choose(self ferryid.EntryName, entries []ferryid.EntryName, candidates []Candidate, out []int) []int {
	working := c.take(entries, candidates)
	if c.cfg.Whole(len(entries), working) {
		for i := range candidates {
			out = append(out, i)
		}
		return out
	}
	own := xxhash.Sum64String(string(self))
	copies := c.cfg.Copies(len(entries), working)
	for i, h := range c.hashes {
		if c.worked(own, h, int(copies+unit(h))) {
			c.add(i)
		}
	}
	c.fill(own)
	for i, in := range c.in {
		if in {
			out = append(out, i)
		}
	}
	return out
}

// take notes the entries and candidates and returns how many candidates get work.
func (c *Chooser) take(entries []ferryid.EntryName, candidates []Candidate) (working int) {
	c.entries, c.hashes, c.in = c.entries[:0], c.hashes[:0], c.in[:0]
	c.domains, c.domainOf = c.domains[:0], c.domainOf[:0]
	c.ranges, c.rangeOf = c.ranges[:0], c.rangeOf[:0]
	c.candidates, c.spanned = candidates, 0
	for _, e := range entries {
		c.entries = append(c.entries, xxhash.Sum64String(string(e)))
	}
	for i := range candidates {
		e := &candidates[i]
		c.hashes = append(c.hashes, xxhash.Sum64String(string(e.Name)))
		c.in = append(c.in, false)
		c.domainOf = append(c.domainOf, c.domain(e.Domain))
		c.rangeOf = append(c.rangeOf, c.layerRange(e.Layers))
		if !e.Out {
			working++
		}
		if e.counts() {
			r := &c.ranges[c.rangeOf[i]]
			r.total++
			r.domains |= bit(c.domainOf[i])
		}
	}
	return working
}

func (c *Chooser) domain(name ferryid.DomainName) int {
	for i, d := range c.domains {
		if d == name {
			return i
		}
	}
	c.domains = append(c.domains, name)
	return len(c.domains) - 1
}

func (c *Chooser) layerRange(layers ferryid.LayerRange) int {
	for i := range c.ranges {
		if c.ranges[i].layers == layers {
			return i
		}
	}
	c.ranges = append(c.ranges, layerRange{layers: layers})
	return len(c.ranges) - 1
}

// worked reports whether fewer than k entries weigh more with the candidate than self.
func (c *Chooser) worked(self, candidate uint64, k int) bool {
	own := weight(self, candidate)
	for _, e := range c.entries {
		if weight(e, candidate) > own {
			k--
		}
		if k <= 0 {
			return false
		}
	}
	return k > 0
}

func (c *Chooser) add(i int) {
	c.in[i] = true
	if !c.candidates[i].counts() {
		return
	}
	r := &c.ranges[c.rangeOf[i]]
	r.have++
	r.spanned |= bit(c.domainOf[i])
	c.spanned |= bit(c.domainOf[i])
}

// fill adds what is missing of failure domains and layer ranges.
func (c *Chooser) fill(self uint64) {
	for i := range c.ranges {
		r := &c.ranges[i]
		want := min(c.cfg.PerRange, r.total)
		span := min(c.cfg.PerRange, bits.OnesCount64(r.domains))
		for bits.OnesCount64(r.spanned) < span {
			c.add(c.heaviest(self, i, r.spanned))
		}
		for r.have < want {
			c.add(c.heaviest(self, i, 0))
		}
	}
	for i := range c.ranges {
		for missing := c.ranges[i].domains &^ c.spanned; missing != 0; missing = c.ranges[i].domains &^ c.spanned {
			c.add(c.heaviest(self, i, c.spanned))
		}
	}
}

// heaviest is the candidate of a range outside of the given domains that is not in the subset yet and weighs most with self; there must be one.
func (c *Chooser) heaviest(self uint64, layers int, domains uint64) int {
	best, most := -1, uint64(0)
	for i, h := range c.hashes {
		if c.in[i] || !c.candidates[i].counts() || c.rangeOf[i] != layers || domains&bit(c.domainOf[i]) != 0 {
			continue
		}
		if w := weight(self, h); best < 0 || w > most {
			best, most = i, w
		}
	}
	return best
}

func bit(domain int) uint64 {
	return 1 << (domain % maskBits)
}

func weight(entry, candidate uint64) uint64 {
	return mix(entry ^ candidate*oddMultiplier)
}

// unit returns a number in [0, 1) that is the same each time for one hash.
func unit(h uint64) float64 {
	return float64(mix(h)>>11) / math.Exp2(53)
}

func mix(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xBF58476D1CE4E5B9
	x ^= x >> 27
	x *= 0x94D049BB133111EB
	return x ^ x>>31
}
