package ferryclaim

import "time"

// planner decides the waiting requests of one slot against the cached records and the changes planned so far.
type planner struct {
	slot     *slot
	now      time.Time
	changed  map[Digest]Record
	order    []Digest  // keys of changed, by first change
	batch    []request // requests granted once the planned write succeeds
	deferred []request // requests that wait for a later plan
	resolved []decided
	reload   bool // the tail must be read again before the deferred requests are decided
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

func (p *planner) resolve(r request, v verdict) {
	p.resolved = append(p.resolved, decided{r, v})
}

func (p *planner) decide(r request) {
	if len(p.batch) >= maxBatch {
		p.deferred = append(p.deferred, r)
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
	case opRead:
		p.read(r, cur)
	case opBarrier:
		p.batch = append(p.batch, r)
	}
}

func (p *planner) claim(r request, cur Record, planned bool) {
	switch {
	case planned && cur.State != StateReleased:
		p.deferred = append(p.deferred, r)
	case cur.Ref == r.rec.Ref && cur.State == StateClaimed:
		p.resolve(r, granted{})
	case claimable(cur, r.replaces, p.now):
		p.change(r, r.rec)
	default:
		p.resolve(r, held{cur})
	}
}

// claimable reports whether a key may be claimed.
// An unexpired claim may be replaced only if its holder revoked it.
func claimable(cur Record, replaces Ref, now time.Time) bool {
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
	p.endClaim(r, cur, rec)
}

func (p *planner) finish(r request, cur Record) {
	p.endClaim(r, cur, r.rec)
}

// endClaim replaces the record of a claim that the cached journal still holds. If it holds another record,
// the slot is read again before the request is dropped, since the cache may be stale.
func (p *planner) endClaim(r request, cur, rec Record) {
	switch {
	case cur.Ref == r.rec.Ref && cur.State == StateClaimed:
		p.change(r, rec)
	case !r.fresh:
		p.reload = true
		p.deferred = append(p.deferred, r)
	default:
		p.resolve(r, granted{})
	}
}

func (p *planner) read(r request, cur Record) {
	if !r.fresh {
		p.reload = true
		p.deferred = append(p.deferred, r)
		return
	}
	if cur.expired(p.now) {
		cur = Record{}
	}
	p.resolve(r, held{cur})
}
