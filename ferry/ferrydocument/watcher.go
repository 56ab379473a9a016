package ferrydocument

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"cactusferry.dev/ferry/ferryplatform"
	"cactusferry.dev/ferry/ferryservice"
)

// WatcherConfig configures a Watcher.
type WatcherConfig struct {
	Store  ferryplatform.Store
	Holder *Holder
	Clock  clockwork.Clock
	// Seed seeds the jitter; it must differ between entries.
	Seed uint64
}

// Watcher watches the store and offers its documents to the holder while watching is enabled on this entry.
type Watcher struct {
	cfg  WatcherConfig
	core *watchCore

	mu          sync.Mutex
	watching    bool
	liveEntries int
	cancel      context.CancelFunc
	wake        chan struct{}
}

// NewWatcher returns a watcher with watching disabled.
func NewWatcher(cfg WatcherConfig) *Watcher {
	return &Watcher{
		cfg:         cfg,
		core:        newWatchCore(cfg.Holder, rand.New(rand.NewPCG(cfg.Seed, 0))),
		liveEntries: 1,
		wake:        make(chan struct{}, 1),
	}
}

// SetWatching enables or disables watching; disabling cancels an outstanding request.
func (w *Watcher) SetWatching(on bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.watching == on {
		return
	}
	w.watching = on
	if !on && w.cancel != nil {
		w.cancel()
	}
	select {
	case w.wake <- struct{}{}:
	default:
	}
}

// SetLive sets the number of live entries, which the backoff grows with.
func (w *Watcher) SetLive(n int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.liveEntries = max(1, n)
}

// Run watches the store, while watching is enabled, until the context ends.
func (w *Watcher) Run(ctx context.Context) error {
	for {
		watchCtx, ok := w.watchContext(ctx)
		if ok {
			w.listAndWatch(watchCtx)
			continue
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-w.wake:
		}
	}
}

// watchContext returns a context that is cancelled when watching is disabled, and false if it is
// disabled now.
func (w *Watcher) watchContext(ctx context.Context) (context.Context, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.watching || ctx.Err() != nil {
		return nil, false
	}
	watchCtx, cancel := context.WithCancel(ctx)
	w.cancel = cancel
	return watchCtx, true
}

// listAndWatch lists and watches until the context ends.
func (w *Watcher) listAndWatch(ctx context.Context) {
	var msg watchMessage = watchStarted{}
	w.core.listed = false
	for ctx.Err() == nil {
		w.mu.Lock()
		w.core.liveEntries = w.liveEntries
		w.mu.Unlock()
		msg = w.perform(ctx, w.core.next(msg, w.cfg.Clock.Now()))
	}
}

// perform executes one action of the core and returns its result.
func (w *Watcher) perform(ctx context.Context, action watchAction) watchMessage {
	switch a := action.(type) {
	case listStore:
		changes, err := w.cfg.Store.List(ctx, ferryservice.ObjectKind)
		return watchListed{changes, err}
	case watchStore:
		started := w.cfg.Clock.Now()
		changes, err := w.cfg.Store.Watch(ctx, ferryservice.ObjectKind, a.after, watchWait)
		return watchReturned{changes, err, w.cfg.Clock.Since(started)}
	case repairStore:
		return watchRepaired{w.repair(ctx, a)}
	case pauseWatch:
		w.pause(ctx, a.d)
	}
	return watchStarted{}
}

func (w *Watcher) repair(ctx context.Context, a repairStore) error {
	_, err := w.cfg.Store.Put(ctx, ferryservice.ObjectKind, string(a.accepted.Service), a.expected, encode(a.accepted))
	if err == nil {
		w.cfg.Holder.events.Add(EventRepaired, string(a.accepted.Service), "generation %d put back into the store", a.accepted.Generation)
	}
	return err
}

func (w *Watcher) pause(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-w.cfg.Clock.After(d):
	}
}
