package ferrylease

import (
	"errors"
	"time"

	"cactusferry.dev/ferry/ferryid"
	"cactusferry.dev/ferry/ferryplatform"
)

const (
	renewals   = 3 // per TTL
	minBackoff = 100 * time.Millisecond
)

// action is one call to the object API. A core has at most one in flight.
type action interface{ isAction() }

type get struct{}

type put struct {
	expected ferryplatform.Version
	record   Record
}

func (get) isAction() {}
func (put) isAction() {}

// answer is the result of an action.
type answer struct {
	object  ferryplatform.Object
	version ferryplatform.Version
	err     error
}

// pendingWrite is a write whose outcome is not known yet.
type pendingWrite struct {
	put
	started    time.Time
	unresolved bool
}

// core is the state machine of one entry and one lease. It depends on the entry's own clock only.
type core struct {
	self        ferryid.Incarnation
	ttl         time.Duration
	margin      time.Duration
	holderEnded func(ferryid.Incarnation) bool
	wanted      bool
	follow      bool
	minFence    ferryid.Fence

	read        bool
	version     ferryplatform.Version
	record      Record
	versionSeen time.Time // when this version was first read
	lastRead    time.Time // when the object was last read

	held         bool
	mayBeHolder  bool // the object may name this entry as holder, so it must be released
	validUntil   time.Time
	writeStarted time.Time // start of the write that the lease term counts from

	// epoch is the latest known epoch of the platform; epochKnown is set once it has stated one.
	epoch      ferryplatform.Epoch
	epochKnown bool
	// first is set if a missing lease has never been written.
	first bool
	// acquireFrom is when each lease that the platform may have lost has expired, and resumeUntil the end of this entry's
	// own one, which was the last.
	acquireFrom, resumeUntil time.Time
	// awaited is the last epoch for which acquireFrom was set.
	awaited ferryplatform.Epoch

	inFlight        *pendingWrite
	conflictedWrite *pendingWrite // a write with unknown outcome that then met a conflict
	notBefore       time.Time
	backoff         time.Duration
}

func newCore(self ferryid.Incarnation, ttl, margin time.Duration, holderEnded func(ferryid.Incarnation) bool) *core {
	if holderEnded == nil {
		holderEnded = func(ferryid.Incarnation) bool { return false }
	}
	return &core{self: self, ttl: ttl, margin: margin, holderEnded: holderEnded}
}

// valid reports whether the lease is valid by both the monotonic and the wall clock.
func (c *core) valid(now time.Time) bool {
	return c.held && before(now, c.validUntil)
}

// before compares both clocks, since one of them may stop while the instance is suspended.
func before(now, until time.Time) bool {
	return now.Before(until) && now.Round(0).Before(until.Round(0))
}

// fencesPerEpoch is the distance between the first fencing numbers of two epochs, since a copy may hold a lower number than
// the last one used.
const fencesPerEpoch = 1 << 20

// setEpoch sets the platform's epoch.
func (c *core) setEpoch(now time.Time, e ferryplatform.Epoch) {
	if c.epochKnown && e <= c.epoch {
		return
	}
	restored := c.epochKnown
	c.epoch, c.epochKnown = e, true
	if restored {
		c.awaitLost(now, e)
	}
}

// awaitLost delays the acquisition until the lease of another holder has expired of which the platform may no longer know
// since the given epoch.
func (c *core) awaitLost(now time.Time, e ferryplatform.Epoch) {
	if e <= c.awaited {
		return
	}
	c.awaited = e
	c.acquireFrom, c.resumeUntil = now.Add(c.ttl+c.margin), time.Time{}
	if c.valid(now) {
		c.resumeUntil = c.validUntil
	}
}

// next returns the call to make now, or nil.
func (c *core) next(now time.Time) action {
	if now.Before(c.notBefore) {
		return nil
	}
	if c.inFlight != nil {
		return c.inFlight.put
	}
	if c.held && !c.valid(now) {
		c.held = false
		c.read = false
	}
	switch {
	case !c.wanted:
		return c.release(now)
	case c.held && !now.Before(c.writeStarted.Add(c.ttl/renewals)):
		return c.write(now, c.renewed())
	case c.held:
		return nil
	case !c.read || !now.Before(c.lastRead.Add(c.ttl/renewals)):
		return get{}
	case c.available(now):
		return c.write(now, c.acquired())
	}
	return nil
}

// setWanted sets whether this entry should hold the lease. The object is read again before the lease is acquired.
func (c *core) setWanted(on bool) {
	if on && !c.wanted {
		c.lastRead = time.Time{}
	}
	c.wanted = on
}

// release returns the next call to release this entry's lease or, with follow set, to
// read the lease of another.
func (c *core) release(now time.Time) action {
	c.held = false
	switch {
	case !c.mayBeHolder && !c.follow:
		return nil
	case !c.mayBeHolder && c.read && now.Before(c.lastRead.Add(c.ttl/renewals)):
		return nil
	case !c.mayBeHolder || !c.read:
		return get{}
	case c.record.Holder != c.self:
		c.mayBeHolder = false
		return nil
	}
	return c.write(now, Record{Fence: c.record.Fence, TTLMS: c.ttl.Milliseconds(), Epoch: c.epoch})
}

// available reports whether the lease may be acquired. The holder's term counts from before its write, and the
// wait from after the write was seen, so that the two cannot overlap.
func (c *core) available(now time.Time) bool {
	if before(now, c.acquireFrom) && !before(now, c.resumeUntil) {
		return false
	}
	if c.version == ferryplatform.NoVersion || c.record.Holder == "" || c.record.Holder == c.self || c.holderEnded(c.record.Holder) {
		return true
	}
	return !before(now, c.versionSeen.Add(c.record.ttl()+c.margin))
}

func (c *core) acquired() Record {
	fence := max(c.record.Fence+1, c.minFence, ferryid.Fence(c.epoch)*fencesPerEpoch)
	return Record{Holder: c.self, Fence: fence, TTLMS: c.ttl.Milliseconds(), Epoch: c.epoch}
}

func (c *core) renewed() Record {
	r := c.record
	r.Renewal++
	r.Fence = max(r.Fence, c.minFence)
	return r
}

func (c *core) write(now time.Time, r Record) action {
	c.mayBeHolder = true
	c.inFlight = &pendingWrite{put: put{c.version, r}, started: now}
	return c.inFlight.put
}

// nextWake returns the time at which next may return an action.
func (c *core) nextWake(now time.Time) time.Time {
	at := now.Add(c.ttl / renewals)
	if c.held {
		at = c.writeStarted.Add(c.ttl / renewals)
	}
	if availableAt := c.versionSeen.Add(c.record.ttl() + c.margin); !c.held && availableAt.After(now) && availableAt.Before(at) {
		at = availableAt
	}
	if c.inFlight != nil || c.notBefore.After(now) {
		at = c.notBefore
	}
	return at
}

// handle processes the answer to an action.
func (c *core) handle(now time.Time, a action, ans answer) {
	switch a.(type) {
	case get:
		c.handleGet(now, ans)
	case put:
		c.handlePut(now, ans)
	}
}

func (c *core) handleGet(now time.Time, ans answer) {
	var missing *ferryplatform.NotFoundError
	if errors.As(ans.err, &missing) {
		ans = answer{}
		if c.epochKnown && !c.first {
			c.awaitLost(now, c.epoch)
		}
	}
	r := Record{}
	if ans.err == nil && ans.object.Version != ferryplatform.NoVersion {
		r, ans.err = DecodeRecord(ans.object.Value)
	}
	if ans.err != nil {
		c.backOff(now)
		return
	}
	c.backoff = 0
	if !c.read || ans.object.Version != c.version {
		if ans.object.Version != c.version || c.versionSeen.IsZero() {
			c.versionSeen = now
		}
		if e := ans.object.Version.Epoch(); r.Epoch < e {
			c.awaitLost(now, e)
		}
		c.version, c.record = ans.object.Version, r
	}
	c.read, c.lastRead = true, now
	c.mayBeHolder = r.Holder == c.self
	if w := c.conflictedWrite; w != nil && r == w.record && r.Holder == c.self && r.Epoch == ans.object.Version.Epoch() {
		c.hold(w)
	}
	c.conflictedWrite = nil
}

func (c *core) hold(w *pendingWrite) {
	c.held = w.record.Holder == c.self
	c.mayBeHolder = c.held
	c.writeStarted = w.started
	c.validUntil = w.started.Add(c.ttl - c.margin)
}

func (c *core) handlePut(now time.Time, ans answer) {
	w := c.inFlight
	var conflict *ferryplatform.ConflictError
	switch {
	case ans.err == nil && ans.version.Epoch() > w.record.Epoch:
		// The platform was restored since the lease was found to be available.
		c.inFlight, c.held, c.read = nil, false, false
		c.awaitLost(now, ans.version.Epoch())
	case ans.err == nil:
		c.inFlight, c.backoff = nil, 0
		c.version, c.record = ans.version, w.record
		c.versionSeen, c.lastRead = now, now
		c.hold(w)
	case errors.As(ans.err, &conflict):
		c.inFlight, c.held, c.read = nil, false, false
		if w.unresolved {
			c.conflictedWrite = w
		}
	case hasNoEffect(ans.err) && !w.unresolved:
		c.inFlight = nil
		c.backOff(now)
	default:
		w.unresolved = w.unresolved || !hasNoEffect(ans.err)
		c.backOff(now)
	}
}

func (c *core) backOff(now time.Time) {
	c.backoff = min(max(2*c.backoff, minBackoff), c.ttl/(2*renewals))
	c.notBefore = now.Add(c.backoff)
}

// hasNoEffect reports whether a failed write certainly has no effect, now or later.
func hasNoEffect(err error) bool {
	var down *ferryplatform.UnavailableError
	var budget *ferryplatform.BudgetError
	return errors.As(err, &down) || errors.As(err, &budget)
}
