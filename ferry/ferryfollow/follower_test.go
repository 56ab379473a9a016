package ferryfollow

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"cactusferry.dev/ferry/ferryplatform"
	"cactusferry.dev/ferry/ferryplatform/ferryplatformtest"
)

// recorder is a Watcher that records its calls.
type recorder struct {
	mu    sync.Mutex
	lines []string
}

func (r *recorder) add(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lines = append(r.lines, fmt.Sprintf(format, args...))
}

func names(c ferryplatform.Changes) string {
	var out []string
	for _, o := range c.Objects {
		name := o.Name
		if o.Deleted {
			name = "-" + name
		}
		out = append(out, name)
	}
	return strings.Join(out, " ")
}

func (r *recorder) Listed(c ferryplatform.Changes) { r.add("listed %s", names(c)) }

func (r *recorder) Changed(c ferryplatform.Changes) {
	if len(c.Objects) > 0 {
		r.add("changed %s", names(c))
	}
}

func (r *recorder) Lost(error) { r.add("lost") }

func (r *recorder) take() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := strings.Join(r.lines, ", ")
	r.lines = nil
	return out
}

// faultySource is a platform that on demand loses its history once or leaves watches unanswered.
type faultySource struct {
	*ferryplatformtest.Fake
	mu     sync.Mutex
	gone   bool
	silent bool
}

func (f *faultySource) set(gone, silent bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.gone, f.silent = gone, silent
}

func (f *faultySource) Watch(ctx context.Context, kind string, after ferryplatform.Version, wait time.Duration) (ferryplatform.Changes, error) {
	f.mu.Lock()
	gone, silent := f.gone, f.silent
	f.gone = false
	f.mu.Unlock()
	if gone {
		return ferryplatform.Changes{}, &ferryplatform.HistoryGoneError{Kind: kind, After: after}
	}
	if silent {
		<-ctx.Done()
		return ferryplatform.Changes{}, &ferryplatform.UnavailableError{Op: "watch", Err: context.Cause(ctx)}
	}
	return f.Fake.Watch(ctx, kind, after, wait)
}

func startFollower(t *testing.T) (*faultySource, *recorder, func(name string)) {
	t.Helper()
	clock := clockwork.NewRealClock()
	f := &faultySource{Fake: ferryplatformtest.New(clock)}
	r := &recorder{}
	put := func(name string) {
		t.Helper()
		_, err := f.Put(t.Context(), "k", name, ferryplatform.NoVersion, []byte("x"))
		assert.NilError(t, err)
	}
	put("a")
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() {
		defer close(done)
		New(Config{Source: f, Kind: "k", Clock: clock, Log: zerolog.Nop(), Wait: 3 * time.Second, ChangePause: 500 * time.Millisecond, Watcher: r}).Run(ctx)
	}()
	t.Cleanup(func() {
		cancel()
		<-done
	})
	return f, r, put
}

func TestChangesAreBatched(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, r, put := startFollower(t)
		time.Sleep(time.Second)
		assert.Equal(t, r.take(), "listed a")
		before := f.Calls().Watch
		put("b")
		synctest.Wait()
		assert.Equal(t, r.take(), "changed b", "first change delayed")
		for i := range 5 {
			put(fmt.Sprintf("c%d", i))
			time.Sleep(50 * time.Millisecond)
		}
		time.Sleep(500 * time.Millisecond)
		assert.Equal(t, r.take(), "changed c0 c1 c2 c3 c4")
		assert.Assert(t, f.Calls().Watch-before <= 3, "%d watches for six changes", f.Calls().Watch-before)
	})
}

func TestExpiredHistoryIsListedAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, r, put := startFollower(t)
		time.Sleep(time.Second)
		r.take()
		f.set(true, false)
		put("b")
		time.Sleep(5 * time.Second)
		assert.Equal(t, r.take(), "changed b, listed a b", "expired history reported as loss of the platform")
	})
}

func TestSilentWatchTimesOut(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, r, put := startFollower(t)
		time.Sleep(time.Second)
		r.take()
		f.set(false, true)
		time.Sleep(2500 * time.Millisecond) // lets the watch that is still answered end
		put("b")
		time.Sleep(3500 * time.Millisecond)
		assert.Equal(t, r.take(), "")
		time.Sleep(500 * time.Millisecond)
		assert.Equal(t, r.take(), "lost")
		f.set(false, false)
		time.Sleep(5 * time.Second)
		assert.Equal(t, r.take(), "changed b", "change missed during the silent watch")
	})
}

func TestOutageCausesFewCalls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, r, _ := startFollower(t)
		time.Sleep(time.Second)
		r.take()
		f.SetFaults(ferryplatformtest.Faults{Outage: true})
		before := f.Calls().Total()
		time.Sleep(20 * time.Second)
		assert.Equal(t, r.take(), "lost", "loss not reported exactly once")
		calls := f.Calls().Total() - before
		assert.Assert(t, calls < 60, "%d calls in 20 s", calls)
		f.SetFaults(ferryplatformtest.Faults{})
		_, err := f.Put(t.Context(), "k", "b", ferryplatform.NoVersion, []byte("x"))
		assert.NilError(t, err)
		time.Sleep(1500 * time.Millisecond)
		assert.Equal(t, r.take(), "changed b")
	})
}
