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
	// sumWeight is the weight of the sum of the stages' times in a chain's score; the slowest stage has weight 1.
	sumWeight = 0.5
	// noSlotPenalty is the cost in seconds of a job without a slot; it ranks full engines behind all with free
	// slots.
	noSlotPenalty = 10.0
	noCandidate   = -1
	chainStart    = -2
)

// LinkCosts holds the transfer time of one token between stages, per pair of failure domains.
type LinkCosts map[[2]ferryid.DomainName]time.Duration

// NoChainError reports that the usable candidates do not cover the layers.
type NoChainError struct {
	Layers   ferryid.Layer
	Excluded int
}

func (e *NoChainError) Error() string {
	return fmt.Sprintf("no chain of engines covers %d layers, %d excluded", e.Layers, e.Excluded)
}

// PlannerConfig configures a Planner.
type PlannerConfig struct {
	Layers     ferryid.Layer
	Candidates Candidates
	Links      LinkCosts
	// Fixed lists the pipelines of the service document; if empty, the planner builds chains from the
	// candidates.
	Fixed ferryservice.Pipelines
}

// edge is a candidate that covers the layers between two boundaries.
type edge struct {
	candidate int
	share     float64
}

// group holds the edges between the same boundaries in one failure domain, of which only the fastest is used.
type group struct {
	from   int
	to     int
	domain int
	edges  []edge
}

// label describes the best chain that ends at one boundary with its last stage in one failure domain.
//
// worst is the time of the slowest stage and sum that of all stages, in seconds; link is the transfer time of one
// token in seconds.
type label struct {
	score float64
	worst float64
	sum   float64
	link  float64
	// candidate is the last stage of the chain, or noCandidate.
	candidate int
	// prev is the index of the label that the chain extends, or chainStart.
	prev int
}

// Planner chooses chains among a fixed set of candidates; it is not safe for concurrent use.
type Planner struct {
	layers      ferryid.Layer
	candidates  Candidates
	domainOf    []int
	domains     int
	domainIndex map[ferryid.DomainName]int
	boundaries  []ferryid.Layer
	groups      []group
	// link holds the transfer times of one token between failure domains, in seconds.
	link   [maxDomains][maxDomains]float64
	fixed  [][]int
	labels []label
	// chain holds the chosen candidates, stageEnds the layer at which each one ends.
	chain     []int
	stageEnds []ferryid.Layer
}

// NewPlanner returns a planner, or an error for too many failure domains or no usable fixed pipeline.
func NewPlanner(cfg PlannerConfig) (*Planner, error) {
	domainIndex := map[ferryid.DomainName]int{}
	p := &Planner{layers: cfg.Layers, candidates: cfg.Candidates, domainIndex: domainIndex}
	index := map[ferryid.UpstreamName]int{}
	for i, c := range cfg.Candidates {
		if _, ok := domainIndex[c.Domain]; !ok {
			domainIndex[c.Domain] = len(domainIndex)
		}
		p.domainOf = append(p.domainOf, domainIndex[c.Domain])
		index[c.Name] = i
	}
	p.domains = len(domainIndex)
	if p.domains > maxDomains {
		return nil, fmt.Errorf("at most %d failure domains, there are %d", maxDomains, p.domains)
	}
	for pair, d := range cfg.Links {
		a, okA := domainIndex[pair[0]]
		b, okB := domainIndex[pair[1]]
		if okA && okB {
			p.link[a][b] = d.Seconds()
		}
	}
	p.buildGroups()
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

// buildGroups computes the layer boundaries and the groups of edges between them, ordered by their end.
func (p *Planner) buildGroups() {
	set := map[ferryid.Layer]bool{0: true, p.layers: true}
	for _, c := range p.candidates {
		set[min(c.Layers.From, p.layers)] = true
		set[min(c.Layers.To, p.layers)] = true
	}
	for b := range set {
		p.boundaries = append(p.boundaries, b)
	}
	slices.Sort(p.boundaries)
	p.groups = nil
	for _, g := range p.edgesByGroup() {
		if len(g.edges) > 0 {
			p.groups = append(p.groups, g)
		}
	}
}

// edgesByGroup returns a group for each two boundaries and failure domain, ordered by end, start and domain. It
// visits only the boundaries within each candidate's range, since it runs with each change of an engine.
func (p *Planner) edgesByGroup() []group {
	n := len(p.boundaries)
	groups := make([]group, n*n*p.domains)
	for i, c := range p.candidates {
		first, _ := slices.BinarySearch(p.boundaries, c.Layers.From)
		for to := first + 1; to < n && p.boundaries[to] <= c.Layers.To; to++ {
			for from := first; from < to; from++ {
				g := &groups[(to*n+from)*p.domains+p.domainOf[i]]
				g.from, g.to, g.domain = from, to, p.domainOf[i]
				share := float64(p.boundaries[to]-p.boundaries[from]) / float64(c.Layers.Len())
				g.edges = append(g.edges, edge{candidate: i, share: share})
			}
		}
	}
	return groups
}

// Choose writes the best plan for a job of the given tokens into plan, reusing its slice of stages. The
// slices loads and excluded are parallel to the candidates. The error is a *NoChainError.
func (p *Planner) Choose(loads []Load, excluded []bool, tokens ferryid.Tokens, plan *Plan) error {
	p.chain, p.stageEnds = p.chain[:0], p.stageEnds[:0]
	found := false
	if len(p.fixed) > 0 {
		found = p.chooseFixed(loads, excluded, tokens)
	} else {
		found = p.chooseChain(loads, excluded, tokens)
	}
	if !found {
		return &NoChainError{Layers: p.layers, Excluded: countTrue(excluded)}
	}
	p.fillPlan(loads, tokens, plan)
	return nil
}

func countTrue(bs []bool) int {
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

// finishSeconds returns the time until the candidate finishes its outstanding work and this job's share.
func finishSeconds(l *Load, share float64, tokens ferryid.Tokens) float64 {
	s := (float64(l.Outstanding) + float64(tokens)*share) / float64(l.Rate)
	if l.Slots > 0 && l.Running >= l.Slots {
		s += float64(1+l.Running-l.Slots) * noSlotPenalty
	}
	return s
}

// chooseChain finds the best chain by dynamic programming over the boundaries. It keeps one label per
// boundary and failure domain of the last stage.
func (p *Planner) chooseChain(loads []Load, excluded []bool, tokens ferryid.Tokens) bool {
	for i := range p.labels {
		p.labels[i] = label{score: math.Inf(1), candidate: noCandidate}
	}
	for gi := range p.groups {
		g := &p.groups[gi]
		cost, candidate := fastest(g.edges, loads, excluded, tokens)
		if candidate == noCandidate {
			continue
		}
		at := &p.labels[g.to*p.domains+g.domain]
		if g.from == 0 {
			at.improve(label{worst: cost, sum: cost, candidate: candidate, prev: chainStart}, tokens)
			continue
		}
		for pd := range p.domains {
			prev := g.from*p.domains + pd
			if b := &p.labels[prev]; b.candidate != noCandidate {
				at.improve(label{
					worst: max(b.worst, cost), sum: b.sum + cost, link: b.link + p.link[pd][g.domain],
					candidate: candidate, prev: prev,
				}, tokens)
			}
		}
	}
	return p.backtrack()
}

// fastest returns the candidate of a group that finishes first.
func fastest(edges []edge, loads []Load, excluded []bool, tokens ferryid.Tokens) (cost float64, candidate int) {
	cost, candidate = math.Inf(1), noCandidate
	for i := range edges {
		e := &edges[i]
		l := &loads[e.candidate]
		if !usable(l, excluded, e.candidate) {
			continue
		}
		if s := finishSeconds(l, e.share, tokens); s < cost {
			cost, candidate = s, e.candidate
		}
	}
	return cost, candidate
}

func (l *label) improve(next label, tokens ferryid.Tokens) {
	next.score = next.worst + sumWeight*next.sum + float64(tokens)*next.link
	if next.score < l.score {
		*l = next
	}
}

// backtrack follows the labels of the best chain back to layer 0.
func (p *Planner) backtrack() bool {
	last := (len(p.boundaries) - 1) * p.domains
	best := noCandidate
	for d := range p.domains {
		if p.labels[last+d].candidate != noCandidate && (best == noCandidate || p.labels[last+d].score < p.labels[best].score) {
			best = last + d
		}
	}
	if best == noCandidate {
		return false
	}
	for i := best; i != chainStart; i = p.labels[i].prev {
		p.chain = append(p.chain, p.labels[i].candidate)
		p.stageEnds = append(p.stageEnds, p.boundaries[i/p.domains])
	}
	slices.Reverse(p.chain)
	slices.Reverse(p.stageEnds)
	p.mergeRepeated()
	return true
}

// mergeRepeated removes repeated candidates from the chain; a repeated one holds all layers in between too.
func (p *Planner) mergeRepeated() {
	for i := 0; i < len(p.chain); i++ {
		for j := len(p.chain) - 1; j > i; j-- {
			if p.chain[j] == p.chain[i] {
				p.stageEnds = slices.Delete(p.stageEnds, i, j)
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
			p.stageEnds = p.stageEnds[:0]
			for _, c := range chain {
				p.stageEnds = append(p.stageEnds, min(p.candidates[c].Layers.To, p.layers))
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
		cost := finishSeconds(&loads[c], float64(held.To-next)/float64(held.Len()), tokens)
		worst = max(worst, cost)
		sum += cost
		if i > 0 {
			link += p.link[p.domainOf[chain[i-1]]][p.domainOf[c]]
		}
		next = held.To
	}
	return worst + sumWeight*sum + float64(tokens)*link, next >= p.layers
}

// fillPlan fills in the plan; layers that two neighbours both hold are split to balance their finish times.
func (p *Planner) fillPlan(loads []Load, tokens ferryid.Tokens, plan *Plan) {
	plan.Layers, plan.Tokens = p.layers, tokens
	plan.Stages = plan.Stages[:0]
	next := ferryid.Layer(0)
	for i, ci := range p.chain {
		c := &p.candidates[ci]
		to := p.stageEnds[i]
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

// split returns the layer at which stage i of the chain, which begins at from, ends and the next
// stage begins.
func (p *Planner) split(i int, from ferryid.Layer, loads []Load, tokens ferryid.Tokens) ferryid.Layer {
	a, b := p.chain[i], p.chain[i+1]
	ca, cb := p.candidates[a].Layers, p.candidates[b].Layers
	end := p.stageEnds[i+1]
	best, at := math.Inf(1), p.stageEnds[i]
	for l := max(cb.From, from+1); l <= min(ca.To, end-1); l++ {
		worst := max(
			finishSeconds(&loads[a], float64(l-from)/float64(ca.Len()), tokens),
			finishSeconds(&loads[b], float64(end-l)/float64(cb.Len()), tokens),
		)
		if worst < best {
			best, at = worst, l
		}
	}
	return at
}

// observeLink adds a measured link time to the moving average.
func (p *Planner) observeLink(from, to ferryid.DomainName, d time.Duration) {
	a, okA := p.domainIndex[from]
	b, okB := p.domainIndex[to]
	if okA && okB {
		p.link[a][b] = movingAverage(p.link[a][b], d.Seconds())
	}
}

// copyLinks copies the measured links of the previous planner, for failure domains that both know.
func (p *Planner) copyLinks(old *Planner) {
	for from, a := range p.domainIndex {
		for to, b := range p.domainIndex {
			oldA, okA := old.domainIndex[from]
			oldB, okB := old.domainIndex[to]
			if okA && okB {
				p.link[a][b] = old.link[oldA][oldB]
			}
		}
	}
}
