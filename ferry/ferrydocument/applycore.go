package ferrydocument

import (
	"encoding/json"
	"errors"
	"time"

	"cactusferry.dev/ferry/ferryplatform"
	"cactusferry.dev/ferry/ferryservice"
)

const (
	firstApplyPause = 100 * time.Millisecond
	maxApplyPause   = 2 * time.Second
)

// applyMessage is what happened to an apply.
type applyMessage interface{ applyMessage() }

type (
	// applyStarted asks for the first action.
	applyStarted struct{}
	// applyRead is the answer to readStore.
	applyRead struct {
		object ferryplatform.Object
		err    error
	}
	// applyWritten is the answer to writeStore.
	applyWritten struct {
		version ferryplatform.Version
		err     error
	}
	// applyPaused says that a pause is over.
	applyPaused struct{}
	// applyExpired says that the time for resolving a lost answer is over.
	applyExpired struct{ err error }
)

func (applyStarted) applyMessage() {}
func (applyRead) applyMessage()    {}
func (applyWritten) applyMessage() {}
func (applyPaused) applyMessage()  {}
func (applyExpired) applyMessage() {}

// applyAction is what an apply asks its shell to do next.
type applyAction interface{ applyAction() }

type (
	// readStore gets the service's object.
	readStore struct{}
	// writeStore puts a value if the object is at the version expected.
	writeStore struct {
		expected ferryplatform.Version
		value    []byte
	}
	// pauseApply waits.
	pauseApply struct{ d time.Duration }
	// endApply is the outcome; current is what the store holds, of which the accepted version may be an ancestor.
	endApply struct {
		accepted ferryservice.Accepted
		current  ferryservice.Accepted
		err      error
	}
)

func (readStore) applyAction()  {}
func (writeStore) applyAction() {}
func (pauseApply) applyAction() {}
func (endApply) applyAction()   {}

// applyCore decides the steps of one apply; it does no I/O and reads no clock.
type applyCore struct {
	req ApplyRequest
	at  time.Time

	current ferryservice.Accepted
	version ferryplatform.Version
	// mine is the version last asked to be written, and expected the condition of that write.
	mine     ferryservice.Accepted
	expected ferryplatform.Version
	// repairing says that the write under way puts the version in force back.
	repairing bool
	// unknown says that the outcome of a write of mine is not known.
	unknown bool
	pause   time.Duration
	lastErr error
}

func newApplyCore(req ApplyRequest, at time.Time) *applyCore {
	return &applyCore{req: req, at: at, pause: firstApplyPause}
}

// next takes one message and returns the next action.
func (c *applyCore) next(msg applyMessage) applyAction {
	switch m := msg.(type) {
	case applyRead:
		return c.onRead(m)
	case applyWritten:
		return c.onWritten(m)
	case applyExpired:
		return c.onExpired(m)
	}
	return readStore{}
}

func (c *applyCore) onRead(m applyRead) applyAction {
	var missing *ferryplatform.NotFoundError
	switch {
	case errors.As(m.err, &missing):
		c.current = ferryservice.Accepted{Service: c.req.Service}
		c.version = ferryplatform.NoVersion
	case m.err != nil:
		return c.onFailure(m.err)
	default:
		a, err := ferryservice.DecodeEnvelope(m.object.Value)
		if err != nil {
			return c.onFailure(err)
		}
		c.current, c.version = a, m.object.Version
	}
	return c.decide()
}

// onFailure gives up at once if no write can have taken effect, and otherwise tries on.
func (c *applyCore) onFailure(err error) applyAction {
	if !c.unknown {
		return endApply{err: err}
	}
	c.lastErr = err
	d := c.pause
	c.pause = min(2*c.pause, maxApplyPause)
	var over *ferryplatform.BudgetError
	if errors.As(err, &over) {
		d = max(d, over.RetryAfter)
	}
	return pauseApply{d}
}

// decide acts on what the store holds.
func (c *applyCore) decide() applyAction {
	if c.current.ApplyID == c.req.ApplyID {
		return c.found(c.current)
	}
	if a, ok := c.current.ByApplyID(c.req.ApplyID); ok {
		return c.foundAncestor(a)
	}
	if c.unknown && c.version == c.expected {
		return writeStore{c.expected, encode(c.mine)}
	}
	if c.unknown {
		return c.movedOn()
	}
	if action := c.heldAgainstStore(); action != nil {
		return action
	}
	if c.current.Generation != c.req.BaseGeneration {
		return c.lost()
	}
	return c.writeMine()
}

// found ends with the version in the store, if it is the one asked for.
func (c *applyCore) found(a ferryservice.Accepted) applyAction {
	if a.Source != c.req.Source {
		return endApply{err: &ApplyIDReusedError{ApplyID: c.req.ApplyID}}
	}
	return endApply{accepted: a, current: c.current}
}

// foundAncestor ends with a version that was accepted and then succeeded by others.
func (c *applyCore) foundAncestor(b ferryservice.Ancestor) applyAction {
	a := ferryservice.Accepted{
		Service:    c.req.Service,
		Generation: b.Generation,
		ApplyID:    b.ApplyID,
		Operator:   c.req.Operator,
		At:         c.at,
		Source:     c.req.Source,
		Supersedes: b.Supersedes,
	}
	for _, p := range c.current.Ancestors {
		if p.Generation < b.Generation {
			a.Ancestors = append(a.Ancestors, p)
		}
	}
	if len(a.Ancestors) > 0 {
		a.PreviousHash = a.Ancestors[0].Hash
	}
	if a.Hash() != b.Hash && (b.Generation == 1 || len(a.Ancestors) > 0) {
		return endApply{err: &ApplyIDReusedError{ApplyID: c.req.ApplyID}}
	}
	return endApply{accepted: a, current: c.current}
}

// movedOn judges a write of unknown outcome after the object left the version that it was conditional on.
func (c *applyCore) movedOn() applyAction {
	if c.current.DescendsFrom(c.mine.Generation, c.mine.Hash()) == ferryservice.Untraced {
		return c.unresolved(errors.New("too many versions were accepted since"))
	}
	if c.current.Generation < c.mine.Generation {
		return c.unresolved(errors.New("the store went back to an older state"))
	}
	return c.lost()
}

// heldAgainstStore repairs a store that is behind the version in force here, and refuses one on another branch.
func (c *applyCore) heldAgainstStore() applyAction {
	held := c.req.InForce
	if held == nil {
		return nil
	}
	hash := held.Hash()
	verdict := compare(&InForce{Accepted: *held, Hash: hash}, c.current, c.current.Hash())
	switch {
	case c.current.Generation == 0, verdict == Older:
		c.repairing = true
		return writeStore{c.version, encode(*held)}
	case verdict == Forked && !c.supersedes(hash):
		return endApply{err: &ForkError{
			Service:         c.req.Service,
			StoreGeneration: c.current.Generation,
			StoreHash:       c.current.Hash(),
			HeldGeneration:  held.Generation,
			HeldHash:        hash,
		}}
	}
	return nil
}

func (c *applyCore) supersedes(hash string) bool {
	for _, s := range c.req.Supersedes {
		if s == hash {
			return true
		}
	}
	return false
}

func (c *applyCore) writeMine() applyAction {
	next := c.current.Successor()
	if c.req.InForce != nil && c.req.InForce.Generation >= next.Generation {
		next.Generation = c.req.InForce.Generation + 1
	}
	next.Service = c.req.Service
	next.ApplyID = c.req.ApplyID
	next.Operator = c.req.Operator
	next.At = c.at
	next.Source = c.req.Source
	next.Supersedes = c.req.Supersedes
	c.mine = next
	c.expected = c.version
	return writeStore{c.expected, encode(next)}
}

func (c *applyCore) onWritten(m applyWritten) applyAction {
	if c.repairing {
		c.repairing = false
		return c.onRepaired(m.err)
	}
	var (
		conflict *ferryplatform.ConflictError
		lost     *ferryplatform.UnknownOutcomeError
	)
	switch {
	case m.err == nil:
		return endApply{accepted: c.mine, current: c.mine}
	case errors.As(m.err, &conflict):
		return readStore{}
	case errors.As(m.err, &lost):
		c.unknown = true
	}
	return c.onFailure(m.err)
}

// onRepaired reads again, whatever became of the repair; only a write of mine can be of unknown outcome.
func (c *applyCore) onRepaired(err error) applyAction {
	var (
		conflict *ferryplatform.ConflictError
		lost     *ferryplatform.UnknownOutcomeError
	)
	if err == nil || errors.As(err, &conflict) || errors.As(err, &lost) {
		return readStore{}
	}
	return endApply{err: err}
}

func (c *applyCore) onExpired(m applyExpired) applyAction {
	if !c.unknown {
		return endApply{err: m.err}
	}
	if c.lastErr != nil {
		return c.unresolved(c.lastErr)
	}
	return c.unresolved(m.err)
}

func (c *applyCore) unresolved(err error) applyAction {
	return endApply{err: &UnresolvedError{ApplyID: c.req.ApplyID, Command: c.req.Command("FILE"), Err: err}}
}

func (c *applyCore) lost() applyAction {
	return endApply{current: c.current, err: &LostRaceError{Winner: c.current, Diff: diffOf(c.req, c.current)}}
}

func encode(a ferryservice.Accepted) []byte {
	b, err := json.Marshal(a)
	if err != nil {
		// Marshal of a struct of strings, numbers and a time fails only for a year past 9999.
		panic(err)
	}
	return b
}
