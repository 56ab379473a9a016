package ferryorder

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"

	"cactusferry.dev/ferry/ferryid"
)

const (
	defaultInterval = 2 * time.Second
	callTimeout     = 2 * time.Second
	groupTimeout    = callTimeout + 500*time.Millisecond
	concurrentCalls = 32
)

// Tenure is the right of this entry to send orders; it is implemented by *ferrylease.Lease.
type Tenure interface {
	// Check returns the fencing number and its expiry, or an error if the tenure is not held.
	Check() (ferryid.Fence, time.Time, error)
	// AtLeast requests a fencing number of at least f.
	AtLeast(f ferryid.Fence)
}

// Readers reads a group through the entry assigned to it; on an error the holder reads the group itself.
type Readers interface {
	ReadGroup(ctx context.Context, a GroupAsk) (GroupAnswer, error)
}

// Config is the configuration of an Orders; Tenure and Engine are required.
type Config struct {
	Tenure Tenure
	Engine Engine
	Clock  clockwork.Clock
	Pace   Pace
	// Readers is optional; if it is nil, the holder reads all engines itself.
	Readers Readers
}

// Orders reconciles the engines of one service with the wanted state while it holds the tenure.
type Orders struct {
	cfg     Config
	core    *Core
	wanted  atomic.Pointer[Wanted]
	applied *Wanted // last wanted state passed to the core
	blocked atomic.Pointer[[]Blocked]
}

// New returns an Orders; it is inactive until Run.
func New(cfg Config) *Orders {
	if cfg.Clock == nil {
		cfg.Clock = clockwork.NewRealClock()
	}
	return &Orders{cfg: cfg, core: NewCore(cfg.Pace)}
}

// Want sets the wanted state; Run ignores states of older generations.
func (o *Orders) Want(w Wanted) {
	o.wanted.Store(&w)
}

// Blocked returns the blocked engines of the last round with their reasons.
func (o *Orders) Blocked() []Blocked {
	if b := o.blocked.Load(); b != nil {
		return *b
	}
	return nil
}

// Run reconciles the engines in rounds, at intervals of 250 ms to 2 s, until the context is done.
func (o *Orders) Run(ctx context.Context) error {
	for {
		next := o.round(ctx)
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-o.cfg.Clock.After(next):
		}
	}
}

// round reads the engines that are due, sends the resulting orders and returns the time until the next round.
func (o *Orders) round(ctx context.Context) time.Duration {
	w := o.wanted.Load()
	fence, _, err := o.cfg.Tenure.Check()
	if w == nil || err != nil {
		o.blocked.Store(nil)
		return defaultInterval
	}
	if w != o.applied {
		o.core.SetWanted(*w)
		o.applied = w
	}
	o.core.SetFence(fence)
	o.read(ctx, o.core.Due(o.cfg.Clock.Now()))
	sends, blocked := o.core.Next(o.cfg.Clock.Now())
	o.blocked.Store(&blocked)
	o.send(ctx, sends)
	now := o.cfg.Clock.Now()
	return o.core.NextRound(now).Sub(now)
}

func (o *Orders) read(ctx context.Context, asks []GroupAsk) {
	answers := make([]GroupAnswer, len(asks))
	errs := make([]error, len(asks))
	forEach(len(asks), func(i int) { answers[i], errs[i] = o.readGroup(ctx, asks[i]) })
	now := o.cfg.Clock.Now()
	for i, a := range asks {
		if errs[i] != nil {
			o.core.AskFailed(a, now)
			continue
		}
		o.core.ApplyAnswer(a, answers[i], now)
	}
}

// readGroup reads a group through the entry assigned to it, and directly if that fails.
func (o *Orders) readGroup(ctx context.Context, a GroupAsk) (GroupAnswer, error) {
	if o.cfg.Readers == nil {
		return o.Read(ctx, a)
	}
	readCtx, cancel := clockwork.WithTimeout(ctx, o.cfg.Clock, groupTimeout)
	defer cancel()
	if ans, err := o.cfg.Readers.ReadGroup(readCtx, a); err == nil {
		return ans, nil
	}
	return o.Read(ctx, a)
}

// Read reads a group directly, also on behalf of the holder of the lease.
// It returns a *GroupError if this entry has a different document.
func (o *Orders) Read(ctx context.Context, a GroupAsk) (GroupAnswer, error) {
	w := o.wanted.Load()
	if w == nil {
		return GroupAnswer{}, &GroupError{a.Service, a.Group}
	}
	return ReadGroup(ctx, *w, a, func(ctx context.Context, address string) (Report, error) {
		ctx, cancel := clockwork.WithTimeout(ctx, o.cfg.Clock, callTimeout)
		defer cancel()
		return o.cfg.Engine.Report(ctx, address)
	})
}

func (o *Orders) send(ctx context.Context, sends []Send) {
	errs := make([]error, len(sends))
	forEach(len(sends), func(i int) { errs[i] = o.sendOne(ctx, sends[i]) })
	for i, s := range sends {
		var fence *FenceError
		var notSent *notSentError
		switch {
		case errors.As(errs[i], &fence):
			o.core.OrderRefused(s.Name)
			o.cfg.Tenure.AtLeast(fence.Highest + 1)
		case errors.As(errs[i], &notSent):
			o.core.OrderRefused(s.Name)
		}
	}
}

// notSentError is returned if the tenure had ended before the order was sent.
type notSentError struct{ err error }

func (e *notSentError) Error() string { return "order not sent: " + e.err.Error() }

// sendOne checks the tenure just before the send and limits the send to the tenure's expiry.
func (o *Orders) sendOne(ctx context.Context, s Send) error {
	ctx, cancel := clockwork.WithTimeout(ctx, o.cfg.Clock, callTimeout)
	defer cancel()
	fence, until, err := o.cfg.Tenure.Check()
	if err == nil && fence != s.Order.Fence {
		err = &FenceError{Highest: fence}
	}
	if err != nil {
		return &notSentError{err}
	}
	ctx, stop := clockwork.WithDeadline(ctx, o.cfg.Clock, until)
	defer stop()
	return o.cfg.Engine.Order(ctx, s.Address, s.Order)
}

// forEach calls fn for each index with up to concurrentCalls calls in parallel.
func forEach(n int, fn func(int)) {
	slots := make(chan struct{}, concurrentCalls)
	var wg sync.WaitGroup
	for i := range n {
		slots <- struct{}{}
		wg.Go(func() {
			defer func() { <-slots }()
			fn(i)
		})
	}
	wg.Wait()
}
