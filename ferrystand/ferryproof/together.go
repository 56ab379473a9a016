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
	togetherLoad    = 20 * time.Second
	togetherHeal    = 30 * time.Second
	togetherCallers = 6
	togetherTokens  = 80
	faultPause      = 400 * time.Millisecond
	freezeTime      = 3 * time.Second
	postPause       = 20 * time.Millisecond
)

var together = Case{
	Name:    "together",
	Promise: "all promises at once",
	Faults:  "random combinations of killed, frozen, stopped and cut-off processes, platform faults and changes under load",
	size:    ferrydemo.Config{Engines: 6, Entries: 6, PeerProxies: true, EngineProxies: true, PlainProxy: true},
	run: func(ctx context.Context, w *world) error {
		load, end := context.WithTimeout(ctx, togetherLoad)
		defer end()
		var t tally
		l := newLedger()
		wg := w.streams(load, ctx, togetherCallers, togetherTokens, &t)
		w.posts(load, ctx, wg, l)
		d := &disorder{world: w, accepted: 1, faults: map[string]int{}}
		if err := d.bring(load, ctx); err != nil {
			return err
		}
		if err := d.heal(ctx); err != nil {
			return err
		}
		wg.Wait()
		w.note("faults %v", d.faults)
		w.note("%s", &t)
		err := errors.Join(t.err(), w.checkRecords(ctx), w.settle(ctx, l))
		if err != nil {
			return err
		}
		took, err := w.inForceAt(ctx, w.Entries, d.accepted, togetherHeal)
		w.note("generation %d in force at all %d entries, %s after the rest", d.accepted, len(w.Entries), took.Round(time.Millisecond))
		return err
	},
}

// posts sends changes, each key to two entries, until the load ends.
func (w *world) posts(load, ctx context.Context, wg *sync.WaitGroup, l *ledger) {
	for c := range 2 {
		wg.Go(func() {
			for n := 0; load.Err() == nil; n++ {
				l.add(w.post(ctx, c+n, fmt.Sprintf("together-%d", n)))
				time.Sleep(postPause)
			}
		})
	}
}

// disorder brings random faults about, one after another, several of them in force at once.
type disorder struct {
	*world
	accepted int
	faults   map[string]int
	running  sync.WaitGroup
	mu       sync.Mutex
	err      error
	// busy holds the processes that a fault is at work on, so that no other takes them too.
	busy map[string]bool
}

// bring strikes until the load ends; each choice comes from the seed.
func (d *disorder) bring(load, ctx context.Context) error {
	d.busy = map[string]bool{}
	strikes := []struct {
		name string
		run  func(ctx context.Context)
	}{
		{"entry killed", func(ctx context.Context) { d.entry(ctx, "killed") }},
		{"entry stopped", func(ctx context.Context) { d.entry(ctx, "stopped") }},
		{"entry frozen", func(ctx context.Context) { d.entry(ctx, "frozen") }},
		{"engine killed", func(ctx context.Context) { d.engine(ctx, true) }},
		{"engine frozen", func(ctx context.Context) { d.engine(ctx, false) }},
		{"links", func(context.Context) { d.links() }},
		{"engine links silent", func(context.Context) { d.Engines[d.rand.IntN(len(d.Engines))].Proxy.Silence() }},
		{"plain links cut", func(context.Context) { d.plainLinks() }},
		{"platform", d.platform},
		{"change", d.change},
	}
	for load.Err() == nil {
		s := strikes[d.rand.IntN(len(strikes))]
		d.faults[s.name]++
		s.run(ctx)
		time.Sleep(faultPause)
	}
	return nil
}

func (d *disorder) fail(err error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.err == nil {
		d.err = err
	}
}

// take reserves a process, and at most half of a kind at once.
func (d *disorder) take(name, kind string, most int) bool {
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

func (d *disorder) giveBack(name string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.busy, name)
}

func (d *disorder) entry(ctx context.Context, how string) {
	e := d.Entries[d.rand.IntN(len(d.Entries))]
	if !d.take(e.Name, "entry", len(d.Entries)/2) {
		return
	}
	d.running.Go(func() {
		defer d.giveBack(e.Name)
		var err error
		switch how {
		case "frozen":
			err = d.pause(e.Process)
		case "killed":
			e.Process.Kill()
			err = d.StartEntry(ctx, e)
		case "stopped":
			err = d.replace(ctx, e)
		}
		if err != nil {
			d.fail(merry.Prepend(err, e.Name+" "+how))
		}
	})
}

func (d *disorder) engine(ctx context.Context, killed bool) {
	e := d.Engines[d.rand.IntN(len(d.Engines))]
	if !d.take(e.Name, "engine", 2) {
		return
	}
	d.running.Go(func() {
		defer d.giveBack(e.Name)
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

func (d *disorder) pause(p freezer) error {
	if err := p.Signal(syscall.SIGSTOP); err != nil {
		return err
	}
	time.Sleep(freezeTime)
	return p.Signal(syscall.SIGCONT)
}

// links cuts, silences or joins the links between two random sets of entries.
func (d *disorder) links() {
	n := 1 + d.rand.IntN(len(d.Entries)-1)
	switch d.rand.IntN(4) {
	case 0:
		d.between(d.Entries[:n], d.Entries[n:], ferryproxy.Cut{})
	case 1:
		d.between(d.Entries[:n], d.Entries[n:], ferryproxy.Silent{})
	default:
		d.join()
	}
}

func (d *disorder) plainLinks() {
	d.PlainProxy.SetAll(ferryproxy.Cut{})
	d.PlainProxy.SetAll(ferryproxy.Pass{})
}

func (d *disorder) platform(ctx context.Context) {
	choices := []map[string]any{
		{"Outage": true}, {"DelayMS": 300}, {"LoseAnswers": 3, "LateEffectMS": 200}, {"WatchLagMS": 1000, "ListLagMS": 1000}, {}, {},
	}
	if err := d.platformFaults(ctx, choices[d.rand.IntN(len(choices))]); err != nil {
		d.fail(err)
	}
}

// change applies a document against the last one known to be accepted; what was refused or lost stays as it is.
func (d *disorder) change(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, freezeTime)
	defer cancel()
	err := d.apply(ctx, ferrydemo.ModelService, d.ModelDocument(100+d.accepted), d.accepted, "morning")
	if err == nil {
		d.accepted++
	}
}

// heal ends every fault and waits until all processes run.
func (d *disorder) heal(ctx context.Context) error {
	d.join()
	if err := d.platformFaults(ctx, map[string]any{}); err != nil {
		return err
	}
	d.running.Wait()
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.err != nil {
		return d.err
	}
	took, err := d.whole(ctx, togetherHeal)
	if err == nil {
		d.note("membership whole %s after the last fault", took.Round(time.Millisecond))
	}
	return err
}
