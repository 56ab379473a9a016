package ferryrelay

import (
	"context"
	"errors"
	"fmt"
	"strconv"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"cactusferry.dev/ferry/ferryfollow"
	"cactusferry.dev/ferry/ferryid"
	"cactusferry.dev/ferry/ferryplatform"
)

// settled is how long an entry's way to the platform must have been sound before its view is judged.
const settled = 3 * time.Second

// faultyLink is a Store behind connections that can fail.
type faultyLink struct {
	ferryplatform.Store

	mu sync.Mutex
	// cut calls get no answer, refused ones fail at once.
	cut, refused bool
	// epoch counts the moments at which all open connections fell silent, and idle holds the epochs in which the idle
	// connections were opened.
	epoch int
	idle  []int
	// soundSince is the end of the last fault.
	soundSince time.Time
	calls      int
}

func (l *faultyLink) call(ctx context.Context, do func() error) error {
	l.mu.Lock()
	l.calls++
	epoch, cut, refused := l.epoch, l.cut, l.refused
	if n := len(l.idle); n > 0 {
		epoch, l.idle = l.idle[n-1], l.idle[:n-1]
	}
	l.mu.Unlock()
	if refused {
		return &ferryplatform.UnavailableError{Op: "call", Err: errors.New("refused")}
	}
	var err error
	if !cut {
		err = do()
	}
	l.mu.Lock()
	lost := cut || l.cut || l.epoch != epoch
	if !lost {
		l.idle = append(l.idle, epoch)
	}
	l.mu.Unlock()
	if lost {
		<-ctx.Done()
		return &ferryplatform.UnavailableError{Op: "call", Err: context.Cause(ctx)}
	}
	return err
}

func (l *faultyLink) Get(ctx context.Context, kind, name string) (o ferryplatform.Object, err error) {
	err = l.call(ctx, func() (err error) {
		o, err = l.Store.Get(ctx, kind, name)
		return err
	})
	return o, err
}

func (l *faultyLink) List(ctx context.Context, kind string) (c ferryplatform.Changes, err error) {
	err = l.call(ctx, func() (err error) {
		c, err = l.Store.List(ctx, kind)
		return err
	})
	return c, err
}

func (l *faultyLink) Watch(ctx context.Context, kind string, after ferryplatform.Version, wait time.Duration) (c ferryplatform.Changes, err error) {
	err = l.call(ctx, func() (err error) {
		c, err = l.Store.Watch(ctx, kind, after, wait)
		return err
	})
	return c, err
}

func (l *faultyLink) Epoch() (ferryplatform.Epoch, bool) { return 0, false }

func (l *faultyLink) Renew() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.idle = nil
}

func (l *faultyLink) set(change func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	change()
	l.soundSince = time.Now()
}

// sound reports whether the link has been sound for the time after which its entry is judged.
func (l *faultyLink) sound() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return !l.cut && !l.refused && time.Since(l.soundSince) >= settled
}

func (l *faultyLink) takeCalls() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	n := l.calls
	l.calls = 0
	return n
}

// follower records the latest value that its entry has learned.
type follower struct {
	mu    sync.Mutex
	value int
	lost  int
}

func (w *follower) Listed(c ferryplatform.Changes) { w.Changed(c) }

func (w *follower) Lost(error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.lost++
}

func (w *follower) losses() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.lost
}

func (w *follower) Changed(c ferryplatform.Changes) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, o := range c.Objects {
		if n, err := strconv.Atoi(string(o.Value)); err == nil {
			w.value = max(w.value, n)
		}
	}
}

func (w *follower) get() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.value
}

// followedFleet is a fleet whose entries follow one object, which an operator changes.
type followedFleet struct {
	*fleet
	store     map[ferryid.EntryName]*faultyLink
	followers map[ferryid.EntryName]*follower
	// acked holds when each value was accepted.
	acked []time.Time
}

func followFleet(ctx context.Context, t *testing.T, names ...ferryid.EntryName) *followedFleet {
	t.Helper()
	f := &followedFleet{fleet: newFleet(names...), store: map[ferryid.EntryName]*faultyLink{}, followers: map[ferryid.EntryName]*follower{}}
	f.reader = names[0]
	f.write(t)
	for _, name := range names {
		l := &faultyLink{Store: f.platform, soundSince: time.Now().Add(-settled)}
		w := &follower{}
		f.store[name], f.followers[name] = l, w
		f.links[name].RemoteStore = l
		go ferryfollow.New(ferryfollow.Config{
			Source: f.relays[name], Kind: "k", Clock: clockwork.NewRealClock(), Log: zerolog.Nop(), Wait: 3 * time.Second,
			ChangePause: 300 * time.Millisecond, Watcher: w,
		}).Run(ctx)
	}
	return f
}

// write changes the object to the next value.
func (f *followedFleet) write(t *testing.T) {
	t.Helper()
	f.put(t, "x", strconv.Itoa(len(f.acked)))
	f.acked = append(f.acked, time.Now())
}

// check returns an error if an entry with a sound way to the platform does not know a value that was accepted longer
// ago than it may take.
func (f *followedFleet) check() error {
	due := -1
	for n, at := range f.acked {
		if time.Since(at) >= defaultWithin {
			due = n
		}
	}
	for name, w := range f.followers {
		if f.store[name].sound() && w.get() < due {
			return fmt.Errorf("%s after the start, entry %s knows %d, %d was accepted %s ago", time.Since(f.started), name, w.get(), due, time.Since(f.acked[due]))
		}
	}
	return nil
}

// fault is a disruption of the entry that the others read from, or of the whole fleet.
type fault struct {
	name       string
	begin, end func(f *followedFleet)
}

func setLink(name ferryid.EntryName, change func(l *faultyLink)) func(f *followedFleet) {
	return func(f *followedFleet) {
		l := f.store[name]
		l.set(func() { change(l) })
	}
}

func setFleet(change func(f *followedFleet)) func(f *followedFleet) {
	return func(f *followedFleet) { f.change(func() { change(f) }) }
}

// silenceConnections makes the open connections to the platform silent for good; new ones work.
func silenceConnections(f *followedFleet) {
	for _, l := range f.store {
		l.set(func() { l.epoch++ })
	}
}

func readerFaults() []fault {
	nothing := func(*followedFleet) {}
	return []fault{
		{"reader cut", setLink("a", func(l *faultyLink) { l.cut, l.epoch = true, l.epoch+1 }), setLink("a", func(l *faultyLink) { l.cut = false })},
		{"reader refused", setLink("a", func(l *faultyLink) { l.refused = true }), setLink("a", func(l *faultyLink) { l.refused = false })},
		{"other reader cut", setLink("b", func(l *faultyLink) { l.cut, l.epoch = true, l.epoch+1 }), setLink("b", func(l *faultyLink) { l.cut = false })},
		{"reader mute", setFleet(func(f *followedFleet) { f.unresponsive["a"] = true }), setFleet(func(f *followedFleet) { f.unresponsive["a"] = false })},
		{"reader closed", setFleet(func(f *followedFleet) { f.closed["a"] = true }), setFleet(func(f *followedFleet) { f.closed["a"] = false })},
		{"reader changed", setFleet(func(f *followedFleet) { f.reader = "b" }), setFleet(func(f *followedFleet) { f.reader = "a" })},
		{"no reader", setFleet(func(f *followedFleet) { f.reader = "" }), setFleet(func(f *followedFleet) { f.reader = "a" })},
		{"connections silent", silenceConnections, nothing},
		{"none", nothing, nothing},
	}
}

// TestNoViewIsOlderThanItsObjective plays every pair of faults of the entry that the others read from, at several
// distances. Entries that reach the platform all the while must know each change in time, and an old view must not
// count as current because a reader that lost the platform silently has not noticed yet.
func TestNoViewIsOlderThanItsObjective(t *testing.T) {
	const (
		lasting = 4 * time.Second
		length  = 13 * time.Second
		step    = 50 * time.Millisecond
	)
	for _, first := range readerFaults() {
		for _, second := range readerFaults() {
			for _, gap := range []time.Duration{0, 400 * time.Millisecond, 1200 * time.Millisecond} {
				for _, every := range []time.Duration{350 * time.Millisecond, 1900 * time.Millisecond} {
					t.Run(fmt.Sprintf("%s, %s %s later, changes every %s", first.name, second.name, gap, every), func(t *testing.T) {
						synctest.Test(t, func(t *testing.T) {
							ctx, cancel := context.WithCancel(t.Context())
							defer cancel()
							f := followFleet(ctx, t, "a", "b", "c", "d")
							events := map[time.Duration][]func(*followedFleet){}
							at := 3 * time.Second
							events[at] = append(events[at], first.begin)
							events[at+gap] = append(events[at+gap], second.begin)
							events[at+lasting] = append(events[at+lasting], first.end)
							events[at+gap+lasting] = append(events[at+gap+lasting], second.end)
							for now := time.Duration(0); now < length; now += step {
								for _, event := range events[now] {
									event(f)
								}
								if now%every == 0 {
									f.write(t)
								}
								time.Sleep(step)
								assert.NilError(t, f.check())
							}
						})
					})
				}
			}
		}
	}
}

// TestListOfALostPlatformDoesNotOutlastItsReturn cuts an entry off for all lengths of time, until it can only list, and changes the object at the
// end of the cut.
func TestListOfALostPlatformDoesNotOutlastItsReturn(t *testing.T) {
	for lasting := 3 * time.Second; lasting < 12*time.Second; lasting += 150 * time.Millisecond {
		t.Run(lasting.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				f := followFleet(ctx, t, "a", "b")
				time.Sleep(2 * time.Second)
				f.store["b"].set(func() { f.store["b"].cut, f.store["b"].epoch = true, 1 })
				f.change(func() { f.reader = "b" })
				time.Sleep(lasting)
				f.store["b"].set(func() { f.store["b"].cut = false })
				f.write(t)
				time.Sleep(settled)
				assert.NilError(t, f.check())
			})
		})
	}
}

// TestOutageCausesNoStorm takes the platform away from a whole fleet in silence. The entries must call it seldom
// meanwhile, and know of a change in time once it is back.
func TestOutageCausesNoStorm(t *testing.T) {
	const (
		entries = 40
		outage  = 20 * time.Second
		// perSecond is the most that each entry may call, so that 350 of them stay far below what a platform answers.
		perSecond = 0.5
	)
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		var names []ferryid.EntryName
		for i := range entries {
			names = append(names, ferryid.EntryName(fmt.Sprint("e", i)))
		}
		f := followFleet(ctx, t, names...)
		time.Sleep(5 * time.Second)
		total := func() (n int) {
			for _, l := range f.store {
				n += l.takeCalls()
			}
			return n
		}
		total()
		for _, l := range f.store {
			l.set(func() { l.cut, l.epoch = true, l.epoch+1 })
		}
		time.Sleep(outage)
		calls := total()
		assert.Assert(t, float64(calls) <= perSecond*entries*outage.Seconds(), "%d calls in %s", calls, outage)
		for _, l := range f.store {
			l.set(func() { l.cut = false })
		}
		f.write(t)
		time.Sleep(settled + defaultWithin)
		assert.NilError(t, f.check())
		calls = total()
		assert.Assert(t, calls <= 4*entries, "%d calls after the outage", calls)
	})
}

// TestSilentConnectionsAreNoOutage silences the open connections of a whole fleet. New ones work, so that no entry may
// count the platform as lost: upstreams that vanish during an outage are used for two seconds longer.
func TestSilentConnectionsAreNoOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		f := followFleet(ctx, t, "a", "b", "c")
		for range 5 {
			time.Sleep(2300 * time.Millisecond)
			silenceConnections(f)
		}
		time.Sleep(2300 * time.Millisecond)
		for name, w := range f.followers {
			assert.Equal(t, w.losses(), 0, "entry %s", name)
		}
	})
}
