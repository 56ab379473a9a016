package ferryrelay

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"cactusferry.dev/ferry/ferryid"
	"cactusferry.dev/ferry/ferryplatform"
)

// followUntil watches at an entry until it has received a value and returns when that was, since the fleet was made.
func (f *fleet) followUntil(t *testing.T, name ferryid.EntryName, after ferryplatform.Version, want string) time.Duration {
	t.Helper()
	for time.Since(f.started) < time.Minute {
		ctx, cancel := context.WithTimeout(t.Context(), 13*time.Second)
		c, err := f.relays[name].Watch(ctx, "k", after, 12*time.Second)
		cancel()
		var gone *ferryplatform.HistoryGoneError
		if errors.As(err, &gone) {
			c, err = f.relays[name].List(t.Context(), "k")
		}
		if err != nil {
			time.Sleep(100 * time.Millisecond)
			continue
		}
		if strings.Contains(text(c), want) {
			return time.Since(f.started)
		}
		after = c.Version
	}
	return time.Since(f.started)
}

// TestDirectWatchEndsWhenAReaderAnswers has an entry start a direct watch that goes silent: after its reader closed the
// connection, while its reader has not read the kind yet, and while the entry is the reader itself. A later change
// must arrive through the reader before the direct watch times out.
func TestDirectWatchEndsWhenAReaderAnswers(t *testing.T) {
	const within = 2 * time.Second
	for _, tt := range []struct {
		name          string
		begin, settle func(t *testing.T, f *fleet)
	}{
		{"reader closed the connection", func(_ *testing.T, f *fleet) { f.closed["a"] = true }, func(_ *testing.T, f *fleet) { f.change(func() { f.closed["a"] = false }) }},
		{"reader had not read the kind", func(_ *testing.T, f *fleet) { f.reader = "c" }, func(t *testing.T, f *fleet) { f.list(t, "c") }},
		{"reader changed", func(_ *testing.T, f *fleet) { f.reader = "b" }, func(_ *testing.T, f *fleet) { f.change(func() { f.reader = "a" }) }},
	} {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFleet("a", "b", "c")
				f.reader = "a"
				f.put(t, "x", "1")
				f.list(t, "a")
				after := f.list(t, "b").Version
				tt.begin(t, f)
				f.links["b"].setSilent(true)
				arrived := make(chan time.Duration, 1)
				go func() { arrived <- f.followUntil(t, "b", after, "x=2") }()
				time.Sleep(500 * time.Millisecond)
				tt.settle(t, f)
				time.Sleep(time.Second) // a reader that closed the connection is asked again
				_, _, err := f.relays[f.reader].Prove(t.Context(), "k", "x")
				assert.NilError(t, err)
				_, _, err = f.relays["b"].Prove(t.Context(), "k", "x")
				assert.NilError(t, err)
				f.put(t, "x", "2")
				f.list(t, f.reader)
				changed := time.Since(f.started)
				assert.Assert(t, <-arrived-changed <= within)
			})
		})
	}
}

// TestSoundDirectWatchIsKept has an entry read directly for a minute. Its watch must not be started again before it ends,
// which it does once for each proof that the entry owes to those that read through it.
func TestSoundDirectWatchIsKept(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet("a", "b")
		f.put(t, "x", "1")
		after := f.list(t, "a").Version
		f.calls("a")
		for began := time.Now(); time.Since(began) < time.Minute; {
			_, err := f.relays["a"].Watch(t.Context(), "k", after, 12*time.Second)
			assert.NilError(t, err)
		}
		proofs := int((time.Minute + f.relays["a"].ProofInterval("k") - 1) / f.relays["a"].ProofInterval("k"))
		assert.Equal(t, f.calls("a"), proofs)
	})
}

// TestFleetThatStartsReadsOnce has 60 entries start at the same time. Those that do not read for the others wait for
// the one that does, unless it does not read in time.
func TestFleetThatStartsReadsOnce(t *testing.T) {
	for _, tt := range []struct {
		name      string
		readAfter time.Duration
		calls     int
	}{
		{"reader in time", startWait / 2, 0},
		{"reader too late", 2 * startWait, 2},
	} {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var names []ferryid.EntryName
				for i := range 60 {
					names = append(names, ferryid.EntryName(fmt.Sprint("e", i)))
				}
				f := newFleet(names...)
				f.reader = "e0"
				f.put(t, "x", "1")
				start := func(name ferryid.EntryName) {
					assert.Equal(t, text(f.list(t, name)), "x=1")
					_, _, err := f.relays[name].Prove(t.Context(), "k", "x")
					assert.NilError(t, err)
				}
				var wg sync.WaitGroup
				for _, name := range names[1:] {
					wg.Go(func() { start(name) })
				}
				time.Sleep(tt.readAfter)
				start("e0")
				wg.Wait()
				for _, name := range names[1:] {
					assert.Assert(t, f.calls(name) <= tt.calls, "%s", name)
				}
			})
		})
	}
}
