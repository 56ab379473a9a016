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
	concurrentCalls = 8
)

// Tenure says whether this entry may give orders now; *ferrylease.Lease is one.
type Tenure interface {
	// Check returns the fencing number and until when it may be used, or an error.
	Check() (ferryid.Fence, time.Time, error)
	// AtLeast asks for a fencing number of at least the one given.
	AtLeast(f ferryid.Fence)
}

// Config is what an Orders needs; Tenure and Engine must be set.
type Config struct {
	Tenure Tenure
	Engine Engine
	Clock  clockwork.Clock
	Pace   Pace
	// Interval is how often the engines are read and corrected, 2 s if 0.
	Interval time.Duration
}

// Orders is the duty that brings one service's engines to the wanted state while it holds the lease.
type Orders struct {
	cfg     Config
	core    *Core
	wanted  atomic.Pointer[Wanted]
	blocked atomic.Pointer[[]Blocked]
}

// New returns an Orders; Run carries it.
func New(cfg Config) *Orders {
	if cfg.Clock == nil {
		cfg.Clock = clockwork.NewRealClock()
	}
	if cfg.Interval == 0 {
		cfg.Interval = defaultInterval
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

// Run reads and corrects the engines each interval until the context is done.
func (o *Orders) Run(ctx context.Context) error {
	t := o.cfg.Clock.NewTicker(o.cfg.Interval)
	defer t.Stop()
	for {
		o.round(ctx)
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-t.Chan():
		}
	}
}

// round does one reading of all engines and gives the orders that follow.
func (o *Orders) round(ctx context.Context) {
	w := o.wanted.Load()
	fence, _, err := o.cfg.Tenure.Check()
	if w == nil || err != nil {
		o.blocked.Store(nil)
		return
	}
	o.core.SetWanted(*w)
	o.core.SetFence(fence)
	o.read(ctx, w.Runners)
	sends, blocked := o.core.Next(o.cfg.Clock.Now())
	o.blocked.Store(&blocked)
	o.send(ctx, sends)
}

func (o *Orders) read(ctx context.Context, rs []Runner) {
	reports := make([]Report, len(rs))
	errs := make([]error, len(rs))
	each(len(rs), func(i int) {
		ctx, cancel := clockwork.WithTimeout(ctx, o.cfg.Clock, callTimeout)
		defer cancel()
		reports[i], errs[i] = o.cfg.Engine.Report(ctx, rs[i].Address)
	})
	for i, r := range rs {
		if errs[i] != nil {
			o.core.Unreadable(r.Name)
			continue
		}
		o.core.Reported(r.Name, reports[i], o.cfg.Clock.Now())
	}
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
