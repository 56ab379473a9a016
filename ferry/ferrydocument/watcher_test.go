package ferrydocument_test

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/jonboulle/clockwork"
	"gotest.tools/v3/assert"

	"cactusferry.dev/ferry/ferrydocument"
	"cactusferry.dev/ferry/ferryid"
	"cactusferry.dev/ferry/ferryplatform"
	"cactusferry.dev/ferry/ferryplatform/ferryplatformtest"
)

// watchedHolder is a holder with a running watcher.
type watchedHolder struct {
	clock   clockwork.Clock
	store   *ferryplatformtest.Fake
	holder  *ferrydocument.Holder
	watcher *ferrydocument.Watcher
	updates *ferrydocument.Subscription
	stop    func() error
}

func startWatcher(t *testing.T) *watchedHolder {
	clock := clockwork.NewRealClock()
	w := &watchedHolder{clock: clock, store: ferryplatformtest.New(clock), holder: ferrydocument.NewHolder(clock, nil)}
	w.watcher = ferrydocument.NewWatcher(ferrydocument.WatcherConfig{Store: w.store, Holder: w.holder, Clock: clock, Seed: 1})
	w.updates = w.holder.Subscribe()
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan error, 1)
	go func() { done <- w.watcher.Run(ctx) }()
	w.stop = func() error { cancel(); return <-done }
	return w
}

// apply applies a text through another entry.
func (w *watchedHolder) apply(t *testing.T, team string, base ferryid.Generation) {
	t.Helper()
	_, err := ferrydocument.Apply(t.Context(), w.store, w.clock, request(team, base))
	assert.NilError(t, err)
}

func (w *watchedHolder) generation() ferryid.Generation {
	f, ok := w.holder.Get("parlour-api")
	if !ok {
		return 0
	}
	return f.Accepted.Generation
}

func TestWatcherFollowsTheStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := startWatcher(t)
		w.apply(t, "one", 0)
		w.watcher.SetWatching(true)
		<-w.updates.Ready()
		assert.Equal(t, w.generation(), ferryid.Generation(1))
		w.apply(t, "two", 1)
		<-w.updates.Ready()
		assert.Equal(t, w.generation(), ferryid.Generation(2))
		assert.Assert(t, errors.Is(w.stop(), context.Canceled))
	})
}

func TestWatcherRecoversAfterOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := startWatcher(t)
		w.apply(t, "one", 0)
		w.watcher.SetWatching(true)
		<-w.updates.Ready()
		w.store.SetFaults(ferryplatformtest.Faults{Outage: true})
		for w.store.Calls().List < 3 {
			time.Sleep(30 * time.Second)
		}
		assert.Equal(t, w.generation(), ferryid.Generation(1), "the document is no longer in force after an outage")
		w.store.SetFaults(ferryplatformtest.Faults{})
		w.apply(t, "two", 1)
		<-w.updates.Ready()
		assert.Equal(t, w.generation(), ferryid.Generation(2))
		assert.Assert(t, errors.Is(w.stop(), context.Canceled))
	})
}

// signalingStore is a store that signals the begin and the end of each watch.
type signalingStore struct {
	ferryplatform.Store
	began, ended chan struct{}
}

func (s signalingStore) Watch(ctx context.Context, kind string, after ferryplatform.Version, wait time.Duration) (ferryplatform.Changes, error) {
	s.began <- struct{}{}
	defer func() { s.ended <- struct{}{} }()
	return s.Store.Watch(ctx, kind, after, wait)
}

func TestWatcherStopsWatchingAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		clock := clockwork.NewRealClock()
		store := signalingStore{ferryplatformtest.New(clock), make(chan struct{}, 9), make(chan struct{}, 9)}
		h := ferrydocument.NewHolder(clock, nil)
		w := ferrydocument.NewWatcher(ferrydocument.WatcherConfig{Store: store, Holder: h, Clock: clock})
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan error, 1)
		go func() { done <- w.Run(ctx) }()
		w.SetWatching(true)
		<-store.began
		w.SetWatching(false)
		<-store.ended
		_, err := ferrydocument.Apply(t.Context(), store, clock, request("one", 0))
		assert.NilError(t, err)
		assert.Equal(t, h.Len(), 0)
		w.SetWatching(true)
		<-store.began
		assert.Equal(t, h.Len(), 1)
		cancel()
		assert.Assert(t, errors.Is(<-done, context.Canceled))
	})
}

func TestWatcherRepairsRolledBackStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := startWatcher(t)
		w.apply(t, "one", 0)
		w.store.Snapshot()
		w.apply(t, "two", 1)
		w.watcher.SetWatching(true)
		<-w.updates.Ready()
		assert.Equal(t, w.generation(), ferryid.Generation(2))
		assert.Assert(t, w.store.Restore())
		// The watch returns a lower version, the list finds the rollback, and the repair shows up in a second
		// watch.
		changes, err := w.store.Watch(t.Context(), "services", 1, time.Minute)
		assert.NilError(t, err)
		assert.Equal(t, changes.Objects[0].Version, ferryplatform.Version(2))
		assert.Equal(t, w.generation(), ferryid.Generation(2))
		assert.Assert(t, errors.Is(w.stop(), context.Canceled))
	})
}
