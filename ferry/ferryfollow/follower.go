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
	maxBackoff = time.Second // entries of instances come back within 2 s of the platform's return
	// answerGrace is how much later than its wait a watch is answered before its connection counts as silent.
	answerGrace = 700 * time.Millisecond
	// firstTimeout bounds a list, which is read by pages.
	firstTimeout = 3 * time.Second
)

// Source is where objects are read: the platform, or an entry that reads it for others.
type Source interface {
	// List returns all objects of a kind.
	List(ctx context.Context, kind string) (ferryplatform.Changes, error)
	// Watch waits until objects of a kind change after a version, or until the wait is over.
	Watch(ctx context.Context, kind string, after ferryplatform.Version, wait time.Duration) (ferryplatform.Changes, error)
}

// Config says what a Follower follows and who hears of it; Source, Kind, Clock and Watcher must be set.
type Config struct {
	Source Source
	Kind   string
	Clock  clockwork.Clock
	Log    zerolog.Logger
	// Wait is how long the platform may hold one watch; a silent connection is noticed that late.
	Wait time.Duration
	// Pace is the pause after an answer with changes, so that a quick series of them costs few calls.
	Pace    time.Duration
	Watcher Watcher
}

// Watcher hears what a Follower sees, from one goroutine.
type Watcher interface {
	// Listed brings all objects of the kind.
	Listed(ferryplatform.Changes)
	// Changed brings the objects that changed since the last answer; there may be none.
	Changed(ferryplatform.Changes)
	// Lost says that the view may be out of date from now on.
	Lost(error)
}

// Follower follows one kind.
type Follower struct {
	cfg      Config
	after    ferryplatform.Version
	listed   bool
	lost     bool
	failures int
}

// New returns a follower that does nothing until Run.
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
			f.fail(err)
			f.pause(ctx, f.backoff())
			continue
		}
		f.regained()
		if changes > 0 {
			f.pause(ctx, f.cfg.Pace)
		}
	}
}

// step makes one call and hands on what it brought; it returns the number of changes.
func (f *Follower) step(ctx context.Context) (int, error) {
	if !f.listed {
		return f.list(ctx)
	}
	return f.watch(ctx)
}

func (f *Follower) list(ctx context.Context) (int, error) {
	ctx, cancel := clockwork.WithTimeout(ctx, f.cfg.Clock, firstTimeout)
	defer cancel()
	changes, err := f.cfg.Source.List(ctx, f.cfg.Kind)
	if err != nil {
		return 0, err
	}
	f.after, f.listed = changes.Version, true
	f.cfg.Log.Info().Str("Kind", f.cfg.Kind).Int("Objects", len(changes.Objects)).Uint64("Version", uint64(changes.Version)).Msg("listed")
	f.cfg.Watcher.Listed(changes)
	return len(changes.Objects), nil
}

func (f *Follower) watch(ctx context.Context) (int, error) {
	ctx, cancel := clockwork.WithTimeout(ctx, f.cfg.Clock, f.cfg.Wait+answerGrace)
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

// fail notes a failed call; when the history is gone the next step lists, and nothing counts as lost for that.
func (f *Follower) fail(err error) {
	f.failures++
	var gone *ferryplatform.HistoryGoneError
	if errors.As(err, &gone) {
		f.listed = false
		f.failures = 0
		f.cfg.Log.Info().Err(err).Msg("list again")
		return
	}
	if f.lost {
		return
	}
	f.lost = true
	f.cfg.Log.Warn().Err(err).Str("Kind", f.cfg.Kind).Msg("platform lost")
	f.cfg.Watcher.Lost(err)
}

func (f *Follower) regained() {
	f.failures = 0
	if f.lost {
		f.lost = false
		f.cfg.Log.Info().Str("Kind", f.cfg.Kind).Uint64("Version", uint64(f.after)).Msg("platform regained")
	}
}

// backoff grows with the failures in a row and differs between entries.
func (f *Follower) backoff() time.Duration {
	if f.failures == 0 {
		return 0
	}
	most := min(minBackoff<<min(f.failures-1, 8), maxBackoff)
	return most/2 + time.Duration(rand.Int64N(int64(most/2)))
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
