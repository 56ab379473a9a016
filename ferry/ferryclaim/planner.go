package ferryclaim

import "time"

// planner decides the waiting requests of one slot against the records it holds and the changes planned so far.
type planner struct {
	slot    *slot
	now     time.Time
	changed map[Digest]Record
	order   []Digest
	batch   []request
	keep    []request
	out     []decided
	reload  bool
}

func (p *planner) current(k Digest) (rec Record, planned bool) {
	if r, ok := p.changed[k]; ok {
		return r, true
	}
	return p.slot.records[k], false
}

func (p *planner) change(r request, rec Record) {
	if _, ok := p.changed[rec.Key]; !ok {
		p.order = append(p.order, rec.Key)
	}
	p.changed[rec.Key] = rec
	p.batch = append(p.batch, r)
}

func (p *planner) settle(r request, v verdict) {
	p.out = append(p.out, decided{r, v})
}

func (p *planner) decide(r request) {
	if len(p.batch) >= maxBatch {
		p.keep = append(p.keep, r)
		return
	}
	cur, planned := p.current(r.rec.Key)
	switch r.op {
	case opClaim:
		p.claim(r, cur, planned)
	case opRelease:
		p.release(r, cur)
	case opFinish:
		p.finish(r, cur)
	case opLook:
		p.look(r, cur)
	case opBarrier:
		p.batch = append(p.batch, r)
	}
}

func (p *planner) claim(r request, cur Record, planned bool) {
	switch {
	case planned && cur.State != StateReleased:
		p.keep = append(p.keep, r)
	case cur.Ref == r.rec.Ref && cur.State == StateClaimed:
		p.settle(r, granted{})
	case free(cur, r.replaces, p.now):
		p.change(r, r.rec)
	default:
		p.settle(r, held{cur})
	}
}

// free reports whether a key may be claimed; only a claim that its holder revoked may be replaced.
func free(cur Record, replaces Ref, now time.Time) bool {
	switch cur.State {
	case StateClaimed:
		return cur.expired(now) || cur.Ref == replaces
	case StateFinished:
		return cur.expired(now)
	}
	return true
}

func (p *planner) release(r request, cur Record) {
	rec := cur
	rec.State = StateReleased
	p.conclude(r, cur, rec)
}

func (p *planner) finish(r request, cur Record) {
	p.conclude(r, cur, r.rec)
}

// conclude ends a claim that still stands; that it doesn't is believed only after a fresh read.
func (p *planner) conclude(r request, cur, rec Record) {
	switch {
	case cur.Ref == r.rec.Ref && cur.State == StateClaimed:
		p.change(r, rec)
	case !r.fresh:
		p.reload = true
		p.keep = append(p.keep, r)
	default:
		p.settle(r, granted{})
	}
}

func (p *planner) look(r request, cur Record) {
	if !r.fresh {
		p.reload = true
		p.keep = append(p.keep, r)
		return
	}
	if cur.expired(p.now) {
		cur = Record{}
	}
	p.settle(r, held{cur})
}
