package ferryrelay

import (
	"context"
	"fmt"
	"io"
	"slices"
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
	"cactusferry.dev/ferry/ferrypeer"
	"cactusferry.dev/ferry/ferryplatform"
	"cactusferry.dev/ferry/ferryplatform/ferryplatformtest"
)

const (
	// backAfter is how long a process that has ended is gone.
	backAfter = 500 * time.Millisecond
	// relayedProofs is the interval of proofs of an entry that reads through another one.
	relayedProofs = 2 * time.Second
	// proofTries bounds one proof, and proofPause follows a failed one.
	proofTries, proofPause = 1500 * time.Millisecond, 500 * time.Millisecond
	// unseenEnd is how long the others take to notice an end that they were not told of.
	unseenEnd = 3 * time.Second
)

// published is what an entry has published about itself.
type published struct {
	at           time.Time
	incarnation  ferryid.Incarnation
	usable, live bool
}

// process is one process of an entry.
type process struct {
	ctx         context.Context // ends with the process
	end         context.CancelFunc
	incarnation ferryid.Incarnation
	relay       *Relay
	follower    *follower
	// ready is set once it knows a valid value, and stopping once its stop has begun.
	ready, stopping bool
}

// rollingFleet is a fleet of one failure domain whose entries are restarted. Its first usable entry reads for the others,
// as far as each of them knows.
type rollingFleet struct {
	t        *testing.T
	ctx      context.Context // ends with the test
	platform *ferryplatformtest.Fake
	names    []ferryid.EntryName
	store    map[ferryid.EntryName]*forgetfulLink
	// newsTakes is how long the others take to learn what an entry publishes.
	newsTakes time.Duration

	mu        sync.Mutex
	processes map[ferryid.EntryName]*process
	published map[ferryid.EntryName][]published
	starts    int
	version   ferryplatform.Version
	writes    int
	acked     map[int]time.Time
}

// forgetfulLink is a faultyLink to a platform that can drop the history of an object's changes.
type forgetfulLink struct {
	*faultyLink
	forgotten ferryplatform.Version
}

func (l *forgetfulLink) Watch(ctx context.Context, kind string, after ferryplatform.Version, wait time.Duration) (ferryplatform.Changes, error) {
	l.mu.Lock()
	forgotten := l.forgotten
	l.mu.Unlock()
	if after < forgotten {
		return ferryplatform.Changes{}, &ferryplatform.HistoryGoneError{Kind: kind, After: after}
	}
	return l.faultyLink.Watch(ctx, kind, after, wait)
}

func newRollingFleet(ctx context.Context, t *testing.T, newsTakes time.Duration, names ...ferryid.EntryName) *rollingFleet {
	t.Helper()
	f := &rollingFleet{
		t: t, ctx: ctx, platform: ferryplatformtest.New(clockwork.NewRealClock()), names: names, newsTakes: newsTakes,
		store: map[ferryid.EntryName]*forgetfulLink{}, processes: map[ferryid.EntryName]*process{}, published: map[ferryid.EntryName][]published{}, acked: map[int]time.Time{},
	}
	f.write()
	for _, name := range names {
		f.store[name] = &forgetfulLink{faultyLink: &faultyLink{Store: f.platform, soundSince: time.Now().Add(-settled)}}
		f.start(name)
	}
	return f
}

// write changes the object to the next value. Each fourth one is invalid, unless watches lag: what an invalid value has
// replaced meanwhile cannot be read.
func (f *rollingFleet) write() {
	f.writes++
	value := strconv.Itoa(f.writes)
	if f.writes%4 == 0 && f.platform.Faults().WatchLagMS == 0 {
		value = "invalid"
	}
	version, err := f.platform.Put(f.ctx, "k", "x", f.version, []byte(value))
	assert.NilError(f.t, err)
	f.version = version
	if value != "invalid" {
		f.acked[f.writes] = time.Now()
	}
}

func (f *rollingFleet) publish(name ferryid.EntryName, inc ferryid.Incarnation, usable, live bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.published[name] = append(f.published[name], published{time.Now(), inc, usable, live})
}

// known returns what an entry knows of another one, or of itself.
func (f *rollingFleet) known(viewer, name ferryid.EntryName) (out published) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, p := range f.published[name] {
		if viewer == name || time.Since(p.at) >= f.newsTakes {
			out = p
		}
	}
	return out
}

func (f *rollingFleet) readerOf(viewer ferryid.EntryName) (Reader, bool) {
	for _, usable := range []bool{true, false} {
		for _, name := range f.names {
			if p := f.known(viewer, name); p.live && p.usable == usable {
				return Reader{Name: name, Incarnation: p.incarnation}, name != viewer
			}
		}
	}
	return Reader{}, false
}

func (f *rollingFleet) process(name ferryid.EntryName) *process {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.processes[name]
}

// ask asks a process, which answers until it ends.
func (f *rollingFleet) ask(ctx context.Context, to ferryid.EntryName, inc ferryid.Incarnation, body []byte) ([]byte, error) {
	p := f.process(to)
	switch {
	case p == nil:
		return nil, io.EOF
	case p.incarnation != inc:
		return nil, &ferrypeer.GoneError{Name: to, Incarnation: inc}
	}
	type reply struct {
		body []byte
		err  error
	}
	replies := make(chan reply, 1)
	go func() {
		body, err := p.relay.Answer(p.ctx, ferrypeer.Member{}, body)
		replies <- reply{body, err}
	}()
	select {
	case <-ctx.Done():
		return nil, ctx.Err()
	case <-p.ctx.Done():
		return nil, io.EOF
	case r := <-replies:
		return r.body, r.err
	}
}

func (f *rollingFleet) start(name ferryid.EntryName) {
	f.mu.Lock()
	f.starts++
	inc := ferryid.Incarnation(fmt.Sprint(name, "/", f.starts))
	f.mu.Unlock()
	p := &process{incarnation: inc, follower: &follower{}}
	p.ctx, p.end = context.WithCancel(f.ctx)
	p.relay = New(Config{
		Platform: f.store[name], Clock: clockwork.NewRealClock(), Log: zerolog.Nop(),
		Reader: func() (Reader, bool) { return f.readerOf(name) },
		Ask: func(ctx context.Context, to ferryid.EntryName, inc ferryid.Incarnation, _ ferrypeer.AskKind, body []byte) ([]byte, error) {
			return f.ask(ctx, to, inc, body)
		},
	})
	f.mu.Lock()
	f.processes[name] = p
	f.mu.Unlock()
	f.publish(name, inc, false, true)
	w := readiness{p.follower, func() { f.setReady(name, p) }}
	go ferryfollow.New(ferryfollow.Config{
		Source: p.relay, Kind: "k", Clock: clockwork.NewRealClock(), Log: zerolog.Nop(), Wait: 12 * time.Second,
		ChangePause: 300 * time.Millisecond, Watcher: w,
	}).Run(p.ctx)
	go p.prove(w)
}

func (f *rollingFleet) setReady(name ferryid.EntryName, p *process) {
	f.mu.Lock()
	first := !p.ready && !p.stopping
	p.ready = true
	f.mu.Unlock()
	if first {
		f.publish(name, p.incarnation, true, true)
	}
}

// readiness is a follower that reports when it knows a valid value.
type readiness struct {
	*follower
	ready func()
}

func (r readiness) Listed(c ferryplatform.Changes) { r.Changed(c) }

func (r readiness) Changed(c ferryplatform.Changes) {
	r.follower.Changed(c)
	if r.get() > 0 {
		r.ready()
	}
}

// prove reads the object at the intervals of an edge.
func (p *process) prove(w readiness) {
	for p.ctx.Err() == nil {
		ctx, cancel := context.WithTimeout(p.ctx, proofTries)
		o, _, err := p.relay.Prove(ctx, "k", "x")
		cancel()
		if err != nil {
			p.sleep(proofPause)
			continue
		}
		w.Changed(ferryplatform.Changes{Objects: []ferryplatform.Object{o}})
		for began := time.Now(); p.ctx.Err() == nil && time.Since(began) < p.proofInterval(); {
			p.sleep(min(p.relay.ProofInterval("k"), p.proofInterval()-time.Since(began)))
		}
	}
}

func (p *process) proofInterval() time.Duration {
	if p.relay.ReadsDirectly() {
		return p.relay.ProofInterval("k")
	}
	return relayedProofs
}

func (p *process) sleep(d time.Duration) {
	select {
	case <-p.ctx.Done():
	case <-time.After(d):
	}
}

// restart stops an entry, which goes on answering for a while, and starts it again. The others are told when it
// stops, but only if told is set when it ends.
func (f *rollingFleet) restart(name ferryid.EntryName, stopTakes time.Duration, told bool) {
	p := f.process(name)
	if p == nil {
		return
	}
	f.mu.Lock()
	p.stopping = true
	f.mu.Unlock()
	f.publish(name, p.incarnation, false, true)
	if !f.sleep(stopTakes) {
		return
	}
	if told {
		f.publish(name, p.incarnation, false, false)
	} else {
		time.AfterFunc(unseenEnd, func() {
			if last := f.known(name, name); last.incarnation == p.incarnation {
				f.publish(name, p.incarnation, false, false)
			}
		})
	}
	f.mu.Lock()
	f.processes[name] = nil
	f.mu.Unlock()
	p.end()
	if f.sleep(backAfter) {
		f.start(name)
	}
}

// sleep reports whether the test still runs after d.
func (f *rollingFleet) sleep(d time.Duration) bool {
	select {
	case <-f.ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}

// check returns an error if an entry that is ready or stops does not know a valid value that was accepted longer ago than
// it may take.
func (f *rollingFleet) check() error {
	due := 0
	for n, at := range f.acked {
		if time.Since(at) >= defaultWithin {
			due = max(due, n)
		}
	}
	for _, name := range f.names {
		p := f.process(name)
		if p == nil || !f.store[name].sound() {
			continue
		}
		f.mu.Lock()
		ready := p.ready
		f.mu.Unlock()
		if ready && p.follower.get() < due {
			return fmt.Errorf("entry %s knows %d, %d was accepted %s ago", name, p.follower.get(), due, time.Since(f.acked[due]))
		}
	}
	return nil
}

// step is the stop of an entry at a time after the first one.
type step struct {
	at   time.Duration
	name ferryid.EntryName
}

// rolls returns plans of restarts, which depend on how long a stop takes.
func rolls(stopTakes time.Duration) map[string][]step {
	turn := stopTakes + backAfter + time.Second
	return map[string][]step{
		"in turn":                          {{0, "a"}, {turn, "b"}, {2 * turn, "c"}, {3 * turn, "d"}},
		"in reverse":                       {{0, "d"}, {turn, "c"}, {2 * turn, "b"}, {3 * turn, "a"}},
		"two at a time":                    {{0, "a"}, {0, "b"}, {turn, "c"}, {turn, "d"}},
		"three at a time":                  {{0, "a"}, {0, "b"}, {0, "c"}, {turn, "d"}},
		"all at once":                      {{0, "a"}, {0, "b"}, {0, "c"}, {0, "d"}},
		"successor while the reader stops": {{0, "a"}, {600 * time.Millisecond, "b"}, {1200 * time.Millisecond, "c"}, {1800 * time.Millisecond, "d"}},
		"successor as the reader ends":     {{0, "a"}, {stopTakes, "b"}, {2 * stopTakes, "c"}},
		"successor as the reader is back":  {{0, "a"}, {stopTakes + backAfter + 50*time.Millisecond, "b"}, {2 * (stopTakes + backAfter + 50*time.Millisecond), "c"}},
		"reader twice":                     {{0, "a"}, {stopTakes + backAfter + 100*time.Millisecond, "a"}, {2 * (stopTakes + backAfter + 100*time.Millisecond), "a"}},
	}
}

// trouble is a disruption of the platform that lasts until the end.
type trouble struct {
	name string
	tick func(f *rollingFleet, now time.Duration)
}

func (f *rollingFleet) eachLink(change func(l *forgetfulLink)) {
	for _, l := range f.store {
		l.mu.Lock()
		change(l)
		l.mu.Unlock()
	}
}

func platformTroubles() []trouble {
	return []trouble{
		{"none", func(*rollingFleet, time.Duration) {}},
		{"history lost", func(f *rollingFleet, now time.Duration) {
			if now%(700*time.Millisecond) == 0 {
				f.eachLink(func(l *forgetfulLink) { l.forgotten = f.version })
			}
		}},
		{"watches lag", func(f *rollingFleet, now time.Duration) {
			if now == 2*time.Second {
				f.platform.SetFaults(ferryplatformtest.Faults{WatchLagMS: 1000})
			}
		}},
		{"platform slow", func(f *rollingFleet, now time.Duration) {
			if now == 2*time.Second {
				f.platform.SetFaults(ferryplatformtest.Faults{DelayMS: 100})
			}
		}},
		{"reader cut", func(f *rollingFleet, now time.Duration) {
			switch now {
			case 3200 * time.Millisecond:
				f.store["a"].set(func() { f.store["a"].cut, f.store["a"].epoch = true, f.store["a"].epoch+1 })
			case 7200 * time.Millisecond:
				f.store["a"].set(func() { f.store["a"].cut = false })
			}
		}},
		{"successor cut", func(f *rollingFleet, now time.Duration) {
			switch now {
			case 3200 * time.Millisecond:
				f.store["b"].set(func() { f.store["b"].cut, f.store["b"].epoch = true, f.store["b"].epoch+1 })
			case 7200 * time.Millisecond:
				f.store["b"].set(func() { f.store["b"].cut = false })
			}
		}},
	}
}

// TestViewsStayCurrentAcrossPlannedRestarts restarts the entry that the others read from and its successors in series,
// while valid and invalid values are written. An entry that serves must know each valid one in time from its first moment on.
func TestViewsStayCurrentAcrossPlannedRestarts(t *testing.T) {
	const tick = 50 * time.Millisecond
	for _, stopTakes := range []time.Duration{200 * time.Millisecond, 8 * time.Second} {
		plans := rolls(stopTakes)
		for plan, steps := range plans {
			for _, newsTakes := range []time.Duration{10 * time.Millisecond, 1500 * time.Millisecond} {
				for _, told := range []bool{true, false} {
					for _, every := range []time.Duration{350 * time.Millisecond, 1900 * time.Millisecond} {
						for _, tr := range platformTroubles() {
							t.Run(fmt.Sprintf("%s, stops of %s, news take %s, told %v, changes every %s, %s", plan, stopTakes, newsTakes, told, every, tr.name), func(t *testing.T) {
								synctest.Test(t, func(t *testing.T) {
									ctx, cancel := context.WithCancel(t.Context())
									defer cancel()
									f := newRollingFleet(ctx, t, newsTakes, "a", "b", "c", "d")
									first := 3 * time.Second
									length := first + slices.MaxFunc(steps, func(x, y step) int { return int(x.at - y.at) }).at + stopTakes + 4*time.Second
									for now := time.Duration(0); now < length; now += tick {
										for _, s := range steps {
											if now == first+s.at {
												go f.restart(s.name, stopTakes, told)
											}
										}
										tr.tick(f, now)
										if now%every == 0 {
											f.write()
										}
										time.Sleep(tick)
										assert.NilError(t, f.check(), "%s after the start", now)
									}
								})
							})
						}
					}
				}
			}
		}
	}
}
