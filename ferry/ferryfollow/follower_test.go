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

// record notes what a watcher heard.
type record struct {
	mu    sync.Mutex
	lines []string
}

func (r *record) add(format string, args ...any) {
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

func (r *record) Listed(c ferryplatform.Changes) { r.add("listed %s", names(c)) }

func (r *record) Changed(c ferryplatform.Changes) {
	if len(c.Objects) > 0 {
		r.add("changed %s", names(c))
	}
}

func (r *record) Lost(error) { r.add("lost") }

func (r *record) heard() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := strings.Join(r.lines, ", ")
	r.lines = nil
	return out
}

// forgetful drops its history on demand, and may never answer a watch.
type forgetful struct {
	*ferryplatformtest.Fake
	mu     sync.Mutex
	gone   bool
	silent bool
}

func (f *forgetful) set(gone, silent bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.gone, f.silent = gone, silent
}

func (f *forgetful) Watch(ctx context.Context, kind string, after ferryplatform.Version, wait time.Duration) (ferryplatform.Changes, error) {
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

func follow(t *testing.T) (*forgetful, *record, func(name string)) {
	t.Helper()
	clock := clockwork.NewRealClock()
	f := &forgetful{Fake: ferryplatformtest.New(clock)}
	r := &record{}
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
		New(Config{Source: f, Kind: "k", Clock: clock, Log: zerolog.Nop(), Wait: 3 * time.Second, Pace: 500 * time.Millisecond, Watcher: r}).Run(ctx)
	}()
	t.Cleanup(func() {
		cancel()
		<-done
	})
	return f, r, put
}

func TestSeriesOfChangesComeTogether(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, r, put := follow(t)
		time.Sleep(time.Second)
		assert.Equal(t, r.heard(), "listed a")
		before := f.Calls().Watch
		put("b")
		synctest.Wait()
		assert.Equal(t, r.heard(), "changed b", "the first change is heard at once")
		for i := range 5 {
			put(fmt.Sprintf("c%d", i))
			time.Sleep(50 * time.Millisecond)
		}
		time.Sleep(500 * time.Millisecond)
		assert.Equal(t, r.heard(), "changed c0 c1 c2 c3 c4")
		assert.Assert(t, f.Calls().Watch-before <= 3, "%d watches for six changes", f.Calls().Watch-before)
	})
}

func TestLostHistoryIsListedAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, r, put := follow(t)
		time.Sleep(time.Second)
		r.heard()
		f.set(true, false)
		put("b")
		time.Sleep(5 * time.Second)
		assert.Equal(t, r.heard(), "changed b, listed a b", "a dropped history is no loss of the platform")
	})
}

func TestASilentWatchIsNoticed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, r, put := follow(t)
		time.Sleep(time.Second)
		r.heard()
		f.set(false, true)
		time.Sleep(2500 * time.Millisecond) // the watch that still answers ends
		put("b")
		time.Sleep(3500 * time.Millisecond)
		assert.Equal(t, r.heard(), "")
		time.Sleep(500 * time.Millisecond)
		assert.Equal(t, r.heard(), "lost")
		f.set(false, false)
		time.Sleep(5 * time.Second)
		assert.Equal(t, r.heard(), "changed b", "and nothing was missed")
	})
}

func TestAnOutageCostsFewCallsAndEndsSoon(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, r, _ := follow(t)
		time.Sleep(time.Second)
		r.heard()
		f.SetFaults(ferryplatformtest.Faults{Outage: true})
		before := f.Calls().Total()
		time.Sleep(20 * time.Second)
		assert.Equal(t, r.heard(), "lost", "the loss is told once")
		calls := f.Calls().Total() - before
		assert.Assert(t, calls < 60, "%d calls in 20 s", calls)
		f.SetFaults(ferryplatformtest.Faults{})
		_, err := f.Put(t.Context(), "k", "b", ferryplatform.NoVersion, []byte("x"))
		assert.NilError(t, err)
		time.Sleep(1500 * time.Millisecond)
		assert.Equal(t, r.heard(), "changed b")
	})
}
