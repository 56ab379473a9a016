package ferryplacement

import (
	"cmp"
	"slices"
	"time"

	"cactusferry.dev/ferry/ferryconfig"
	"cactusferry.dev/ferry/ferryid"
)

const (
	// requestShare is the part of an engine's memory that is reserved for requests. With less, the engine
	// becomes the bottleneck of every path that it is on.
	requestShare = 0.18
	// minRequestShare is the reserved part if the domain would otherwise lack a few layers.
	minRequestShare = 0.08
	// firstHolders is the number of engines of a failure domain that hold the first layers.
	firstHolders = 3
)

// Engine is the input of a plan about one engine.
type Engine struct {
	Name        ferryid.UpstreamName
	Domain      ferryid.DomainName
	Accelerator ferryconfig.Accelerator
	// Held are the layers that the engine holds or has been ordered to hold, Live those that it serves now.
	Held, Live ferryid.LayerRange
	// Fixed is set if the engine cannot be sent an order now, for example because one is in progress.
	Fixed bool
	// Age is how long the engine has been known.
	Age time.Duration
}

// Input is the input of a plan.
type Input struct {
	Model   *ferryconfig.Model
	Engines []Engine
	// FavorMemory is set if demand is expected to exceed the engines' memory for requests. Failure domains then hold
	// fewer copies of the model if that leaves more memory at each layer.
	FavorMemory bool
	// Lacking is how long each failure domain has lacked at least one layer.
	Lacking map[ferryid.DomainName]time.Duration
	// spreads keeps the placements of spreadForDemand for the next plan, since they take long to compute and depend on
	// the model and the engines' accelerators only. They are kept by the failure domain of a pool's first engine. It may be nil.
	spreads map[ferryid.DomainName]*spread
}

// Order is the new range of one engine.
type Order struct {
	Engine ferryid.UpstreamName
	Layers ferryid.LayerRange
}

// Capacity returns the most layers that an engine is given, with memory reserved for requests.
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
// Each failure domain with enough memory holds one copy of the model, spread so that all its engines have
// the same memory for requests, since the fullest engine limits a path. Several engines hold the same few
// first layers: the engine that receives a request is the only one of its path that cannot be replaced
// during the run, so its loss should affect few requests. Engines that join later fill the gaps. Lost layers
// are covered by the engines whose own layers are best covered by others.
func Plan(in Input) []Order {
	if in.Model.Layers <= 0 {
		return nil
	}
	p := newPlan(in)
	for _, pool := range p.pools() {
		if pool.fresh() && p.FavorMemory {
			p.assignForDemand(pool)
			continue
		}
		if pool.fresh() {
			p.distribute(pool)
			continue
		}
		p.fillEmpty(pool)
	}
	p.repair()
	return p.orders
}

// plan is the working state of one call of Plan.
type plan struct {
	Input
	model   *ferryconfig.Model
	engines []*Engine
	// cover counts the layers that are held or ordered, live those that are served now.
	cover, live *coverage
	orders      []Order
	ordered     map[ferryid.UpstreamName]bool
	// wantedTokens replaces the model's number of tokens for each engine if it is set.
	wantedTokens float64
}

func newPlan(in Input) *plan {
	m := in.Model
	p := &plan{Input: in, model: m, cover: newCoverage(m.Layers), live: newCoverage(m.Layers), ordered: map[ferryid.UpstreamName]bool{}}
	if p.spreads == nil {
		p.spreads = map[ferryid.DomainName]*spread{}
	}
	for i := range in.Engines {
		e := in.Engines[i]
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

// byMemory sorts engines by descending memory.
func byMemory(a, b *Engine) int {
	return cmp.Or(
		cmp.Compare(b.Accelerator.Memory, a.Accelerator.Memory),
		cmp.Compare(a.Accelerator.StepFactor, b.Accelerator.StepFactor),
		cmp.Compare(a.Name, b.Name),
	)
}

func (p *plan) capacity(e *Engine) int { return Capacity(p.model, e.Accelerator) }

// assign assigns an engine a new range.
func (p *plan) assign(e *Engine, r ferryid.LayerRange) {
	p.cover.add(e.Domain, e.Held, -1)
	p.live.add(e.Domain, e.Live, -1)
	e.Held, e.Live = r, overlap(e.Live, r)
	p.cover.add(e.Domain, e.Held, 1)
	p.live.add(e.Domain, e.Live, 1)
	p.ordered[e.Name] = true
	p.orders = append(p.orders, Order{Engine: e.Name, Layers: r})
}

// overlap returns the intersection of two ranges.
func overlap(a, b ferryid.LayerRange) ferryid.LayerRange {
	r := ferryid.LayerRange{From: max(a.From, b.From), To: min(a.To, b.To)}
	if r.From >= r.To {
		return ferryid.LayerRange{}
	}
	return r
}

// assignable reports whether an engine can be sent an order.
func (p *plan) assignable(e *Engine) bool { return !e.Fixed && !p.ordered[e.Name] }

// pool is a set of engines that hold a copy of the model together, by descending memory.
type pool []*Engine

// fresh reports whether no engine of the pool holds layers or is fixed.
func (l pool) fresh() bool {
	return !slices.ContainsFunc(l, func(e *Engine) bool { return e.Held.Len() > 0 || e.Fixed })
}

// pools returns one pool for each failure domain that can hold the model, and one for
// the engines of all others.
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

// total returns how many layers the engines of a pool can hold.
func (p *plan) total(l pool) int {
	n := 0
	for _, e := range l {
		n += p.capacity(e)
	}
	return n
}

// firstPart returns the number of first layers that several engines of a pool hold: the most frequent length
// among engines that begin at the first layer, or the share of the smallest engine.
func (p *plan) firstPart(l pool) int {
	held := map[int]int{}
	for _, e := range l {
		if e.Held.From == 0 && e.Held.Len() > 0 {
			held[e.Held.Len()]++
		}
	}
	part, most := p.length(l[len(l)-1], p.tokens(l)), 0
	for length, n := range held {
		if n > most || (n == most && length < part) {
			part, most = length, n
		}
	}
	return part
}

// tokens returns the number of tokens for which each engine of a pool has memory beside its layers. It visits the pool
// several times.
func (p *plan) tokens(l pool) float64 {
	if p.FavorMemory {
		return p.spreadForDemand(l).tokens
	}
	if p.wantedTokens > 0 {
		return p.fittingTokens(l, p.wantedTokens)
	}
	return p.fittingTokens(l, float64(p.model.EngineTokens))
}

// fittingTokens returns the given number of tokens, or fewer if the pool would not hold the model otherwise.
func (p *plan) fittingTokens(l pool, tokens float64) float64 {
	for ; tokens > 1; tokens *= tokenReduction {
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

// tokenReduction is the factor by which the request memory is reduced until the layers fit.
const tokenReduction = 0.95

// length returns how many layers leave memory for the given number of tokens.
func (p *plan) length(e *Engine, tokens float64) int {
	perLayer := float64(p.model.LayerSize) + tokens*float64(p.model.TokenBytes)/float64(p.model.Layers)/bytesPerMegabyte
	return max(1, min(int(float64(e.Accelerator.Memory)/perLayer), p.capacity(e)))
}

const bytesPerMegabyte = 1e6

// distribute distributes the model over a fresh pool: the smallest engines hold the first layers, the largest
// the last ones. If the others can hold the model without the largest engines, those only add to a complete
// copy, since they take longest to load.
func (p *plan) distribute(l pool) {
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
		p.assign(e, ferryid.LayerRange{To: ferryid.Layer(first)})
	}
	to := p.model.Layers
	for _, e := range copying[:len(copying)-holders] {
		if to == first {
			break
		}
		n := p.length(e, tokens)
		from := max(first, to-n)
		// The last range overlaps covered layers, so that the engine is used fully.
		p.assign(e, ferryid.LayerRange{From: ferryid.Layer(from), To: ferryid.Layer(min(from+n, p.model.Layers))})
		to = from
	}
	p.fillEmpty(l)
}

// spareTokens is the part of the request memory that suffices if the copy is completed
// without the largest engines.
const spareTokens = 0.8

// fits reports whether a pool holds the model with memory for the given number of tokens. The first layers
// are counted once for each of their holders.
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

// newEngineWait is how long a new engine stays empty if no layer is missing. When an upstream is replaced,
// the new one starts shortly before the old one leaves and can then take its layers.
const newEngineWait = 1800 * time.Millisecond

// fillEmpty assigns the empty engines of a pool the ranges with the highest value. If layers are missing, an
// engine is given only those, since they load soonest.
func (p *plan) fillEmpty(l pool) {
	if !slices.ContainsFunc(l, p.empty) {
		return
	}
	first, tokens, fresh := p.firstPart(l), p.tokens(l), l.fresh()
	for _, e := range l {
		if !p.empty(e) {
			continue
		}
		if gap := p.widestGap(e.Domain); gap.Len() > 0 {
			p.assign(e, p.limitToCapacity(e, gap))
			fresh = false
			continue
		}
		if e.Age < newEngineWait && !fresh {
			continue
		}
		r, _ := p.cover.best(e.Domain, p.length(e, tokens), first)
		p.assign(e, r)
		fresh = false
	}
}

// empty reports whether an engine holds no layers and can be sent an order.
func (p *plan) empty(e *Engine) bool { return e.Held.Len() == 0 && p.assignable(e) }

// widestGap returns the longest range of layers that a domain lacks.
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

// limitToCapacity shortens a gap to the capacity of an engine.
func (p *plan) limitToCapacity(e *Engine, gap ferryid.LayerRange) ferryid.LayerRange {
	if n := p.capacity(e); gap.Len() > n {
		gap.To = gap.From + ferryid.Layer(n)
	}
	return gap
}
