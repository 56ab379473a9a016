package ferrylease

import (
	"errors"
	"time"

	"cactusferry.dev/ferry/ferryid"
	"cactusferry.dev/ferry/ferryplatform"
)

const (
	renewals   = 3 // tries in one TTL
	minBackoff = 100 * time.Millisecond
)

// action is one call to the object API; a core has at most one under way.
type action interface{ isAction() }

type get struct{}

type put struct {
	expected ferryplatform.Version
	record   Record
}

func (get) isAction() {}
func (put) isAction() {}

// answer is what came of an action.
type answer struct {
	object  ferryplatform.Object
	version ferryplatform.Version
	err     error
}

// flight is a write whose outcome is not known yet.
type flight struct {
	put
	started    time.Time
	unresolved bool
}

// core decides what one entry does about one lease, on its own clock only.
type core struct {
	self   ferryid.Incarnation
	ttl    time.Duration
	margin time.Duration
	gone   func(ferryid.Incarnation) bool
	wanted bool
	follow bool
	floor  ferryid.Fence

	read    bool
	version ferryplatform.Version
	record  Record
	seen    time.Time // when this version was first seen here
	checked time.Time // when it was last read

	held       bool
	owes       bool // the platform may name this entry as holder
	validUntil time.Time
	started    time.Time // of the write that the lease counts from

	flight    *flight
	lost      *flight // a write that may have landed before the version moved on
	notBefore time.Time
	backoff   time.Duration
}

func newCore(self ferryid.Incarnation, ttl, margin time.Duration, gone func(ferryid.Incarnation) bool) *core {
	if gone == nil {
		gone = func(ferryid.Incarnation) bool { return false }
	}
	return &core{self: self, ttl: ttl, margin: margin, gone: gone}
}

// valid reports whether the lease is held now, by the monotonic and by the wall clock.
func (c *core) valid(now time.Time) bool {
	return c.held && before(now, c.validUntil)
}

// before compares both clocks, since one of them may stand still while an instance is frozen.
func before(now, until time.Time) bool {
	return now.Before(until) && now.Round(0).Before(until.Round(0))
}

// next returns the call to make now, or nil.
func (c *core) next(now time.Time) action {
	if now.Before(c.notBefore) {
		return nil
	}
	if c.flight != nil {
		return c.flight.put
	}
	if c.held && !c.valid(now) {
		c.held = false
		c.read = false
	}
	switch {
	case !c.wanted:
		return c.release(now)
	case c.held && !now.Before(c.started.Add(c.ttl/renewals)):
		return c.launch(now, c.renewed())
	case c.held:
		return nil
	case !c.read || !now.Before(c.checked.Add(c.ttl/renewals)):
		return get{}
	case c.free(now):
		return c.launch(now, c.acquired())
	}
	return nil
}

// want says whether this entry should hold the lease; what was read while it only followed is read again first.
func (c *core) want(on bool) {
	if on && !c.wanted {
		c.checked = time.Time{}
	}
	c.wanted = on
}

// release returns the calls that leave no lease of this entry behind, and those that follow the lease of another.
func (c *core) release(now time.Time) action {
	c.held = false
	switch {
	case !c.owes && !c.follow:
		return nil
	case !c.owes && c.read && now.Before(c.checked.Add(c.ttl/renewals)):
		return nil
	case !c.owes || !c.read:
		return get{}
	case c.record.Holder != c.self:
		c.owes = false
		return nil
	}
	return c.launch(now, Record{Fence: c.record.Fence, TTLMS: c.ttl.Milliseconds()})
}

// free reports whether the lease may be taken: a holder's lease counts from before its write, ours from after it was seen.
func (c *core) free(now time.Time) bool {
	if c.version == ferryplatform.NoVersion || c.record.Holder == "" || c.record.Holder == c.self || c.gone(c.record.Holder) {
		return true
	}
	return !before(now, c.seen.Add(c.record.ttl()+c.margin))
}

func (c *core) acquired() Record {
	return Record{Holder: c.self, Fence: max(c.record.Fence+1, c.floor), TTLMS: c.ttl.Milliseconds()}
}

func (c *core) renewed() Record {
	r := c.record
	r.Renewal++
	r.Fence = max(r.Fence, c.floor)
	return r
}

func (c *core) launch(now time.Time, r Record) action {
	c.owes = true
	c.flight = &flight{put: put{c.version, r}, started: now}
	return c.flight.put
}

// wake is when next may have something to do.
func (c *core) wake(now time.Time) time.Time {
	at := now.Add(c.ttl / renewals)
	if c.held {
		at = c.started.Add(c.ttl / renewals)
	}
	if free := c.seen.Add(c.record.ttl() + c.margin); !c.held && free.After(now) && free.Before(at) {
		at = free
	}
	if c.flight != nil || c.notBefore.After(now) {
		at = c.notBefore
	}
	return at
}

// done takes the answer to an action.
func (c *core) done(now time.Time, a action, ans answer) {
	switch a.(type) {
	case get:
		c.gotten(now, ans)
	case put:
		c.written(now, ans)
	}
}

func (c *core) gotten(now time.Time, ans answer) {
	var missing *ferryplatform.NotFoundError
	if errors.As(ans.err, &missing) {
		ans = answer{}
	}
	r := Record{}
	if ans.err == nil && ans.object.Version != ferryplatform.NoVersion {
		r, ans.err = DecodeRecord(ans.object.Value)
	}
	if ans.err != nil {
		c.delay(now)
		return
	}
	c.backoff = 0
	if !c.read || ans.object.Version != c.version {
		if ans.object.Version != c.version || c.seen.IsZero() {
			c.seen = now
		}
		c.version, c.record = ans.object.Version, r
	}
	c.read, c.checked = true, now
	c.owes = r.Holder == c.self
	if l := c.lost; l != nil && r == l.record && r.Holder == c.self {
		c.hold(l)
	}
	c.lost = nil
}

func (c *core) hold(f *flight) {
	c.held = f.record.Holder == c.self
	c.owes = c.held
	c.started = f.started
	c.validUntil = f.started.Add(c.ttl - c.margin)
}

func (c *core) written(now time.Time, ans answer) {
	f := c.flight
	var conflict *ferryplatform.ConflictError
	switch {
	case ans.err == nil:
		c.flight, c.backoff = nil, 0
		c.version, c.record = ans.version, f.record
		c.seen, c.checked = now, now
		c.hold(f)
	case errors.As(ans.err, &conflict):
		c.flight, c.held, c.read = nil, false, false
		if f.unresolved {
			c.lost = f
		}
	case certainlyNot(ans.err) && !f.unresolved:
		c.flight = nil
		c.delay(now)
	default:
		f.unresolved = f.unresolved || !certainlyNot(ans.err)
		c.delay(now)
	}
}

func (c *core) delay(now time.Time) {
	c.backoff = min(max(2*c.backoff, minBackoff), c.ttl/(2*renewals))
	c.notBefore = now.Add(c.backoff)
}

// certainlyNot reports whether a failed write had no effect and will have none.
func certainlyNot(err error) bool {
	var down *ferryplatform.UnavailableError
	var budget *ferryplatform.BudgetError
	return errors.As(err, &down) || errors.As(err, &budget)
}
