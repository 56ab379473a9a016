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

// WatcherConfig says what a Watcher works with.
type WatcherConfig struct {
	Store  ferryplatform.Store
	Holder *Holder
	Clock  clockwork.Clock
	// Seed feeds the jitter; entries need different ones.
	Seed uint64
}

// Watcher is the duty that follows the store and offers its documents to the holder, while this entry is one of those told to watch.
type Watcher struct {
	cfg  WatcherConfig
	core *watchCore

	mu       sync.Mutex
	watching bool
	live     int
	cancel   context.CancelFunc
	woken    chan struct{}
}

// NewWatcher returns a watcher that is not watching yet.
func NewWatcher(cfg WatcherConfig) *Watcher {
	return &Watcher{
		cfg:   cfg,
		core:  newWatchCore(cfg.Holder, rand.New(rand.NewPCG(cfg.Seed, 0))),
		live:  1,
		woken: make(chan struct{}, 1),
	}
}

// Watching tells the watcher whether to watch; a change takes effect at once.
func (w *Watcher) Watching(on bool) {
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
	case w.woken <- struct{}{}:
	default:
	}
}

// SetLive tells the watcher how many entries are live, from which it computes its pauses.
func (w *Watcher) SetLive(n int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.live = max(1, n)
}

// Run follows the store until the context ends.
func (w *Watcher) Run(ctx context.Context) error {
	for {
		turn, ok := w.turn(ctx)
		if ok {
			w.follow(turn)
			continue
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-w.woken:
		}
	}
}

// turn returns a context that lasts as long as this entry is told to watch.
func (w *Watcher) turn(ctx context.Context) (context.Context, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.watching || ctx.Err() != nil {
		return nil, false
	}
	turn, cancel := context.WithCancel(ctx)
	w.cancel = cancel
	return turn, true
}

// follow lists and watches for one turn.
func (w *Watcher) follow(ctx context.Context) {
	var msg watchMessage = watchStarted{}
	w.core.listed = false
	for ctx.Err() == nil {
		w.mu.Lock()
		w.core.live = w.live
		w.mu.Unlock()
		msg = w.perform(ctx, w.core.next(msg, w.cfg.Clock.Now()))
	}
}

// perform does one action of the core.
func (w *Watcher) perform(ctx context.Context, action watchAction) watchMessage {
	switch a := action.(type) {
	case listStore:
		changes, err := w.cfg.Store.List(ctx, ferryservice.ObjectKind)
		return watchListed{changes, err}
	case watchStore:
		from := w.cfg.Clock.Now()
		changes, err := w.cfg.Store.Watch(ctx, ferryservice.ObjectKind, a.after, watchWait)
		return watchSeen{changes, err, w.cfg.Clock.Since(from)}
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
