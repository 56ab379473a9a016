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
	run: func(ctx context.Context, h *harness) error {
		load, end := context.WithTimeout(ctx, togetherLoadTime)
		defer end()
		var t tally
		l := newCallLog()
		wg := h.startStreams(load, ctx, togetherCallers, togetherTokens, &t)
		h.startPosts(load, ctx, wg, l)
		inj := &faultInjector{harness: h, accepted: 1, faults: map[string]int{}}
		if err := inj.inject(load, ctx); err != nil {
			return err
		}
		if err := inj.repair(ctx); err != nil {
			return err
		}
		wg.Wait()
		h.note("faults %v", inj.faults)
		h.note("%s", &t)
		err := errors.Join(t.err(), h.checkRecords(ctx), h.settle(ctx, l))
		if err != nil {
			return err
		}
		took, err := h.waitGeneration(ctx, h.Entries, inj.accepted, togetherRepairLimit)
		h.note("generation %d in force at all %d entries, %s after the other checks", inj.accepted, len(h.Entries), took.Round(time.Millisecond))
		return err
	},
}

// startPosts starts callers that send ration changes, each key to two entries, until the load ends.
func (h *harness) startPosts(load, ctx context.Context, wg *sync.WaitGroup, l *callLog) {
	for c := range 2 {
		wg.Go(func() {
			for n := 0; load.Err() == nil; n++ {
				l.add(h.post(ctx, c+n, fmt.Sprintf("together-%d", n)))
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
func (inj *faultInjector) inject(load, ctx context.Context) error {
	inj.busy = map[string]bool{}
	actions := []struct {
		name string
		run  func(ctx context.Context)
	}{
		{"entry killed", func(ctx context.Context) { inj.disruptEntry(ctx, "killed") }},
		{"entry stopped", func(ctx context.Context) { inj.disruptEntry(ctx, "stopped") }},
		{"entry frozen", func(ctx context.Context) { inj.disruptEntry(ctx, "frozen") }},
		{"engine killed", func(ctx context.Context) { inj.disruptEngine(ctx, true) }},
		{"engine frozen", func(ctx context.Context) { inj.disruptEngine(ctx, false) }},
		{"links", func(context.Context) { inj.changeLinks() }},
		{"engine links silent", func(context.Context) { inj.Engines[inj.rand.IntN(len(inj.Engines))].Proxy.Silence() }},
		{"plain links cut", func(context.Context) { inj.changePlainLinks() }},
		{"platform", inj.disruptPlatform},
		{"change", inj.change},
	}
	for load.Err() == nil {
		s := actions[inj.rand.IntN(len(actions))]
		inj.faults[s.name]++
		s.run(ctx)
		time.Sleep(faultInterval)
	}
	return nil
}

func (inj *faultInjector) fail(err error) {
	inj.mu.Lock()
	defer inj.mu.Unlock()
	if inj.err == nil {
		inj.err = err
	}
}

// reserve marks a process as busy. It returns false if the process is busy already, or
// as many of its kind as allowed are. Callers allow at most half of a kind at once.
func (inj *faultInjector) reserve(name, kind string, most int) bool {
	inj.mu.Lock()
	defer inj.mu.Unlock()
	n := 0
	for other := range inj.busy {
		if len(other) > len(kind) && other[:len(kind)] == kind {
			n++
		}
	}
	if inj.busy[name] || n >= most {
		return false
	}
	inj.busy[name] = true
	return true
}

func (inj *faultInjector) release(name string) {
	inj.mu.Lock()
	defer inj.mu.Unlock()
	delete(inj.busy, name)
}

func (inj *faultInjector) disruptEntry(ctx context.Context, how string) {
	e := inj.Entries[inj.rand.IntN(len(inj.Entries))]
	if !inj.reserve(e.Name, "entry", len(inj.Entries)/2) {
		return
	}
	inj.running.Go(func() {
		defer inj.release(e.Name)
		var err error
		switch how {
		case "frozen":
			err = inj.pause(e.Process)
		case "killed":
			e.Process.Kill()
			err = inj.StartEntry(ctx, e)
		case "stopped":
			err = inj.restart(ctx, e)
		}
		if err != nil {
			inj.fail(merry.Prepend(err, e.Name+" "+how))
		}
	})
}

func (inj *faultInjector) disruptEngine(ctx context.Context, killed bool) {
	e := inj.Engines[inj.rand.IntN(len(inj.Engines))]
	if !inj.reserve(e.Name, "engine", 2) {
		return
	}
	inj.running.Go(func() {
		defer inj.release(e.Name)
		if !killed {
			if err := inj.pause(e.Process); err != nil {
				inj.fail(err)
			}
			return
		}
		e.Process.Kill()
		time.Sleep(freezeTime / 2)
		if err := inj.StartEngine(ctx, e); err != nil {
			inj.fail(err)
		}
	})
}

func (inj *faultInjector) pause(p signaler) error {
	if err := p.Signal(syscall.SIGSTOP); err != nil {
		return err
	}
	time.Sleep(freezeTime)
	return p.Signal(syscall.SIGCONT)
}

// changeLinks cuts or silences the links between two random sets of entries, or restores all links.
func (inj *faultInjector) changeLinks() {
	n := 1 + inj.rand.IntN(len(inj.Entries)-1)
	switch inj.rand.IntN(4) {
	case 0:
		inj.setLinks(inj.Entries[:n], inj.Entries[n:], ferryproxy.Cut{})
	case 1:
		inj.setLinks(inj.Entries[:n], inj.Entries[n:], ferryproxy.Silent{})
	default:
		inj.restoreLinks()
	}
}

func (inj *faultInjector) changePlainLinks() {
	inj.PlainProxy.SetAll(ferryproxy.Cut{})
	inj.PlainProxy.SetAll(ferryproxy.Pass{})
}

func (inj *faultInjector) disruptPlatform(ctx context.Context) {
	choices := []map[string]any{
		{"Outage": true}, {"DelayMS": 300}, {"LoseAnswers": 3, "LateEffectMS": 200}, {"WatchLagMS": 1000, "ListLagMS": 1000}, {}, {},
	}
	if err := inj.platformFaults(ctx, choices[inj.rand.IntN(len(choices))]); err != nil {
		inj.fail(err)
	}
}

// change applies a document on top of the last generation known
// to be accepted; a refused or lost change is not retried.
func (inj *faultInjector) change(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, freezeTime)
	defer cancel()
	err := inj.apply(ctx, ferrydemo.ModelService, inj.ModelDocument(100+inj.accepted), inj.accepted, "morning")
	if err == nil {
		inj.accepted++
	}
}

// repair removes every fault and waits until all processes run and the membership is complete.
func (inj *faultInjector) repair(ctx context.Context) error {
	inj.restoreLinks()
	if err := inj.platformFaults(ctx, map[string]any{}); err != nil {
		return err
	}
	inj.running.Wait()
	inj.mu.Lock()
	defer inj.mu.Unlock()
	if inj.err != nil {
		return inj.err
	}
	took, err := inj.waitMembership(ctx, togetherRepairLimit)
	if err == nil {
		inj.note("membership complete %s after the last fault", took.Round(time.Millisecond))
	}
	return err
}
