package ferrylease

import (
	"context"
	"fmt"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"

	"cactusferry.dev/ferry/ferryid"
	"cactusferry.dev/ferry/ferryplatform"
)

const (
	defaultTTL    = 10 * time.Second
	defaultMargin = time.Second
)

// Config is what a Lease needs; Name, Self and Store must be set.
type Config struct {
	Name  string
	Self  ferryid.Incarnation
	Store ferryplatform.Store
	Clock clockwork.Clock
	// TTL is how long the lease holds after the start of a write, 10 s if 0.
	TTL time.Duration
	// Gone, if set, reports whether a holder's process has certainly ended, so that its lease need not be waited out.
	Gone func(ferryid.Incarnation) bool
	// Margin is taken from the holder's time and added to the successor's wait, 1 s if 0.
	Margin time.Duration
}

// Lease is one entry's part in one lease.
type Lease struct {
	cfg    Config
	core   *core
	wanted atomic.Bool
	follow atomic.Bool
	floor  atomic.Uint64
	held   atomic.Pointer[tenure]
	poke   chan struct{}
	idle   atomic.Bool
}

// tenure is what the holder may believe until it ends.
type tenure struct {
	fence ferryid.Fence
	until time.Time
}

// NotHeldError says that this entry does not hold the lease now.
type NotHeldError struct {
	Name string
}

func (e *NotHeldError) Error() string {
	return fmt.Sprintf("lease %s is not held", e.Name)
}

// New returns a lease that is not wanted yet; Run carries it.
func New(cfg Config) *Lease {
	if cfg.TTL == 0 {
		cfg.TTL = defaultTTL
	}
	if cfg.Margin == 0 {
		cfg.Margin = defaultMargin
	}
	if cfg.Clock == nil {
		cfg.Clock = clockwork.NewRealClock()
	}
	return &Lease{cfg: cfg, core: newCore(cfg.Self, cfg.TTL, cfg.Margin, cfg.Gone), poke: make(chan struct{}, 1)}
}

// Want says whether this entry should hold the lease; a held one that is no longer wanted is released.
func (l *Lease) Want(on bool) {
	if !on {
		l.held.Store(nil)
	}
	l.wanted.Store(on)
	l.wakeUp()
}

// Follow says whether to read the lease while it is not wanted, each third of its TTL, so that it can be had when its holder's last renewal has run out.
func (l *Lease) Follow(on bool) {
	if l.follow.Swap(on) != on {
		l.wakeUp()
	}
}

// AtLeast makes the next write carry a fencing number of at least the one given, for engines that have seen a higher one.
func (l *Lease) AtLeast(f ferryid.Fence) {
	for {
		old := l.floor.Load()
		if uint64(f) <= old || l.floor.CompareAndSwap(old, uint64(f)) {
			break
		}
	}
	l.wakeUp()
}

func (l *Lease) wakeUp() {
	select {
	case l.poke <- struct{}{}:
	default:
	}
}

// Check returns the fencing number and the time until which it may be used, or a *NotHeldError; call it just before each use.
func (l *Lease) Check() (ferryid.Fence, time.Time, error) {
	t := l.held.Load()
	if t == nil || !before(l.cfg.Clock.Now(), t.until) {
		return 0, time.Time{}, &NotHeldError{Name: l.cfg.Name}
	}
	return t.fence, t.until, nil
}

// Released reports whether the platform is known to hold no lease of this entry, after Want(false).
func (l *Lease) Released() bool {
	return l.idle.Load()
}

// Run takes, renews and releases the lease until the context is done.
func (l *Lease) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		l.core.want(l.wanted.Load())
		l.core.follow = l.follow.Load()
		l.core.floor = ferryid.Fence(l.floor.Load())
		now := l.cfg.Clock.Now()
		if a := l.core.next(now); a != nil {
			l.core.done(l.cfg.Clock.Now(), a, l.do(ctx, a))
			l.publish()
			continue
		}
		l.publish()
		select {
		case <-ctx.Done():
		case <-l.poke:
		case <-l.cfg.Clock.After(max(l.core.wake(now).Sub(now), time.Millisecond)):
		}
	}
	return ctx.Err()
}

func (l *Lease) publish() {
	c := l.core
	l.idle.Store(!c.wanted && !c.owes && c.flight == nil)
	if !c.held || !l.wanted.Load() {
		l.held.Store(nil)
		return
	}
	l.held.Store(&tenure{fence: c.record.Fence, until: c.validUntil})
}

func (l *Lease) do(ctx context.Context, a action) answer {
	ctx, cancel := clockwork.WithTimeout(ctx, l.cfg.Clock, l.cfg.TTL/renewals)
	defer cancel()
	var ans answer
	switch a := a.(type) {
	case get:
		ans.object, ans.err = l.cfg.Store.Get(ctx, ObjectKind, l.cfg.Name)
	case put:
		ans.version, ans.err = l.cfg.Store.Put(ctx, ObjectKind, l.cfg.Name, a.expected, a.record.encode())
	}
	return ans
}
