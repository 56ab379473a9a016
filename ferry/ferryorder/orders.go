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

// Tenure says whether this entry may give orders now; *ferrylease.Lease is one.
type Tenure interface {
	// Check returns the fencing number and until when it may be used, or an error.
	Check() (ferryid.Fence, time.Time, error)
	// AtLeast asks for a fencing number of at least the one given.
	AtLeast(f ferryid.Fence)
}

// Readers has a group read by the entry whose duty that is; on an error the holder reads the group itself.
type Readers interface {
	ReadGroup(ctx context.Context, a GroupAsk) (GroupAnswer, error)
}

// Config is what an Orders needs; Tenure and Engine must be set.
type Config struct {
	Tenure Tenure
	Engine Engine
	Clock  clockwork.Clock
	Pace   Pace
	// Readers is nil where the holder reads all engines itself.
	Readers Readers
}

// Orders is the duty that brings one service's engines to the wanted state while it holds the lease.
type Orders struct {
	cfg     Config
	core    *Core
	wanted  atomic.Pointer[Wanted]
	taken   *Wanted // by the core
	blocked atomic.Pointer[[]Blocked]
}

// New returns an Orders; Run carries it.
func New(cfg Config) *Orders {
	if cfg.Clock == nil {
		cfg.Clock = clockwork.NewRealClock()
	}
	return &Orders{cfg: cfg, core: NewCore(cfg.Pace)}
}

// Want sets the wanted state; the newest generation counts.
func (o *Orders) Want(w Wanted) {
	o.wanted.Store(&w)
}

// Blocked returns the orders that wait, and why, as of the last round.
func (o *Orders) Blocked() []Blocked {
	if b := o.blocked.Load(); b != nil {
		return *b
	}
	return nil
}

// Run reads and corrects the engines until the context is done, at most each 250 ms and at least each 2 s.
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

// round reads the engines that are due and gives the orders that follow; it returns how long to wait for the next.
func (o *Orders) round(ctx context.Context) time.Duration {
	w := o.wanted.Load()
	fence, _, err := o.cfg.Tenure.Check()
	if w == nil || err != nil {
		o.blocked.Store(nil)
		return defaultInterval
	}
	if w != o.taken {
		o.core.SetWanted(*w)
		o.taken = w
	}
	o.core.SetFence(fence)
	o.read(ctx, o.core.Due(o.cfg.Clock.Now()))
	sends, blocked := o.core.Next(o.cfg.Clock.Now())
	o.blocked.Store(&blocked)
	o.send(ctx, sends)
	now := o.cfg.Clock.Now()
	return o.core.Wake(now).Sub(now)
}

func (o *Orders) read(ctx context.Context, asks []GroupAsk) {
	answers := make([]GroupAnswer, len(asks))
	errs := make([]error, len(asks))
	each(len(asks), func(i int) { answers[i], errs[i] = o.readGroup(ctx, asks[i]) })
	now := o.cfg.Clock.Now()
	for i, a := range asks {
		if errs[i] != nil {
			o.core.NotAnswered(a, now)
			continue
		}
		o.core.Answered(a, answers[i], now)
	}
}

// readGroup has a group read by the entry whose duty it is, and reads it here if that fails.
func (o *Orders) readGroup(ctx context.Context, a GroupAsk) (GroupAnswer, error) {
	if o.cfg.Readers == nil {
		return o.Read(ctx, a)
	}
	there, cancel := clockwork.WithTimeout(ctx, o.cfg.Clock, groupTimeout)
	defer cancel()
	if ans, err := o.cfg.Readers.ReadGroup(there, a); err == nil {
		return ans, nil
	}
	return o.Read(ctx, a)
}

// Read reads a group from here, for the entry that gives the orders; a *GroupError says that this entry holds another document.
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
	each(len(sends), func(i int) { errs[i] = o.sendOne(ctx, sends[i]) })
	for i, s := range sends {
		var fence *FenceError
		var not *notSentError
		switch {
		case errors.As(errs[i], &fence):
			o.core.Refused(s.Name)
			o.cfg.Tenure.AtLeast(fence.Highest + 1)
		case errors.As(errs[i], &not):
			o.core.Refused(s.Name)
		}
	}
}

// notSentError says that the lease had ended before the order was sent.
type notSentError struct{ err error }

func (e *notSentError) Error() string { return "order not sent: " + e.err.Error() }

// sendOne checks the lease just before the send and gives the send no more time than the lease has.
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

// each calls the function for each index, a few at a time.
func each(n int, fn func(int)) {
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
