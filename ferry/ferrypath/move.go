package ferrypath

import (
	"math/rand/v2"
	"slices"
	"time"

	"cactusferry.dev/ferry/ferryid"
)

const (
	// moveRefusalTTL is how long an engine that refused a move gets no others, unless a later report of it arrives. It is
	// about the longest time until one does.
	moveRefusalTTL = 2 * time.Second
	// guessesToRefuse is the number of refusals without a named engine after which the engine that probably caused them
	// counts as refusing. A single one may have to do with the generation only.
	guessesToRefuse = 2
	// spreadThreshold is the part of an engine's free memory which the generations that move at the same time may need
	// before moves are spread at random.
	spreadThreshold = 0.25
	// spreadCost is the mean random cost of an engine whose free memory the moving generations would just fill. It
	// outweighs the differences in speed of engines of one kind.
	spreadCost = 600 * time.Millisecond
)

// Move is a planned move of a generation to another path. Exactly one of Done, Refused and Cancelled ends it. Until
// then the memory that it needs is counted on the engines that are new to the generation, so that others that move
// meanwhile go elsewhere.
type Move struct {
	run *Run
	to  *Path
	// added are the hops that are new to the generation.
	added *Path
}

// PlanMove plans a move of the generation off some engines to the path that Detour returns without these and the
// blocked ones, but spreads moves at random over the engines with room if many generations have to move.
func (r *Run) PlanMove(off, blocked []ferryid.UpstreamName) (*Move, error) {
	c := r.chooser
	c.mu.Lock()
	defer c.mu.Unlock()
	to, err := r.groupDetour(slices.Concat(off, blocked), r.group(off))
	if err != nil {
		return nil, err
	}
	m := &Move{run: r, to: to, added: &Path{}}
	for _, h := range to.hops {
		if !r.Path().has(h) {
			m.added.hops = append(m.added.hops, h)
		}
	}
	c.count(m.added, r.work, 1)
	return m, nil
}

// Path returns the path that the generation is to move to.
func (m *Move) Path() *Path { return m.to }

// Done records that the generation has moved.
func (m *Move) Done() {
	c := m.run.chooser
	c.mu.Lock()
	defer c.mu.Unlock()
	c.count(m.added, m.run.work, -1)
	m.run.switchTo(m.to)
}

// Cancelled records that the generation stays where it is, for a reason that tells nothing about the engines' room.
func (m *Move) Cancelled() {
	c := m.run.chooser
	c.mu.Lock()
	defer c.mu.Unlock()
	c.count(m.added, m.run.work, -1)
}

// Refused records that the engine at an address of the new path refused the move. Without a valid address it is taken
// to be the new engine with the least free memory. It returns the engine's name, or "" if there is no such engine but the first.
func (m *Move) Refused(address string) ferryid.UpstreamName {
	c := m.run.chooser
	c.mu.Lock()
	defer c.mu.Unlock()
	c.count(m.added, m.run.work, -1)
	now := c.opts.Clock.Now()
	at, named := m.to.At(address), true
	if at < 0 {
		at, named = m.to.index(c.fullest(m.added, now)), false
	}
	if at <= 0 {
		return ""
	}
	h := m.to.hops[at]
	if e := c.byName[ferryid.UpstreamName(h.Upstream.Name)]; e != nil && e.up.SameProcess(h.Upstream) {
		e.refuseMove(named, now)
	}
	return ferryid.UpstreamName(h.Upstream.Name)
}

// fullest returns the hop with the least free memory for its layers, or nil if there is none.
func (c *Chooser) fullest(p *Path, now time.Time) *Hop {
	var out *Hop
	least := 0.0
	for i := range p.hops {
		e := c.engineOf(p.hops[i])
		if free := float64(c.freeMemory(e, now)) / float64(max(1, e.up.Layers.Len())); out == nil || free < least {
			out, least = &p.hops[i], free
		}
	}
	return out
}

// freeMemory estimates the memory that all entries' new work may take on an engine, in tokens times layers.
func (c *Chooser) freeMemory(e *engine, now time.Time) int64 {
	sharing := int64(c.entriesSharing(e))
	if !e.reportFresh(now) || e.reported.Room == 0 {
		room := overcommit * float64(c.model.RequestMemory(e.kind, e.up.Layers.Len()))
		return max(0, int64(room)-sharing*e.held)
	}
	return max(0, e.reported.Room-e.reported.Used-sharing*max(0, e.held-e.heldAtReport))
}

// moveRefusals are an engine's refusals of moves since its last report.
type moveRefusals struct {
	at      time.Time
	guesses int
}

// refuseMove records that an engine refused a move. If it was not named, that is a guess, which counts for moves only.
func (e *engine) refuseMove(named bool, now time.Time) {
	if !e.moveRefusals.recent(e, now) {
		e.moveRefusals = moveRefusals{}
	}
	e.moveRefusals.at = now
	if !named {
		e.moveRefusals.guesses++
		return
	}
	e.moveRefusals.guesses = guessesToRefuse
	e.health.Refused(now)
}

func (m moveRefusals) recent(e *engine, now time.Time) bool {
	return !m.at.IsZero() && now.Sub(m.at) < moveRefusalTTL && !e.reportedAt.After(m.at)
}

// refusesMoves reports whether the engine has refused moves and not reported since.
func (e *engine) refusesMoves(now time.Time) bool {
	return e.moveRefusals.guesses >= guessesToRefuse && e.moveRefusals.recent(e, now)
}

// moveGroup describes the generations of this entry that probably move at the same time as one; it is empty for one alone.
type moveGroup struct {
	runs int
	// like is set to spread the moves over other paths than it in its failure domains.
	like *Path
}

// group returns the generations of this entry that run on the given engines.
func (r *Run) group(off []ferryid.UpstreamName) moveGroup {
	out := moveGroup{}
	for run := range r.chooser.runs {
		if run.Path().uses(off) {
			out.runs++
		}
	}
	return out
}

// excludes reports whether the engine is in a failure domain to which moves are not spread.
func (w moveGroup) excludes(e *engine) bool {
	return w.like != nil && !slices.ContainsFunc(w.like.hops, func(h Hop) bool { return h.Upstream.FailureDomain == e.up.FailureDomain })
}

// groupDetour returns the path that is best for the generation alone, or a random one that crosses between failure
// domains no more often if the group would need much of the free memory of the best path's new engines.
func (r *Run) groupDetour(without []ferryid.UpstreamName, with moveGroup) (*Path, error) {
	best, err := r.findDetour(without, with)
	if err != nil || !r.fills(best, with) {
		return best, err
	}
	with.like = best
	if p, err := r.findDetour(without, with); err == nil && p.Crossings() <= best.Crossings() {
		return p, nil
	}
	return best, nil
}

// fills reports whether the group needs much of the free memory of an engine that is new to the generation.
func (r *Run) fills(p *Path, with moveGroup) bool {
	now := r.chooser.opts.Clock.Now()
	return slices.ContainsFunc(p.hops, func(h Hop) bool {
		return !r.Path().has(h) && r.chooser.groupShare(r.chooser.engineOf(h), r.work, with, now) >= spreadThreshold
	})
}

// groupShare returns the memory that the groups of all entries need on an engine, as a part of its free memory.
func (c *Chooser) groupShare(e *engine, w Work, with moveGroup, now time.Time) float64 {
	need := float64(with.runs*c.entriesSharing(e)) * float64(w.Prompt+w.Answer) * float64(e.up.Layers.Len())
	return need / float64(max(1, c.freeMemory(e, now)))
}

// spread returns a random cost of an engine for a generation of a group, or zero unless moves are to be spread. The
// engine with the least cost of several is a random one, weighted by free memory.
func (c *Chooser) spread(e *engine, w Work, with moveGroup, now time.Time) time.Duration {
	if with.like == nil {
		return 0
	}
	return time.Duration(min(c.groupShare(e, w, with, now), maxSpreadShare) * float64(spreadCost) * c.exponential())
}

// maxSpreadShare keeps the random cost of a full engine finite.
const maxSpreadShare = 100

// movesDraw is a random number for an engine, drawn anew for each report.
type movesDraw struct {
	value  float64
	report time.Time
}

// movesPart returns the part of the other entries' moves that must fit an engine beside one of this entry. The free
// memory divided by the entries is seldom a whole number of moves; by a random part, which is the same for all moves
// since a report, as many entries make one move more as the remainder has room for.
func (c *Chooser) movesPart(e *engine) float64 {
	if d := &e.movesDraw; d.value == 0 || !d.report.Equal(e.reportedAt) {
		*d = movesDraw{value: 1 - c.uniform(), report: e.reportedAt}
	}
	return e.movesDraw.value
}

// movingWork returns the memory that must be free for a move that needs work, and a part of those of other entries.
func movingWork(work int64, factor, part float64) int64 {
	if part == 0 {
		return work * int64(factor)
	}
	return max(work, int64(part*float64(work*int64(factor))))
}

// uniform returns a random number from 0 to below 1.
func (c *Chooser) uniform() float64 {
	if c.opts.Random == nil {
		return rand.Float64()
	}
	return rand.New(c.opts.Random).Float64()
}

// exponential returns a random number with the mean 1.
func (c *Chooser) exponential() float64 {
	if c.opts.Random == nil {
		return rand.ExpFloat64()
	}
	return rand.New(c.opts.Random).ExpFloat64()
}

// Uses reports whether the generation runs on one of the given engines.
func (r *Run) Uses(engines []ferryid.UpstreamName) bool { return r.Path().uses(engines) }

func (p *Path) uses(engines []ferryid.UpstreamName) bool {
	for i := range p.hops {
		for _, name := range engines {
			if string(name) == p.hops[i].Upstream.Name {
				return true
			}
		}
	}
	return false
}

// has reports whether the path has a hop with the same process and layers.
func (p *Path) has(h Hop) bool {
	for i := range p.hops {
		if p.hops[i].Layers == h.Layers && p.hops[i].Upstream.SameProcess(h.Upstream) {
			return true
		}
	}
	return false
}

// index returns the index of a hop, or -1.
func (p *Path) index(h *Hop) int {
	if h == nil {
		return -1
	}
	return p.At(h.Upstream.Address)
}
