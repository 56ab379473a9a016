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

// Config configures a Lease. Name, Self and Store are required.
type Config struct {
	Name  string
	Self  ferryid.Incarnation
	Store ferryplatform.Store
	Clock clockwork.Clock
	// TTL is the lease term, from the start of each write; 0 means 10 s.
	TTL time.Duration
	// Epoch, if set, returns the latest epoch that the platform has stated; false means that it has stated none.
	Epoch func() (ferryplatform.Epoch, bool)
	// First is set if the lease has not been written before, unless the platform has it. Otherwise one that is missing on a
	// platform that states its epoch may have been lost by a restore.
	First bool
	// HolderEnded, if set, reports whether a holder's process has certainly ended, so that
	// its lease can be acquired before it expires.
	HolderEnded func(ferryid.Incarnation) bool
	// Margin is subtracted from the holder's term and added to the successor's wait; 0 means 1 s.
	Margin time.Duration
}

// Lease is one entry's view of one lease.
type Lease struct {
	cfg      Config
	core     *core
	wanted   atomic.Bool
	follow   atomic.Bool
	minFence atomic.Uint64
	held     atomic.Pointer[tenure]
	wake     chan struct{}
	released atomic.Bool
}

// tenure is the fencing number of a held lease and the time until which it is valid.
type tenure struct {
	fence ferryid.Fence
	until time.Time
}

// NotHeldError is returned if this entry does not hold the lease.
type NotHeldError struct {
	Name string
}

func (e *NotHeldError) Error() string {
	return fmt.Sprintf("lease %s is not held", e.Name)
}

// New returns a lease that is not wanted yet. Run must be called to maintain it.
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
	l := &Lease{cfg: cfg, core: newCore(cfg.Self, cfg.TTL, cfg.Margin, cfg.HolderEnded), wake: make(chan struct{}, 1)}
	l.core.first = cfg.First
	return l
}

// Want sets whether this entry should hold the lease. A held lease that is no longer wanted is released.
func (l *Lease) Want(on bool) {
	if !on {
		l.held.Store(nil)
	}
	l.wanted.Store(on)
	l.wakeUp()
}

// Follow sets whether to read the lease every third of its TTL while it is not wanted.
//
// A follower has seen the holder's last renewal and can acquire the lease as soon as it expires.
func (l *Lease) Follow(on bool) {
	if l.follow.Swap(on) != on {
		l.wakeUp()
	}
}

// AtLeast sets a lower bound for the fencing number of the next write, for engines
// that have seen a higher one.
func (l *Lease) AtLeast(f ferryid.Fence) {
	for {
		old := l.minFence.Load()
		if uint64(f) <= old || l.minFence.CompareAndSwap(old, uint64(f)) {
			break
		}
	}
	l.wakeUp()
}

func (l *Lease) wakeUp() {
	select {
	case l.wake <- struct{}{}:
	default:
	}
}

// Check returns the fencing number and the time until which it may be used, or a *NotHeldError.
//
// Call it just before each use.
func (l *Lease) Check() (ferryid.Fence, time.Time, error) {
	t := l.held.Load()
	if t == nil || !before(l.cfg.Clock.Now(), t.until) {
		return 0, time.Time{}, &NotHeldError{Name: l.cfg.Name}
	}
	return t.fence, t.until, nil
}

// Released reports whether, after Want(false), the platform certainly holds no lease of this entry.
func (l *Lease) Released() bool {
	return l.released.Load()
}

// Run acquires, renews and releases the lease until the context ends.
func (l *Lease) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		l.core.setWanted(l.wanted.Load())
		l.core.follow = l.follow.Load()
		l.core.minFence = ferryid.Fence(l.minFence.Load())
		now := l.cfg.Clock.Now()
		l.setEpoch(now)
		if a := l.core.next(now); a != nil {
			ans := l.do(ctx, a)
			now = l.cfg.Clock.Now()
			l.setEpoch(now)
			l.core.handle(now, a, ans)
			l.publish()
			continue
		}
		l.publish()
		select {
		case <-ctx.Done():
		case <-l.wake:
		case <-l.cfg.Clock.After(max(l.core.nextWake(now).Sub(now), time.Millisecond)):
		}
	}
	return ctx.Err()
}

func (l *Lease) setEpoch(now time.Time) {
	if l.cfg.Epoch == nil {
		return
	}
	if e, known := l.cfg.Epoch(); known {
		l.core.setEpoch(now, e)
	}
}

func (l *Lease) publish() {
	c := l.core
	l.released.Store(!c.wanted && !c.mayBeHolder && c.inFlight == nil)
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
