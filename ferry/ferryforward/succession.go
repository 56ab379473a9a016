package ferryforward

import (
	"context"
	"errors"
	"sync"
	"time"

	"cactusferry.dev/ferry/ferryconfig"
	"cactusferry.dev/ferry/ferryexchange"
	"cactusferry.dev/ferry/ferryid"
	"cactusferry.dev/ferry/ferryoutcome"
)

// replaceInterval is the interval between attempts to start a replacement of the same run.
const replaceInterval = 200 * time.Millisecond

var (
	// errReplaced ends a run whose replacement has been accepted by its upstream.
	errReplaced = errors.New("run ended: another run took its place")
	// errNotNeeded ends a replacement whose stream has been completed by the original run.
	errNotNeeded = errors.New("replacement ended: the original run completed the stream")
)

// upstreamRun is one run of a stream that its upstream has answered.
type upstreamRun struct {
	dest   destination
	answer *ferryexchange.Answer
	cancel context.CancelCauseFunc
}

// succession hands a stream from a silent run to its replacement. The silent run ends only when the replacement's
// body has begun, so that a replacement that is refused, fails or is silent itself costs the caller nothing.
//
// The counters of the request belong to the forwarding goroutine between runs, and to the goroutine of the
// replacement from replace until settle or the end of its attempt.
type succession struct {
	mu sync.Mutex
	// position is the last forwarded event, and events their number; only the forwarding goroutine changes them.
	position position
	events   int
	// started is set once an event was forwarded.
	started bool
	// begun is set when a run ends with bytes behind its last complete event, and reset by the next event; only the
	// forwarding goroutine uses it.
	begun bool
	// open is set while a run may be replaced, complete once the stream needs no other run.
	open, complete bool
	// end ends the present run.
	end context.CancelCauseFunc
	// pending is closed at the end of the attempt in progress, which stopPending ends; it is nil if there is none.
	pending     chan struct{}
	stopPending context.CancelCauseFunc
	// failed is closed when the present run fails during the attempt; it is nil if there is none, or it has failed.
	failed chan struct{}
	// triedAt is the time of the last attempt.
	triedAt time.Time
	// next is the accepted replacement, and replaced the error with which it ended the run before.
	next     *upstreamRun
	replaced error
}

// beginRun makes a run the present one.
func (c *succession) beginRun(end context.CancelCauseFunc) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.open, c.end = true, end
}

// advance moves the position over the new ones of complete events. It returns them, moved together within whole, and
// how many of them have fields. It stops with an *EventError at bytes that are no event, or with errReplaced if
// another run has taken over.
func (c *succession) advance(whole []byte) (fresh []byte, n int, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.next != nil {
		return nil, 0, errReplaced
	}
	fresh = whole[:0]
	for events := whole; len(events) > 0; {
		event, rest := nextEvent(events)
		isNew, err := c.position.advance(event)
		if err != nil {
			c.begun = true
			return fresh, n, err
		}
		events = rest
		if !isNew {
			continue
		}
		if carryData(event) {
			n++
			c.events++
			c.begun = false
		}
		fresh = append(fresh, event...)
		c.started = true
	}
	return fresh, n, nil
}

// progress returns the number of forwarded events and the id of the last one.
func (c *succession) progress() (events int, last string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.events, c.position.id
}

// breakOff records that a run has ended with bytes behind its last complete event.
func (c *succession) breakOff(rest []byte) {
	c.begun = c.begun || carryData(rest)
}

// settle waits for the end of a pending attempt after the present run has failed. If a replacement has taken over,
// it returns the error with which that ended the run.
func (c *succession) settle(err error) error {
	c.mu.Lock()
	c.open = false
	pending := c.pending
	if c.failed != nil {
		close(c.failed)
		c.failed = nil
	}
	c.complete = c.complete || errors.Is(err, errCallerWrite)
	if c.complete && pending != nil {
		c.stopPending(errNotNeeded)
	}
	c.mu.Unlock()
	if pending != nil {
		<-pending
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if !errors.Is(err, errCallerWrite) && c.next != nil {
		return c.replaced
	}
	return err
}

// hasStarted reports whether an event was forwarded.
func (c *succession) hasStarted() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.started
}

// isReplacing reports whether an attempt to replace the present run is in progress.
func (c *succession) isReplacing() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.pending != nil
}

// presentGoesOn reports whether the run that an attempt is to replace has not failed yet.
func (c *succession) presentGoesOn() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.failed != nil
}

func (c *succession) hasNext() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.next != nil
}

// takeNext returns the accepted replacement, or nil.
func (c *succession) takeNext() *upstreamRun {
	c.mu.Lock()
	defer c.mu.Unlock()
	u := c.next
	c.next = nil
	return u
}

// accept makes a replacement the next run and ends the present one. It reports false if the replacement is not
// needed or, since events after the given one have been forwarded meanwhile, cannot continue the stream. The reason
// holds unless the present run has gone on meanwhile.
func (c *succession) accept(u *upstreamRun, after string, repeat ferryconfig.Repeat, reason error) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.complete || (c.started && !c.resumable(repeat)) || (c.position.id != after && !c.position.known) {
		return false
	}
	c.next, c.replaced = u, errReplaced
	if c.position.id == after {
		c.replaced = errors.Join(errReplaced, reason)
	}
	c.end(c.replaced)
	return true
}

// discardReplacement ends the pending or accepted replacement of a stream that has ended.
func (s *callerStream) discardReplacement() {
	s.mu.Lock()
	s.complete = true
	s.mu.Unlock()
	if s.settle(nil); s.hasNext() {
		s.discard(s.takeNext())
	}
}

func (s *callerStream) discard(u *upstreamRun) {
	u.cancel(errNotNeeded)
	u.answer.Close()
	finishCancelled(u.dest)
}

// resumable reports whether another run may continue a started stream.
func (c *succession) resumable(repeat ferryconfig.Repeat) bool {
	return repeat == ferryconfig.RepeatFromEvent && !c.position.lost
}

// replace starts another run beside the present one, unless an attempt is in progress or was made recently.
func (s *callerStream) replace(ctx context.Context, present destination, reason error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.cfg.Clock.Now()
	if !s.open || s.pending != nil || s.next != nil || now.Sub(s.triedAt) < replaceInterval || (s.started && !s.resumable(s.r.route.Repeat)) {
		return
	}
	attemptCtx, cancel := context.WithCancelCause(ctx)
	done, failed := make(chan struct{}), make(chan struct{})
	s.triedAt, s.pending, s.stopPending, s.failed = now, done, cancel, failed
	after := s.position.id
	s.guard.Go("replacement", string(s.r.ID), func() {
		defer close(done)
		defer s.endAttempt()
		u := s.startReplacement(ctx, attemptCtx, cancel, present, after, reason, failed)
		if u != nil && !s.accept(u, after, s.r.route.Repeat, reason) {
			s.discard(u)
		}
	})
}

// endAttempt allows the next attempt to start a replacement.
func (c *succession) endAttempt() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.pending, c.failed = nil, nil
}

// startReplacement sends the request to a destination that begins elsewhere and waits for the answer's body, unless
// the present run fails. The attempt has a context of its own, within that of the request. It returns nil if there is no destination, no retry is left or the run fails.
func (s *callerStream) startReplacement(ctx, attemptCtx context.Context, cancel context.CancelCauseFunc, present destination, after string, reason error, failed <-chan struct{}) *upstreamRun {
	dest := s.pickReplacement(present, reason)
	if dest == nil {
		cancel(nil)
		return nil
	}
	s.log.Warn().Str("Request", string(s.r.ID)).AnErr("Reason", reason).Str("Path", formatDestination(present)).
		Str("Replacement", formatDestination(dest)).Str("After", after).Msg("replacement of a silent run started")
	wd := s.supervise(ctx, dest, cancel, true)
	defer wd.stop()
	a, err := s.send(attemptCtx, dest, after)
	if err != nil {
		defer cancel(nil)
		if errors.Is(err, errNotNeeded) {
			s.r.arrived++
			finishCancelled(dest)
			return nil
		}
		s.handleSendError(ctx, dest, err)
		return nil
	}
	v := s.cfg.Dialect.DecodeAnswer(a.Status, a.Header)
	accepted := v.acceptsRun(a)
	err = errNoStream
	if accepted {
		err = a.AwaitBody(failed)
	}
	if err == nil {
		s.metrics.retried(s.r.service.name, string(ferryoutcome.KindUpstreamFailed))
		return &upstreamRun{dest: dest, answer: a, cancel: cancel}
	}
	defer cancel(nil)
	defer a.Close()
	s.r.arrived++
	switch {
	case v.CertainlyNotRun():
		s.handleRefusal(dest, a.Status, v)
	case errors.Is(err, errNotNeeded):
		finishCancelled(dest)
	default:
		s.handleBrokenRun(ctx, dest, err)
	}
	return nil
}

// pickReplacement returns a destination that begins at another upstream than the present one, with a retry
// taken for it, or nil. A run whose first engine is dead does not count towards the route's attempts.
func (s *callerStream) pickReplacement(present destination, reason error) destination {
	dead := errors.Is(reason, errFirstEngineDead) && s.r.repeatable() && s.r.mayRunAgain()
	if (!dead && !s.mayRestart()) || s.isBlocked() != nil {
		return nil
	}
	s.r.mayHaveRun = true // on the present destination, so its replacement is urgent
	dest, none := s.pickDestination(s.r, ferryid.UpstreamName(present.first().Name))
	if none != nil {
		s.r.full = nil // they may have room at the next attempt
		return nil
	}
	if !s.takeRetry(s.r) {
		finishCancelled(dest)
		return nil
	}
	return dest
}
