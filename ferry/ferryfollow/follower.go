package ferryfollow

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/rs/zerolog"

	"cactusferry.dev/ferry/ferryplatform"
)

const (
	minBackoff = 100 * time.Millisecond
	maxBackoff = time.Second // instances register again within 2 s after an outage
	// watchGrace is the time beyond its wait after which an unanswered watch times out.
	watchGrace = 700 * time.Millisecond
	// listTimeout is the timeout of a list, which is read in pages.
	listTimeout = 3 * time.Second
)

// Source reads objects from the platform or through another entry.
type Source interface {
	// List returns all objects of a kind.
	List(ctx context.Context, kind string) (ferryplatform.Changes, error)
	// Watch returns the changes to a kind after a version; it blocks until there is one or wait has passed.
	Watch(ctx context.Context, kind string, after ferryplatform.Version, wait time.Duration) (ferryplatform.Changes, error)
}

// Config configures a Follower; Source, Kind, Clock and Watcher are required.
type Config struct {
	Source Source
	Kind   string
	Clock  clockwork.Clock
	Log    zerolog.Logger
	// Wait is how long the platform may hold one watch; it delays the detection of a silent connection.
	Wait time.Duration
	// ChangePause is the pause after an answer with changes, which batches a quick series of changes.
	ChangePause time.Duration
	Watcher     Watcher
}

// Watcher receives the results of a Follower, from a single goroutine.
type Watcher interface {
	// Listed is called with all objects of the kind.
	Listed(ferryplatform.Changes)
	// Changed is called with the objects changed since the last answer, which may be none.
	Changed(ferryplatform.Changes)
	// Lost is called with the first error after which the view may be stale.
	Lost(error)
}

// Follower keeps the view of one kind current.
type Follower struct {
	cfg      Config
	after    ferryplatform.Version
	listed   bool
	lost     bool
	failures int
}

// New returns a Follower; Run starts it.
func New(cfg Config) *Follower {
	return &Follower{cfg: cfg}
}

// Run follows until the context ends.
func (f *Follower) Run(ctx context.Context) {
	for ctx.Err() == nil {
		changes, err := f.step(ctx)
		switch {
		case ctx.Err() != nil:
			return
		case err != nil:
			f.recordFailure(err)
			f.pause(ctx, f.backoff())
			continue
		}
		f.recordSuccess()
		if changes > 0 {
			f.pause(ctx, f.cfg.ChangePause)
		}
	}
}

// step makes one call, passes its result to the watcher and returns the number of changed objects.
func (f *Follower) step(ctx context.Context) (int, error) {
	if !f.listed {
		return f.list(ctx)
	}
	return f.watch(ctx)
}

func (f *Follower) list(ctx context.Context) (int, error) {
	ctx, cancel := clockwork.WithTimeout(ctx, f.cfg.Clock, listTimeout)
	defer cancel()
	changes, err := f.cfg.Source.List(ctx, f.cfg.Kind)
	if err != nil {
		return 0, err
	}
	f.after, f.listed = changes.Version, true
	f.cfg.Log.Info().Str("Kind", f.cfg.Kind).Int("Objects", len(changes.Objects)).Uint64("Version", changes.Version.Revision()).Uint16("Epoch", uint16(changes.Version.Epoch())).Msg("platform objects listed")
	f.cfg.Watcher.Listed(changes)
	return len(changes.Objects), nil
}

func (f *Follower) watch(ctx context.Context) (int, error) {
	ctx, cancel := clockwork.WithTimeout(ctx, f.cfg.Clock, f.cfg.Wait+watchGrace)
	defer cancel()
	changes, err := f.cfg.Source.Watch(ctx, f.cfg.Kind, f.after, f.cfg.Wait)
	if err != nil {
		return 0, err
	}
	if changes.Version < f.after {
		return 0, &ferryplatform.HistoryGoneError{Kind: f.cfg.Kind, After: f.after}
	}
	f.after = changes.Version
	f.cfg.Watcher.Changed(changes)
	return len(changes.Objects), nil
}

// recordFailure records a failed call. If the platform no longer has the history, the next step lists and the
// view does not count as lost.
func (f *Follower) recordFailure(err error) {
	f.failures++
	var gone *ferryplatform.HistoryGoneError
	if errors.As(err, &gone) {
		f.listed = false
		f.failures = 0
		f.cfg.Log.Info().Err(err).Msg("watch history expired: listing again")
		return
	}
	if f.lost {
		return
	}
	f.lost = true
	f.cfg.Log.Warn().Err(err).Str("Kind", f.cfg.Kind).Msg("read from the platform failed: view may be stale")
	f.cfg.Watcher.Lost(err)
}

func (f *Follower) recordSuccess() {
	f.failures = 0
	if f.lost {
		f.lost = false
		f.cfg.Log.Info().Str("Kind", f.cfg.Kind).Uint64("Version", f.after.Revision()).Uint16("Epoch", uint16(f.after.Epoch())).Msg("platform reachable again: view is current")
	}
}

// backoff returns the wait after consecutive failures; it grows exponentially and has jitter.
func (f *Follower) backoff() time.Duration {
	if f.failures == 0 {
		return 0
	}
	limit := min(minBackoff<<min(f.failures-1, 8), maxBackoff)
	return limit/2 + time.Duration(rand.Int64N(int64(limit/2)))
}

func (f *Follower) pause(ctx context.Context, d time.Duration) {
	if d <= 0 {
		return
	}
	select {
	case <-ctx.Done():
	case <-f.cfg.Clock.After(d):
	}
}
