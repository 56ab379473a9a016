package ferrypipeline

import (
	"fmt"
	"math"
	"slices"
	"time"

	"cactusferry.dev/ferry/ferryid"
	"cactusferry.dev/ferry/ferryservice"
)

const (
	maxDomains = 16
	sumWeight  = 0.5
	// noSlot is what a job without a slot costs, in seconds, so that full engines come after all that have room.
	noSlot       = 10.0
	noPlan       = -1
	startOfChain = -2
)

// LinkCosts gives the time that one token takes from a stage to the next, between two failure domains.
type LinkCosts map[[2]ferryid.DomainName]time.Duration

// NoChainError says that the candidates that may be used don't cover the layers.
type NoChainError struct {
	Layers   ferryid.Layer
	Excluded int
}

func (e *NoChainError) Error() string {
	return fmt.Sprintf("no chain of engines covers %d layers, %d excluded", e.Layers, e.Excluded)
}

// PlannerConfig sets up a Planner.
type PlannerConfig struct {
	Layers     ferryid.Layer
	Candidates Candidates
	Links      LinkCosts
	// Fixed are the document's pipelines; without any the planner chains candidates itself.
	Fixed ferryservice.Pipelines
}

// edge is a candidate's use between two layer boundaries.
type edge struct {
	candidate int
	share     float64
}

// group is the edges between the same boundaries in one failure domain, of which only the quickest matters.
type group struct {
	from   int
	to     int
	domain int
	edges  []edge
}

// label is the best chain up to a boundary that ends in one failure domain.
type label struct {
	score float64
	worst float64
	sum   float64
	link  float64
	// candidate is the last of the chain, or noPlan.
	candidate int
	prev      int
}

// Planner chooses among candidates that change seldom; it is for one goroutine at a time.
type Planner struct {
	layers     ferryid.Layer
	candidates Candidates
	domainOf   []int
	domains    int
	names      map[ferryid.DomainName]int
	boundaries []ferryid.Layer
	groups     []group
	link       [maxDomains][maxDomains]float64
	fixed      [][]int
	labels     []label
	// chain is the candidates chosen and cuts the layer at which each ends.
	chain []int
	cuts  []ferryid.Layer
}

// NewPlanner prepares the choice among the candidates.
func NewPlanner(cfg PlannerConfig) (*Planner, error) {
	names := map[ferryid.DomainName]int{}
	p := &Planner{layers: cfg.Layers, candidates: cfg.Candidates, names: names}
	index := map[ferryid.UpstreamName]int{}
	for i, c := range cfg.Candidates {
		if _, ok := names[c.Domain]; !ok {
			names[c.Domain] = len(names)
		}
		p.domainOf = append(p.domainOf, names[c.Domain])
		index[c.Name] = i
	}
	p.domains = len(names)
	if p.domains > maxDomains {
		return nil, fmt.Errorf("at most %d failure domains, there are %d", maxDomains, p.domains)
	}
	for pair, d := range cfg.Links {
		a, okA := names[pair[0]]
		b, okB := names[pair[1]]
		if okA && okB {
			p.link[a][b] = d.Seconds()
		}
	}
	p.cut()
	for _, f := range cfg.Fixed {
		if chain, ok := fixedChain(f, index); ok {
			p.fixed = append(p.fixed, chain)
		}
	}
	if len(cfg.Fixed) > 0 && len(p.fixed) == 0 {
		return nil, &NoChainError{Layers: cfg.Layers}
	}
	p.labels = make([]label, len(p.boundaries)*max(1, p.domains))
	return p, nil
}

func fixedChain(f ferryservice.Pipeline, index map[ferryid.UpstreamName]int) ([]int, bool) {
	var chain []int
	for _, name := range f.Stages {
		i, ok := index[name]
		if !ok {
			return nil, false
		}
		chain = append(chain, i)
	}
	return chain, true
}

// cut finds the layer boundaries and the groups of edges between them, those that end earlier first.
func (p *Planner) cut() {
	set := map[ferryid.Layer]bool{0: true, p.layers: true}
	for _, c := range p.candidates {
		set[min(c.Layers.From, p.layers)] = true
		set[min(c.Layers.To, p.layers)] = true
	}
	for b := range set {
		p.boundaries = append(p.boundaries, b)
	}
	slices.Sort(p.boundaries)
	for to := range p.boundaries {
		for from := range to {
			p.edgesBetween(from, to)
		}
	}
}

func (p *Planner) edgesBetween(from, to int) {
	r := ferryid.LayerRange{From: p.boundaries[from], To: p.boundaries[to]}
	for d := range p.domains {
		g := group{from: from, to: to, domain: d}
		for i, c := range p.candidates {
			if p.domainOf[i] == d && c.Layers.From <= r.From && r.To <= c.Layers.To {
				g.edges = append(g.edges, edge{candidate: i, share: float64(r.Len()) / float64(c.Layers.Len())})
			}
		}
		if len(g.edges) > 0 {
			p.groups = append(p.groups, g)
		}
	}
}

// Choose writes the best plan for a job of so many tokens into plan, reusing its stages; loads and excluded run parallel to the candidates.
func (p *Planner) Choose(loads []Load, excluded []bool, tokens ferryid.Tokens, plan *Plan) error {
	p.chain, p.cuts = p.chain[:0], p.cuts[:0]
	found := false
	if len(p.fixed) > 0 {
		found = p.chooseFixed(loads, excluded, tokens)
	} else {
		found = p.chooseChain(loads, excluded, tokens)
	}
	if !found {
		return &NoChainError{Layers: p.layers, Excluded: count(excluded)}
	}
	p.write(loads, tokens, plan)
	return nil
}

func count(bs []bool) int {
	n := 0
	for _, b := range bs {
		if b {
			n++
		}
	}
	return n
}

func usable(l *Load, excluded []bool, i int) bool {
	return !l.Avoid && l.Rate > 0 && (excluded == nil || !excluded[i])
}

// seconds is how long the candidate takes until it has done its work and this job's share.
func seconds(l *Load, share float64, tokens ferryid.Tokens) float64 {
	s := (float64(l.Outstanding) + float64(tokens)*share) / float64(l.Rate)
	if l.Slots > 0 && l.Running >= l.Slots {
		s += float64(1+l.Running-l.Slots) * noSlot
	}
	return s
}

// chooseChain goes over the boundaries from layer 0 and keeps the best chain to each boundary and last failure domain.
func (p *Planner) chooseChain(loads []Load, excluded []bool, tokens ferryid.Tokens) bool {
	for i := range p.labels {
		p.labels[i] = label{score: math.Inf(1), candidate: noPlan}
	}
	for gi := range p.groups {
		g := &p.groups[gi]
		own, candidate := quickest(g.edges, loads, excluded, tokens)
		if candidate == noPlan {
			continue
		}
		at := &p.labels[g.to*p.domains+g.domain]
		if g.from == 0 {
			at.improve(label{worst: own, sum: own, candidate: candidate, prev: startOfChain}, tokens)
			continue
		}
		for pd := range p.domains {
			prev := g.from*p.domains + pd
			if b := &p.labels[prev]; b.candidate != noPlan {
				at.improve(label{
					worst: max(b.worst, own), sum: b.sum + own, link: b.link + p.link[pd][g.domain],
					candidate: candidate, prev: prev,
				}, tokens)
			}
		}
	}
	return p.trace()
}

// quickest returns the candidate of a group that is done first.
func quickest(edges []edge, loads []Load, excluded []bool, tokens ferryid.Tokens) (own float64, candidate int) {
	own, candidate = math.Inf(1), noPlan
	for i := range edges {
		e := &edges[i]
		l := &loads[e.candidate]
		if !usable(l, excluded, e.candidate) {
			continue
		}
		if s := seconds(l, e.share, tokens); s < own {
			own, candidate = s, e.candidate
		}
	}
	return own, candidate
}

func (l *label) improve(next label, tokens ferryid.Tokens) {
	next.score = next.worst + sumWeight*next.sum + float64(tokens)*next.link
	if next.score < l.score {
		*l = next
	}
}

// trace follows the best chain back to layer 0.
func (p *Planner) trace() bool {
	last := (len(p.boundaries) - 1) * p.domains
	best := noPlan
	for d := range p.domains {
		if p.labels[last+d].candidate != noPlan && (best == noPlan || p.labels[last+d].score < p.labels[best].score) {
			best = last + d
		}
	}
	if best == noPlan {
		return false
	}
	for i := best; i != startOfChain; i = p.labels[i].prev {
		p.chain = append(p.chain, p.labels[i].candidate)
		p.cuts = append(p.cuts, p.boundaries[i/p.domains])
	}
	slices.Reverse(p.chain)
	slices.Reverse(p.cuts)
	p.merge()
	return true
}

// merge leaves each candidate in the chain once: one that comes again holds all layers between, too.
func (p *Planner) merge() {
	for i := 0; i < len(p.chain); i++ {
		for j := len(p.chain) - 1; j > i; j-- {
			if p.chain[j] == p.chain[i] {
				p.cuts = slices.Delete(p.cuts, i, j)
				p.chain = slices.Delete(p.chain, i, j)
				break
			}
		}
	}
}

func (p *Planner) chooseFixed(loads []Load, excluded []bool, tokens ferryid.Tokens) bool {
	best := math.Inf(1)
	for _, chain := range p.fixed {
		score, ok := p.scoreFixed(chain, loads, excluded, tokens)
		if ok && score < best {
			best = score
			p.chain = append(p.chain[:0], chain...)
			p.cuts = p.cuts[:0]
			for _, c := range chain {
				p.cuts = append(p.cuts, min(p.candidates[c].Layers.To, p.layers))
			}
		}
	}
	return !math.IsInf(best, 1)
}

func (p *Planner) scoreFixed(chain []int, loads []Load, excluded []bool, tokens ferryid.Tokens) (float64, bool) {
	worst, sum, link := 0.0, 0.0, 0.0
	next := ferryid.Layer(0)
	for i, c := range chain {
		held := p.candidates[c].Layers
		if !usable(&loads[c], excluded, c) || held.From > next || held.To <= next {
			return 0, false
		}
		own := seconds(&loads[c], float64(held.To-next)/float64(held.Len()), tokens)
		worst = max(worst, own)
		sum += own
		if i > 0 {
			link += p.link[p.domainOf[chain[i-1]]][p.domainOf[c]]
		}
		next = held.To
	}
	return worst + sumWeight*sum + float64(tokens)*link, next >= p.layers
}

// write fills the plan in, with the layers that two neighbours both hold split so that neither waits for the other.
func (p *Planner) write(loads []Load, tokens ferryid.Tokens, plan *Plan) {
	plan.Layers, plan.Tokens = p.layers, tokens
	plan.Stages = plan.Stages[:0]
	next := ferryid.Layer(0)
	for i, ci := range p.chain {
		c := &p.candidates[ci]
		to := p.cuts[i]
		if i+1 < len(p.chain) {
			to = p.split(i, next, loads, tokens)
		}
		plan.Stages = append(plan.Stages, Stage{
			Name: c.Name, Address: c.Address, Incarnation: c.Incarnation, Domain: c.Domain,
			Layers: ferryid.LayerRange{From: next, To: to},
		})
		next = to
	}
	plan.Rate = ferryid.TokensPerSecond(math.Inf(1))
	for i := range plan.Stages {
		s := &plan.Stages[i]
		s.Share = float64(s.Layers.Len()) / float64(p.candidates[p.chain[i]].Layers.Len())
		plan.Rate = min(plan.Rate, loads[p.chain[i]].Rate/ferryid.TokensPerSecond(s.Share))
	}
}

// split is the layer at which the chain's stage i, which begins at from, hands over to the next, that both may hold.
func (p *Planner) split(i int, from ferryid.Layer, loads []Load, tokens ferryid.Tokens) ferryid.Layer {
	a, b := p.chain[i], p.chain[i+1]
	ca, cb := p.candidates[a].Layers, p.candidates[b].Layers
	end := p.cuts[i+1]
	best, at := math.Inf(1), p.cuts[i]
	for l := max(cb.From, from+1); l <= min(ca.To, end-1); l++ {
		worst := max(
			seconds(&loads[a], float64(l-from)/float64(ca.Len()), tokens),
			seconds(&loads[b], float64(end-l)/float64(cb.Len()), tokens),
		)
		if worst < best {
			best, at = worst, l
		}
	}
	return at
}

// observeLink takes up a measured link time.
func (p *Planner) observeLink(from, to ferryid.DomainName, d time.Duration) {
	a, okA := p.names[from]
	b, okB := p.names[to]
	if okA && okB {
		p.link[a][b] = smooth(p.link[a][b], d.Seconds())
	}
}

// takeLinks keeps the measured links of the planner before, for failure domains that both know.
func (p *Planner) takeLinks(old *Planner) {
	for from, a := range p.names {
		for to, b := range p.names {
			oldA, okA := old.names[from]
			oldB, okB := old.names[to]
			if okA && okB {
				p.link[a][b] = old.link[oldA][oldB]
			}
		}
	}
}
