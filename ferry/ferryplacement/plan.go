package ferryplacement

import (
	"cmp"
	"slices"
	"time"

	"cactusferry.dev/ferry/ferryconfig"
	"cactusferry.dev/ferry/ferryid"
)

const (
	// requestShare is the part of an engine's memory that is always kept for requests; with less it would hold up every path that it is on.
	requestShare = 0.18
	// tightShare is that part where a domain would otherwise lack a few layers.
	tightShare = 0.08
	// firstHolders is how many engines of a failure domain hold the first layers.
	firstHolders = 3
)

// Engine is one engine as a plan sees it.
type Engine struct {
	Name        ferryid.UpstreamName
	Domain      ferryid.DomainName
	Accelerator ferryconfig.Accelerator
	// Held are the layers that it holds or has been ordered to hold, and Live those that it serves now.
	Held, Live ferryid.LayerRange
	// Fixed engines keep what they hold, because an order to them is under way.
	Fixed bool
	// Age is how long the engine has been known.
	Age time.Duration
}

// Situation is what a plan is made from.
type Situation struct {
	Model   *ferryconfig.Model
	Engines []Engine
	// Lacking is for how long each failure domain has lacked some layer.
	Lacking map[ferryid.DomainName]time.Duration
}

// Order is one engine's new range.
type Order struct {
	Engine ferryid.UpstreamName
	Layers ferryid.LayerRange
}

// Capacity is the most layers that an engine is given, with memory left for requests.
func Capacity(m *ferryconfig.Model, a ferryconfig.Accelerator) int {
	return capacity(m, a, requestShare)
}

func capacity(m *ferryconfig.Model, a ferryconfig.Accelerator, share float64) int {
	if m.LayerSize <= 0 {
		return 0
	}
	roomy := int(float64(a.Memory) * (1 - share) / float64(m.LayerSize))
	return max(0, min(roomy, m.Layers))
}

// Plan returns the orders that improve the placement.
//
// Each failure domain that has the memory holds one copy of the model, spread so that all its engines have the same room for
// requests, since a path carries what its fullest engine does. Several engines hold the same few first layers: the engine that
// takes a request is the only one of its path that cannot be replaced under way, so its loss should meet few requests.
// Engines that come later fill what is missing, and what is lost is covered by engines that are missed least.
func Plan(s Situation) []Order {
	if s.Model.Layers <= 0 {
		return nil
	}
	p := newPlan(s)
	for _, pool := range p.pools() {
		if pool.fresh() {
			p.layOut(pool)
			continue
		}
		p.fillEmpty(pool)
	}
	p.repair()
	return p.orders
}

// plan is the working state of one call.
type plan struct {
	Situation
	model   *ferryconfig.Model
	engines []*Engine
	// cover counts what is held or ordered, and live what is served now.
	cover, live *coverage
	orders      []Order
	ordered     map[ferryid.UpstreamName]bool
}

func newPlan(s Situation) *plan {
	m := s.Model
	p := &plan{Situation: s, model: m, cover: newCoverage(m.Layers), live: newCoverage(m.Layers), ordered: map[ferryid.UpstreamName]bool{}}
	for i := range s.Engines {
		e := s.Engines[i]
		if Capacity(m, e.Accelerator) == 0 {
			continue
		}
		p.engines = append(p.engines, &e)
		p.cover.add(e.Domain, e.Held, 1)
		p.live.add(e.Domain, e.Live, 1)
	}
	slices.SortFunc(p.engines, byMemory)
	return p
}

// byMemory orders engines, those with most memory first.
func byMemory(a, b *Engine) int {
	return cmp.Or(
		cmp.Compare(b.Accelerator.Memory, a.Accelerator.Memory),
		cmp.Compare(a.Accelerator.StepFactor, b.Accelerator.StepFactor),
		cmp.Compare(a.Name, b.Name),
	)
}

func (p *plan) capacity(e *Engine) int { return Capacity(p.model, e.Accelerator) }

// order gives an engine a new range.
func (p *plan) order(e *Engine, r ferryid.LayerRange) {
	p.cover.add(e.Domain, e.Held, -1)
	p.live.add(e.Domain, e.Live, -1)
	e.Held, e.Live = r, overlap(e.Live, r)
	p.cover.add(e.Domain, e.Held, 1)
	p.live.add(e.Domain, e.Live, 1)
	p.ordered[e.Name] = true
	p.orders = append(p.orders, Order{Engine: e.Name, Layers: r})
}

// overlap is what two ranges have in common.
func overlap(a, b ferryid.LayerRange) ferryid.LayerRange {
	r := ferryid.LayerRange{From: max(a.From, b.From), To: min(a.To, b.To)}
	if r.From >= r.To {
		return ferryid.LayerRange{}
	}
	return r
}

// free reports whether an order may be given to an engine.
func (p *plan) free(e *Engine) bool { return !e.Fixed && !p.ordered[e.Name] }

// pool is a set of engines that hold a copy of the model together, the ones with most memory first.
type pool []*Engine

// fresh reports whether the pool begins with nothing.
func (l pool) fresh() bool {
	return !slices.ContainsFunc(l, func(e *Engine) bool { return e.Held.Len() > 0 || e.Fixed })
}

// pools returns a pool for each failure domain that can hold the model, and one of all others together.
func (p *plan) pools() []pool {
	domains := map[ferryid.DomainName]pool{}
	var names []ferryid.DomainName
	for _, e := range p.engines {
		if domains[e.Domain] == nil {
			names = append(names, e.Domain)
		}
		domains[e.Domain] = append(domains[e.Domain], e)
	}
	slices.Sort(names)
	var out []pool
	var rest pool
	for _, d := range names {
		if p.total(domains[d]) >= p.model.Layers {
			out = append(out, domains[d])
			continue
		}
		rest = append(rest, domains[d]...)
	}
	if len(rest) > 0 {
		slices.SortFunc(rest, byMemory)
		out = append(out, rest)
	}
	return out
}

// total is how many layers the engines of a pool can hold.
func (p *plan) total(l pool) int {
	n := 0
	for _, e := range l {
		n += p.capacity(e)
	}
	return n
}

// firstPart is how many first layers are held together in a pool: what most engines that begin at the first layer hold now, or
// what the smallest engine takes in an even spread.
func (p *plan) firstPart(l pool) int {
	held := map[int]int{}
	for _, e := range l {
		if e.Held.From == 0 && e.Held.Len() > 0 {
			held[e.Held.Len()]++
		}
	}
	part, most := p.share(l, l[len(l)-1]), 0
	for length, n := range held {
		if n > most || (n == most && length < part) {
			part, most = length, n
		}
	}
	return part
}

// share is how many layers an engine is given in a pool: as many as leave the memory for requests that the model asks for, or more
// where the pool would not hold the model so.
func (p *plan) share(l pool, e *Engine) int {
	return p.length(e, p.tokens(l))
}

// tokens is for how many tokens each engine of a pool has memory beside its layers.
func (p *plan) tokens(l pool) float64 {
	tokens := float64(p.model.EngineTokens)
	for ; tokens > 1; tokens *= lessTokens {
		n := 0
		for _, e := range l {
			n += p.length(e, tokens)
		}
		first := p.length(l[len(l)-1], tokens)
		if n >= p.model.Layers+first*(min(firstHolders, len(l))-1) {
			return tokens
		}
	}
	return 0
}

// lessTokens is the step by which the memory for requests gives way to layers.
const lessTokens = 0.95

// length is how many layers leave memory for so many tokens.
func (p *plan) length(e *Engine, tokens float64) int {
	perLayer := float64(p.model.LayerSize) + tokens*float64(p.model.TokenBytes)/float64(p.model.Layers)/bytesPerMegabyte
	return max(1, min(int(float64(e.Accelerator.Memory)/perLayer), p.capacity(e)))
}

const bytesPerMegabyte = 1e6

// layOut spreads the model over a pool that begins with nothing: the smallest engines hold the first layers, the largest the last
// ones. Where the others can hold the model without the very largest, these come on top of a whole copy: they take longest to load.
func (p *plan) layOut(l pool) {
	first := p.firstPart(l)
	tokens := p.tokens(l)
	spare := 0
	for spare < len(l)-1 && p.fits(l[spare+1:], first, tokens*spareTokens) {
		spare++
	}
	copying := l[spare:]
	if spare > 0 {
		tokens *= spareTokens
	}
	if !p.fits(copying, first, tokens) {
		p.fillEmpty(l)
		return
	}
	holders := min(firstHolders, len(copying)-1)
	for holders > 1 && p.sum(copying[:len(copying)-holders], tokens) < p.model.Layers-first {
		holders--
	}
	for _, e := range copying[len(copying)-holders:] {
		p.order(e, ferryid.LayerRange{To: ferryid.Layer(first)})
	}
	to := p.model.Layers
	for _, e := range copying[:len(copying)-holders] {
		if to == first {
			break
		}
		n := p.length(e, tokens)
		from := max(first, to-n)
		// The last one overlaps what is covered already rather than hold less than it could.
		p.order(e, ferryid.LayerRange{From: ferryid.Layer(from), To: ferryid.Layer(min(from+n, p.model.Layers))})
		to = from
	}
	p.fillEmpty(l)
}

// spareTokens is the share of the memory for requests that is enough where a copy is completed without the largest engines.
const spareTokens = 0.8

// fits reports whether a pool holds the model, its first layers apart, with memory for so many tokens.
func (p *plan) fits(l pool, first int, tokens float64) bool {
	return len(l) > 1 && p.sum(l[:len(l)-1], tokens) >= p.model.Layers-first+first*(min(firstHolders, len(l)-1)-1)
}

func (p *plan) sum(l pool, tokens float64) int {
	n := 0
	for _, e := range l {
		n += p.length(e, tokens)
	}
	return n
}

// newcomerWait is how long a new engine is left empty where nothing is missing: when upstreams are replaced, the new one comes
// shortly before the old one leaves, and then knows what to hold.
const newcomerWait = 1800 * time.Millisecond

// fillEmpty gives the empty engines of a pool what is worth most there. Where layers are missing it gives no more than those, which load soonest.
func (p *plan) fillEmpty(l pool) {
	first := p.firstPart(l)
	for _, e := range l {
		if e.Held.Len() > 0 || !p.free(e) {
			continue
		}
		if gap := p.widestGap(e.Domain); gap.Len() > 0 {
			p.order(e, p.cut(e, gap))
			continue
		}
		if e.Age < newcomerWait && !l.fresh() {
			continue
		}
		r, _ := p.cover.best(e.Domain, p.share(l, e), first)
		p.order(e, r)
	}
}

// widestGap returns the longest run of layers that a domain lacks.
func (p *plan) widestGap(d ferryid.DomainName) ferryid.LayerRange {
	var best, run ferryid.LayerRange
	for l, n := range p.cover.of(d) {
		if n > 0 {
			run = ferryid.LayerRange{From: ferryid.Layer(l + 1), To: ferryid.Layer(l + 1)}
			continue
		}
		run.To = ferryid.Layer(l + 1)
		if run.Len() > best.Len() {
			best = run
		}
	}
	return best
}

// cut shortens a gap to what an engine holds.
func (p *plan) cut(e *Engine, gap ferryid.LayerRange) ferryid.LayerRange {
	if n := p.capacity(e); gap.Len() > n {
		gap.To = gap.From + ferryid.Layer(n)
	}
	return gap
}
