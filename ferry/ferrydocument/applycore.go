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

// applyMessage is an input of applyCore.
type applyMessage interface{ applyMessage() }

type (
	// applyStarted requests the first action.
	applyStarted struct{}
	// applyRead is the result of readStore.
	applyRead struct {
		object ferryplatform.Object
		err    error
	}
	// applyWritten is the result of writeStore.
	applyWritten struct {
		version ferryplatform.Version
		err     error
	}
	// applyPaused reports the end of a pause.
	applyPaused struct{}
	// applyExpired reports that the apply was cancelled or timed out.
	applyExpired struct{ err error }
)

func (applyStarted) applyMessage() {}
func (applyRead) applyMessage()    {}
func (applyWritten) applyMessage() {}
func (applyPaused) applyMessage()  {}
func (applyExpired) applyMessage() {}

// applyAction is an output of applyCore: the next step for its caller to perform.
type applyAction interface{ applyAction() }

type (
	// readStore reads the service's object.
	readStore struct{}
	// writeStore writes a value if the object is at the expected version.
	writeStore struct {
		expected ferryplatform.Version
		value    []byte
	}
	// pauseApply waits before the next read.
	pauseApply struct{ d time.Duration }
	// endApply is the outcome; current is the version in the store, of which the accepted version may be an
	// ancestor.
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

// applyCore is the state machine of one apply; it does no I/O and reads no clock.
type applyCore struct {
	req ApplyRequest
	at  time.Time

	current ferryservice.Accepted
	version ferryplatform.Version
	// proposed is the version last written or to be written; expected is the object version that the write is
	// conditional on.
	proposed ferryservice.Accepted
	expected ferryplatform.Version
	// repairing is set while the pending write puts the version in force back into the store.
	repairing bool
	// unknown is set after a write of the proposed version whose outcome is not known.
	unknown bool
	pause   time.Duration
	lastErr error
}

func newApplyCore(req ApplyRequest, at time.Time) *applyCore {
	return &applyCore{req: req, at: at, pause: firstApplyPause}
}

// next processes one message and returns the next action.
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

// onFailure ends the apply if no write can have taken effect, and otherwise reads again after a pause.
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

// decide chooses the next action by the version that was read.
func (c *applyCore) decide() applyAction {
	if c.current.ApplyID == c.req.ApplyID {
		return c.endWithStored(c.current)
	}
	if a, ok := c.current.ByApplyID(c.req.ApplyID); ok {
		return c.endWithAncestor(a)
	}
	if c.unknown && c.version == c.expected {
		return writeStore{c.expected, encode(c.proposed)}
	}
	if c.unknown {
		return c.onVersionChanged()
	}
	if action := c.reconcileStore(); action != nil {
		return action
	}
	if c.current.Generation != c.req.BaseGeneration {
		return c.endLostRace()
	}
	return c.writeProposed()
}

// endWithStored ends the apply with the stored version of the same apply id, or with an error if its text
// differs.
func (c *applyCore) endWithStored(a ferryservice.Accepted) applyAction {
	if a.Source != c.req.Source {
		return endApply{err: &ApplyIDReusedError{ApplyID: c.req.ApplyID}}
	}
	return endApply{accepted: a, current: c.current}
}

// endWithAncestor ends the apply with a version that was accepted and already has successors. It rebuilds
// that version from the request and compares hashes, as ancestors are stored without their texts.
func (c *applyCore) endWithAncestor(b ferryservice.Ancestor) applyAction {
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

// onVersionChanged resolves a write of unknown outcome after the object has left the version that the write
// was conditional on.
func (c *applyCore) onVersionChanged() applyAction {
	if c.current.DescendsFrom(c.proposed.Generation, c.proposed.Hash()) == ferryservice.Untraced {
		return c.endUnresolved(errors.New("too many versions were accepted since"))
	}
	if c.current.Generation < c.proposed.Generation {
		return c.endUnresolved(errors.New("the store went back to an older state"))
	}
	return c.endLostRace()
}

// reconcileStore compares the stored version with the one in force here. It repairs a store that is behind
// and ends the apply with a *ForkError if the branches diverge; nil means that the apply can go on.
func (c *applyCore) reconcileStore() applyAction {
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

func (c *applyCore) writeProposed() applyAction {
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
	c.proposed = next
	c.expected = c.version
	return writeStore{c.expected, encode(next)}
}

func (c *applyCore) onWritten(m applyWritten) applyAction {
	if c.repairing {
		c.repairing = false
		return c.onRepaired(m.err)
	}
	var (
		conflict       *ferryplatform.ConflictError
		unknownOutcome *ferryplatform.UnknownOutcomeError
	)
	switch {
	case m.err == nil:
		return endApply{accepted: c.proposed, current: c.proposed}
	case errors.As(m.err, &conflict):
		return readStore{}
	case errors.As(m.err, &unknownOutcome):
		c.unknown = true
	}
	return c.onFailure(m.err)
}

// onRepaired reads again after a repair that succeeded, conflicted or has an unknown outcome, and otherwise
// ends the apply. Only a write of the proposed version sets unknown.
func (c *applyCore) onRepaired(err error) applyAction {
	var (
		conflict       *ferryplatform.ConflictError
		unknownOutcome *ferryplatform.UnknownOutcomeError
	)
	if err == nil || errors.As(err, &conflict) || errors.As(err, &unknownOutcome) {
		return readStore{}
	}
	return endApply{err: err}
}

func (c *applyCore) onExpired(m applyExpired) applyAction {
	if !c.unknown {
		return endApply{err: m.err}
	}
	if c.lastErr != nil {
		return c.endUnresolved(c.lastErr)
	}
	return c.endUnresolved(m.err)
}

func (c *applyCore) endUnresolved(err error) applyAction {
	return endApply{err: &UnresolvedError{ApplyID: c.req.ApplyID, Command: c.req.Command("FILE"), Err: err}}
}

func (c *applyCore) endLostRace() applyAction {
	return endApply{current: c.current, err: &LostRaceError{Winner: c.current, Diff: diffOf(c.req, c.current)}}
}

func encode(a ferryservice.Accepted) []byte {
	b, err := json.Marshal(a)
	if err != nil {
		// Only a time with a year past 9999 makes Marshal fail here.
		panic(err)
	}
	return b
}
