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

// Candidate is an engine, or a fixed pipeline of engines, that may be part of a subset.
type Candidate struct {
	Name   ferryid.UpstreamName
	Domain ferryid.DomainName
	Layers ferryid.LayerRange
	// Excluded is set if the candidate gets no new work, as all entries know. It does not count
	// towards a subset's needs.
	Excluded bool
	// Unreachable is set if this entry cannot reach the candidate. It does not count towards this entry's needs,
	// but towards the sizes on which all entries must agree.
	Unreachable bool
}

func (c *Candidate) usable() bool {
	return !c.Excluded && !c.Unreachable
}

// Config configures the sizes of subsets.
type Config struct {
	// AllUpTo is the number of candidates with work up to which every entry uses all of them.
	AllUpTo int
	// Size is the minimum mean number of candidates in a subset.
	Size int
	// Entries is the minimum number of entries that use each candidate.
	Entries int
	// PerRange is the minimum number of candidates of each layer range in a subset, if there are that many.
	PerRange int
	// ReadsPerSecond is the maximum number of engines whose state an entry with a
	// proper subset reads per second.
	ReadsPerSecond int
	// IdleReadsPerSecond is that maximum while the entry has no calls.
	IdleReadsPerSecond int
}

// Default is the configuration that the entries use; all entries must use the same one.
var Default = Config{AllUpTo: 24, Size: 24, Entries: 4, PerRange: 3, ReadsPerSecond: 10, IdleReadsPerSecond: 2}

// Grouped returns the configuration for candidates that are pipelines of the given number of engines.
func (c Config) Grouped(engines int) Config {
	c.AllUpTo = max(1, c.AllUpTo/max(1, engines))
	c.Size = max(1, c.Size/max(1, engines))
	return c
}

// UsesAll reports whether every entry uses all candidates with work.
func (c Config) UsesAll(entries, candidates int) bool {
	return candidates <= c.AllUpTo || c.EntriesPerCandidate(entries, candidates) >= float64(entries)
}

// EntriesPerCandidate returns the mean number of entries that use a candidate.
func (c Config) EntriesPerCandidate(entries, candidates int) float64 {
	return max(float64(c.Entries), float64(entries)*float64(c.Size)/float64(max(1, candidates)))
}

// Chooser computes subsets and reuses its buffers. It is not safe for concurrent use.
type Chooser struct {
	cfg        Config
	entries    []uint64
	candidates []Candidate
	hashes     []uint64
	inSubset   []bool
	domainOf   []int
	rangeOf    []int
	domains    []ferryid.DomainName
	ranges     []layerRange
	spanned    uint64
}

// layerRange counts the candidates with the same layers, in total and in the subset.
type layerRange struct {
	layers   ferryid.LayerRange
	total    int
	selected int
	domains  uint64
	spanned  uint64
}

// New returns a chooser.
func New(cfg Config) *Chooser {
	return &Chooser{cfg: cfg}
}

// Choose appends to out the indices of the candidates that self uses, in ascending order.
//
// Each candidate is used by the live entries with the highest weights for it, so that an entry that joins or
// leaves changes only its own assignments. In addition, self uses the candidates with its highest weights
// until the subset spans the failure domains and has PerRange candidates of each layer range. A chain of
// ranges that the whole list has then exists in the subset too.
func (c *Chooser) Choose(self ferryid.EntryName, entries []ferryid.EntryName, candidates []Candidate, out []int) []int {
	active := c.load(entries, candidates)
	if c.cfg.UsesAll(len(entries), active) {
		for i := range candidates {
			out = append(out, i)
		}
		return out
	}
	own := xxhash.Sum64String(string(self))
	perCandidate := c.cfg.EntriesPerCandidate(len(entries), active)
	for i, h := range c.hashes {
		if c.uses(own, h, int(perCandidate+unit(h))) {
			c.add(i)
		}
	}
	c.fill(own)
	for i, in := range c.inSubset {
		if in {
			out = append(out, i)
		}
	}
	return out
}

// load stores the entries and candidates and returns how many candidates get work.
func (c *Chooser) load(entries []ferryid.EntryName, candidates []Candidate) (active int) {
	c.entries, c.hashes, c.inSubset = c.entries[:0], c.hashes[:0], c.inSubset[:0]
	c.domains, c.domainOf = c.domains[:0], c.domainOf[:0]
	c.ranges, c.rangeOf = c.ranges[:0], c.rangeOf[:0]
	c.candidates, c.spanned = candidates, 0
	for _, e := range entries {
		c.entries = append(c.entries, xxhash.Sum64String(string(e)))
	}
	for i := range candidates {
		e := &candidates[i]
		c.hashes = append(c.hashes, xxhash.Sum64String(string(e.Name)))
		c.inSubset = append(c.inSubset, false)
		c.domainOf = append(c.domainOf, c.domain(e.Domain))
		c.rangeOf = append(c.rangeOf, c.layerRange(e.Layers))
		if !e.Excluded {
			active++
		}
		if e.usable() {
			r := &c.ranges[c.rangeOf[i]]
			r.total++
			r.domains |= bit(c.domainOf[i])
		}
	}
	return active
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

// uses reports whether fewer than k entries have a higher weight for the candidate than self.
func (c *Chooser) uses(self, candidate uint64, k int) bool {
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
	c.inSubset[i] = true
	if !c.candidates[i].usable() {
		return
	}
	r := &c.ranges[c.rangeOf[i]]
	r.selected++
	r.spanned |= bit(c.domainOf[i])
	c.spanned |= bit(c.domainOf[i])
}

// fill adds the candidates that are missing to span failure domains and layer ranges.
func (c *Chooser) fill(self uint64) {
	for i := range c.ranges {
		r := &c.ranges[i]
		want := min(c.cfg.PerRange, r.total)
		span := min(c.cfg.PerRange, bits.OnesCount64(r.domains))
		for bits.OnesCount64(r.spanned) < span {
			c.add(c.heaviest(self, i, r.spanned))
		}
		for r.selected < want {
			c.add(c.heaviest(self, i, 0))
		}
	}
	for i := range c.ranges {
		for missing := c.ranges[i].domains &^ c.spanned; missing != 0; missing = c.ranges[i].domains &^ c.spanned {
			c.add(c.heaviest(self, i, c.spanned))
		}
	}
}

// heaviest returns the candidate with the highest weight for self that is in the layer range, outside of the
// given domains and not in the subset. There must be one.
func (c *Chooser) heaviest(self uint64, layers int, domains uint64) int {
	best, most := -1, uint64(0)
	for i, h := range c.hashes {
		if c.inSubset[i] || !c.candidates[i].usable() || c.rangeOf[i] != layers || domains&bit(c.domainOf[i]) != 0 {
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

// unit maps a hash to a number in [0, 1).
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
