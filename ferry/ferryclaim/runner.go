package ferryclaim

import (
	"context"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"cactusferry.dev/ferry/ferryid"
	"cactusferry.dev/ferry/ferryplatform"
)

const (
	claimQueueLength = 256
	maxWaiting       = 1024
	// platformTimeout bounds one call; a write that times out is repeated until its outcome is known.
	platformTimeout = 2 * time.Second
)

// slotRunner is the only user of one slot's state machine and makes its platform calls one at a time.
type slotRunner struct {
	slot      *slot
	index     int
	owner     func() ferryid.Incarnation
	forwarder Forwarder
	store     ferryplatform.Store
	clock     clockwork.Clock
	window    time.Duration
	// claims is bounded; while it is full, callers block until their deadline.
	claims chan request
	// unbounded holds requests that must not be dropped or wait for space: outcomes, releases, barriers
	// and forwarded writes. A granted claim adds at most one outcome or release.
	mu        sync.Mutex
	unbounded []request
	ready     chan struct{}
}

func newSlotRunner(cfg Config, index int) *slotRunner {
	name := slotName(index)
	owner := func() ferryid.Incarnation {
		if cfg.Live == nil {
			return cfg.Self
		}
		return ownerOf(name, cfg.Live())
	}
	return &slotRunner{
		slot: newSlot(name, cfg.Self), index: index, owner: owner, forwarder: cfg.Forwarder, store: cfg.Store, clock: cfg.Clock, window: cfg.Window,
		claims: make(chan request, claimQueueLength), ready: make(chan struct{}, 1),
	}
}

func (s *slotRunner) postClaim(ctx context.Context, r request) bool {
	select {
	case s.claims <- r:
		return true
	case <-ctx.Done():
		return false
	}
}

func (s *slotRunner) postUnbounded(r request) {
	s.mu.Lock()
	s.unbounded = append(s.unbounded, r)
	s.mu.Unlock()
	select {
	case s.ready <- struct{}{}:
	default:
	}
}

func (s *slotRunner) flush(ctx context.Context) error {
	done := make(chan struct{})
	s.postUnbounded(request{op: opBarrier, reply: func(verdict) { close(done) }})
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (s *slotRunner) run(ctx context.Context) {
	for s.waitForWork(ctx) {
		for ctx.Err() == nil {
			s.submitPosted()
			if s.forwardWaiting(ctx) {
				continue
			}
			now := s.clock.Now()
			a, out := s.slot.next(now)
			deliver(out)
			if a == nil {
				break
			}
			ans := s.do(ctx, a)
			deliver(s.slot.complete(s.clock.Now(), a, ans))
		}
	}
}

func deliver(out []decided) {
	for _, d := range out {
		if d.req.reply != nil {
			d.req.reply(d.v)
		}
	}
}

// waitForWork blocks until there is a request or a retry is due; it returns false once the context is done.
func (s *slotRunner) waitForWork(ctx context.Context) bool {
	var retry <-chan time.Time
	if s.slot.idle() {
		retry = nil
	} else {
		retry = s.clock.After(max(0, s.slot.notBefore.Sub(s.clock.Now())))
	}
	select {
	case <-ctx.Done():
		return false
	case <-retry:
		return true
	case <-s.ready:
	case r := <-s.claims:
		s.slot.submit(r)
	}
	if s.window > 0 {
		select {
		case <-ctx.Done():
			return false
		case <-s.clock.After(s.window):
		}
	}
	return true
}

// submitPosted submits the posted requests to the slot, those of unbounded first.
func (s *slotRunner) submitPosted() {
	s.mu.Lock()
	unbounded := s.unbounded
	s.unbounded = nil
	s.mu.Unlock()
	for _, r := range unbounded {
		s.slot.submit(r)
	}
	for len(s.claims) > 0 && len(s.slot.waiting) < maxWaiting {
		s.slot.submit(<-s.claims)
	}
}

func (s *slotRunner) do(ctx context.Context, a action) actionResult {
	var ans actionResult
	ctx, cancel := clockwork.WithTimeout(ctx, s.clock, platformTimeout)
	defer cancel()
	switch a := a.(type) {
	case getTail:
		ans.object, ans.err = s.store.Get(ctx, ObjectKindSlot, s.slot.name)
	case getSegment:
		ans.object, ans.err = s.store.Get(ctx, ObjectKindSegment, a.ref.Name)
	case putTail:
		ans.version, ans.err = s.store.Put(ctx, ObjectKindSlot, s.slot.name, a.expected, a.value)
	case putSegment:
		ans.version, ans.err = s.store.Put(ctx, ObjectKindSegment, a.name, ferryplatform.NoVersion, a.value)
	case deleteSegment:
		ans.err = s.deleteSegment(ctx, a.name)
	}
	return ans
}

func (s *slotRunner) deleteSegment(ctx context.Context, name string) error {
	o, err := s.store.Get(ctx, ObjectKindSegment, name)
	if err != nil {
		return err
	}
	return s.store.Delete(ctx, ObjectKindSegment, name, o.Version)
}
