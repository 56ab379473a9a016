package ferryproof

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"syscall"
	"time"

	"github.com/ansel1/merry/v2"

	"cactusferry.dev/ferrystand/ferrydemo"
	"cactusferry.dev/ferrystand/ferryproxy"
)

const (
	togetherLoadTime    = 20 * time.Second
	togetherRepairLimit = 30 * time.Second
	togetherCallers     = 6
	togetherTokens      = 80
	faultInterval       = 400 * time.Millisecond
	freezeTime          = 3 * time.Second
	postInterval        = 20 * time.Millisecond
)

var together = Case{
	Name:      "together",
	Guarantee: "all guarantees hold together",
	Faults:    "random combinations of killed, frozen, stopped and partitioned processes, platform faults and document changes under load",
	size:      ferrydemo.Config{Engines: 6, Entries: 6, PeerProxies: true, EngineProxies: true, PlainProxy: true},
	run: func(ctx context.Context, w *harness) error {
		load, end := context.WithTimeout(ctx, togetherLoadTime)
		defer end()
		var t tally
		l := newCallLog()
		wg := w.streams(load, ctx, togetherCallers, togetherTokens, &t)
		w.posts(load, ctx, wg, l)
		d := &faultInjector{harness: w, accepted: 1, faults: map[string]int{}}
		if err := d.inject(load, ctx); err != nil {
			return err
		}
		if err := d.repair(ctx); err != nil {
			return err
		}
		wg.Wait()
		w.note("faults %v", d.faults)
		w.note("%s", &t)
		err := errors.Join(t.err(), w.checkRecords(ctx), w.settle(ctx, l))
		if err != nil {
			return err
		}
		took, err := w.waitGeneration(ctx, w.Entries, d.accepted, togetherRepairLimit)
		w.note("generation %d in force at all %d entries, %s after the other checks", d.accepted, len(w.Entries), took.Round(time.Millisecond))
		return err
	},
}

// posts starts callers that send ration changes, each key to two entries, until the load ends.
func (w *harness) posts(load, ctx context.Context, wg *sync.WaitGroup, l *callLog) {
	for c := range 2 {
		wg.Go(func() {
			for n := 0; load.Err() == nil; n++ {
				l.add(w.post(ctx, c+n, fmt.Sprintf("together-%d", n)))
				time.Sleep(postInterval)
			}
		})
	}
}

// faultInjector injects random faults one after another; several may be active at once.
type faultInjector struct {
	*harness
	accepted int
	faults   map[string]int
	running  sync.WaitGroup
	mu       sync.Mutex
	err      error
	// busy contains the processes with an active fault, so that none gets a second one.
	busy map[string]bool
}

// inject injects faults until the load ends; each choice comes from the seeded generator.
func (d *faultInjector) inject(load, ctx context.Context) error {
	d.busy = map[string]bool{}
	actions := []struct {
		name string
		run  func(ctx context.Context)
	}{
		{"entry killed", func(ctx context.Context) { d.entry(ctx, "killed") }},
		{"entry stopped", func(ctx context.Context) { d.entry(ctx, "stopped") }},
		{"entry frozen", func(ctx context.Context) { d.entry(ctx, "frozen") }},
		{"engine killed", func(ctx context.Context) { d.engine(ctx, true) }},
		{"engine frozen", func(ctx context.Context) { d.engine(ctx, false) }},
		{"links", func(context.Context) { d.changeLinks() }},
		{"engine links silent", func(context.Context) { d.Engines[d.rand.IntN(len(d.Engines))].Proxy.Silence() }},
		{"plain links cut", func(context.Context) { d.plainLinks() }},
		{"platform", d.platform},
		{"change", d.change},
	}
	for load.Err() == nil {
		s := actions[d.rand.IntN(len(actions))]
		d.faults[s.name]++
		s.run(ctx)
		time.Sleep(faultInterval)
	}
	return nil
}

func (d *faultInjector) fail(err error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.err == nil {
		d.err = err
	}
}

// reserve marks a process as busy, and reports false if it
// is busy already or if the limit for its kind is reached.
func (d *faultInjector) reserve(name, kind string, most int) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	n := 0
	for other := range d.busy {
		if len(other) > len(kind) && other[:len(kind)] == kind {
			n++
		}
	}
	if d.busy[name] || n >= most {
		return false
	}
	d.busy[name] = true
	return true
}

func (d *faultInjector) release(name string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.busy, name)
}

func (d *faultInjector) entry(ctx context.Context, how string) {
	e := d.Entries[d.rand.IntN(len(d.Entries))]
	if !d.reserve(e.Name, "entry", len(d.Entries)/2) {
		return
	}
	d.running.Go(func() {
		defer d.release(e.Name)
		var err error
		switch how {
		case "frozen":
			err = d.pause(e.Process)
		case "killed":
			e.Process.Kill()
			err = d.StartEntry(ctx, e)
		case "stopped":
			err = d.restart(ctx, e)
		}
		if err != nil {
			d.fail(merry.Prepend(err, e.Name+" "+how))
		}
	})
}

func (d *faultInjector) engine(ctx context.Context, killed bool) {
	e := d.Engines[d.rand.IntN(len(d.Engines))]
	if !d.reserve(e.Name, "engine", 2) {
		return
	}
	d.running.Go(func() {
		defer d.release(e.Name)
		if !killed {
			if err := d.pause(e.Process); err != nil {
				d.fail(err)
			}
			return
		}
		e.Process.Kill()
		time.Sleep(freezeTime / 2)
		if err := d.StartEngine(ctx, e); err != nil {
			d.fail(err)
		}
	})
}

func (d *faultInjector) pause(p signaler) error {
	if err := p.Signal(syscall.SIGSTOP); err != nil {
		return err
	}
	time.Sleep(freezeTime)
	return p.Signal(syscall.SIGCONT)
}

// changeLinks cuts or silences the links between two random sets of entries, or restores all links.
func (d *faultInjector) changeLinks() {
	n := 1 + d.rand.IntN(len(d.Entries)-1)
	switch d.rand.IntN(4) {
	case 0:
		d.setLinks(d.Entries[:n], d.Entries[n:], ferryproxy.Cut{})
	case 1:
		d.setLinks(d.Entries[:n], d.Entries[n:], ferryproxy.Silent{})
	default:
		d.restoreLinks()
	}
}

func (d *faultInjector) plainLinks() {
	d.PlainProxy.SetAll(ferryproxy.Cut{})
	d.PlainProxy.SetAll(ferryproxy.Pass{})
}

func (d *faultInjector) platform(ctx context.Context) {
	choices := []map[string]any{
		{"Outage": true}, {"DelayMS": 300}, {"LoseAnswers": 3, "LateEffectMS": 200}, {"WatchLagMS": 1000, "ListLagMS": 1000}, {}, {},
	}
	if err := d.platformFaults(ctx, choices[d.rand.IntN(len(choices))]); err != nil {
		d.fail(err)
	}
}

// change applies a document on top of the last generation known
// to be accepted; a refused or lost change is not retried.
func (d *faultInjector) change(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, freezeTime)
	defer cancel()
	err := d.apply(ctx, ferrydemo.ModelService, d.ModelDocument(100+d.accepted), d.accepted, "morning")
	if err == nil {
		d.accepted++
	}
}

// repair removes every fault and waits until all processes run and the membership is complete.
func (d *faultInjector) repair(ctx context.Context) error {
	d.restoreLinks()
	if err := d.platformFaults(ctx, map[string]any{}); err != nil {
		return err
	}
	d.running.Wait()
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.err != nil {
		return d.err
	}
	took, err := d.waitMembership(ctx, togetherRepairLimit)
	if err == nil {
		d.note("membership complete %s after the last fault", took.Round(time.Millisecond))
	}
	return err
}
