package ferryproof

import (
	"context"
	"fmt"
	"slices"
	"time"

	"cactusferry.dev/ferry/ferrydocument"
	"cactusferry.dev/ferry/ferryevent"
	"cactusferry.dev/ferry/ferryservice"
	"cactusferry.dev/ferrystand/ferrydemo"
	"cactusferry.dev/ferrystand/ferryprocess"
	"cactusferry.dev/ferrystand/ferryproxy"
)

const (
	inForceLimit = 2 * time.Second
	// putBackLimit is how soon entries put what is in force back into a restored store: their pause after an outage and a list.
	putBackLimit   = 10 * time.Second
	oldWatches     = 12
	documentObject = "/v1/objects/" + ferryservice.ObjectKind + "/" + ferrydemo.ModelService
)

var configuration = Case{
	Name:    "configuration",
	Promise: "accepted configuration is in force everywhere within seconds and never reverts",
	Faults:  "two operators at once, lost answers, watches and lists that go back, an outage with an entry replaced, a store restored to an older state, nine entries",
	size:    ferrydemo.Config{Engines: 2, Entries: 9},
	run: func(ctx context.Context, w *world) error {
		if err := w.accepted(ctx, 1); err != nil {
			return err
		}
		if err := w.race(ctx, 2); err != nil {
			return err
		}
		if err := w.platformFaults(ctx, map[string]any{"LoseAnswers": 1, "LateEffectMS": 500}); err != nil {
			return err
		}
		if err := w.accepted(ctx, 3); err != nil {
			return err
		}
		if err := w.PutJSON(ctx, "http://"+w.Platform+"/admin/snapshot", nil); err != nil {
			return err
		}
		if err := w.accepted(ctx, 4); err != nil {
			return err
		}
		if err := w.back(ctx, 5); err != nil {
			return err
		}
		if err := w.outage(ctx, 6); err != nil {
			return err
		}
		if err := w.PutJSON(ctx, "http://"+w.Platform+"/admin/restore", nil); err != nil {
			return err
		}
		if err := w.putBack(ctx, 6); err != nil {
			return err
		}
		if err := w.accepted(ctx, 6); err != nil {
			return err
		}
		return w.never(ctx)
	},
}

// back lets watches show an older generation as a change, then lists and watches an older state, while a document is accepted.
func (w *world) back(ctx context.Context, base int) error {
	if err := w.platformFaults(ctx, map[string]any{"OldWatches": oldWatches}); err != nil {
		return err
	}
	time.Sleep(inForceLimit / 2)
	if err := w.platformFaults(ctx, map[string]any{"OldReads": true}); err != nil {
		return err
	}
	if err := w.accepted(ctx, base); err != nil {
		return err
	}
	time.Sleep(inForceLimit / 2)
	if err := w.platformFaults(ctx, map[string]any{}); err != nil {
		return err
	}
	heard := 0
	for _, e := range w.Entries {
		events, err := w.Events(ctx, e)
		if err != nil {
			return err
		}
		if slices.ContainsFunc(events, func(ev ferryevent.Event) bool { return ev.Kind == ferrydocument.EventStoreBack }) {
			heard++
		}
	}
	w.note("watches and lists went back to generation 4: %d entries saw it", heard)
	if heard == 0 {
		return fmt.Errorf("no entry saw the platform go back, so nothing was proved")
	}
	return nil
}

// putBack waits until the entries have put the generation in force back into a store that was restored to an older state.
func (w *world) putBack(ctx context.Context, generation int) error {
	began := time.Now()
	ctx, cancel := context.WithTimeout(ctx, putBackLimit)
	defer cancel()
	err := ferryprocess.Poll(ctx, func(ctx context.Context) error {
		var stored struct{ Generation int }
		err := w.GetJSON(ctx, "http://"+w.Platform+documentObject, &stored)
		if err == nil && stored.Generation != generation {
			err = fmt.Errorf("the store has generation %d and not %d", stored.Generation, generation)
		}
		return err
	})
	w.note("the store was restored to generation 4 and had %d again after %s", generation, time.Since(began).Round(time.Millisecond))
	return err
}

// accepted applies a change from a base and measures until it is in force everywhere.
func (w *world) accepted(ctx context.Context, base int) error {
	if err := w.apply(ctx, ferrydemo.ModelService, w.ModelDocument(100+base), base, "morning"); err != nil {
		return err
	}
	began := time.Now()
	if err := w.WaitInForce(ctx, ferrydemo.ModelService, base+1); err != nil {
		return err
	}
	took := time.Since(began)
	w.note("generation %d in force at %d entries after %s", base+1, len(w.Entries), took.Round(time.Millisecond))
	if took > inForceLimit {
		return fmt.Errorf("generation %d took %s to be in force, more than %s", base+1, took, inForceLimit)
	}
	return nil
}

// race lets two operators edit the same version at once: one wins, the other is told.
func (w *world) race(ctx context.Context, base int) error {
	errs := make(chan error, 2)
	for i, operator := range []string{"morning", "afternoon"} {
		go func() { errs <- w.apply(ctx, ferrydemo.ModelService, w.ModelDocument(200+i), base, operator) }()
	}
	first, second := <-errs, <-errs
	if (first == nil) == (second == nil) {
		return fmt.Errorf("of two edits of generation %d one must win: %v, %v", base, first, second)
	}
	w.note("two edits of generation %d: one accepted, one refused", base)
	return w.WaitInForce(ctx, ferrydemo.ModelService, base+1)
}

// outage replaces an entry while the platform is down; the new run learns from its peers.
func (w *world) outage(ctx context.Context, generation int) error {
	if err := w.platformFaults(ctx, map[string]any{"Outage": true}); err != nil {
		return err
	}
	w.Entries[0].Process.Kill()
	began := time.Now()
	if err := w.StartEntry(ctx, w.Entries[0]); err != nil {
		return err
	}
	if err := w.WaitInForce(ctx, ferrydemo.ModelService, generation); err != nil {
		return err
	}
	w.note("an entry started in the outage had generation %d from its peers after %s", generation, time.Since(began).Round(time.Millisecond))
	if err := w.apply(ctx, ferrydemo.ModelService, w.ModelDocument(300), generation, "afternoon"); err == nil {
		return fmt.Errorf("a document was accepted while the platform was down")
	}
	return w.platformFaults(ctx, map[string]any{})
}

// never checks on the time line of every entry that it only ever went to later generations.
func (w *world) never(ctx context.Context) error {
	steps := 0
	for _, e := range w.Entries {
		events, err := w.Events(ctx, e)
		if err != nil {
			return err
		}
		last := 0
		for _, ev := range events {
			if ev.Kind != ferrydocument.EventTaken || ev.Subject != ferrydemo.ModelService {
				continue
			}
			g := 0
			if _, err := fmt.Sscanf(ev.Detail, "generation %d", &g); err != nil {
				return fmt.Errorf("event %s: %w", ev, err)
			}
			if g <= last {
				return fmt.Errorf("%s went from generation %d to %d: %s", e.Name, last, g, ev)
			}
			last = g
			steps++
		}
	}
	w.note("%d steps from one generation to another at %d entries, none of them back", steps, len(w.Entries))
	if steps < len(w.Entries) {
		return fmt.Errorf("the time lines are not whole, so nothing was proved")
	}
	return nil
}

const slowLimit = 5 * time.Second

var partition = Case{
	Name:    "partition",
	Promise: "accepted configuration is in force at every reachable entry in time and never reverts, also over cut links and a slow platform",
	Faults:  "eight entries in halves cut off from each other, then silent, then joined; the platform slow by 1 s; its watches late by 3 s",
	size:    ferrydemo.Config{Engines: 2, Entries: 8, PeerProxies: true},
	run: func(ctx context.Context, w *world) error {
		generation := 1
		near, far := w.halves()
		for _, f := range []ferryproxy.Fault{ferryproxy.Cut{}, ferryproxy.Silent{}} {
			w.between(near, far, f)
			took, err := w.split(ctx, near[0], silenceReplaced)
			if err != nil {
				return err
			}
			w.note("links %T: %s no longer counts the other half as alive after %s", f, near[0].Name, took.Round(time.Millisecond))
			if err := w.changed(ctx, near, generation, inForceLimit, fmt.Sprintf("the half of the change, links %T", f)); err != nil {
				return err
			}
			generation++
			took, err = w.inForceAt(ctx, far, generation, silenceReplaced)
			if err != nil {
				return fmt.Errorf("the other half, which still has the platform: %w", err)
			}
			w.note("the other half, which still has the platform: %s later", took.Round(time.Millisecond))
			if err := w.changed(ctx, near, generation, inForceLimit, "again in the half of the change"); err != nil {
				return err
			}
			generation++
			w.join()
			took, err = w.inForceAt(ctx, w.Entries, generation, silenceReplaced)
			if err != nil {
				return err
			}
			whole, err := w.whole(ctx, joinLimit)
			if err != nil {
				return err
			}
			w.note("joined: in force everywhere after %s, membership whole %s later", took.Round(time.Millisecond), whole.Round(time.Millisecond))
		}
		for _, slow := range []struct {
			faults map[string]any
			limit  time.Duration
		}{{map[string]any{"DelayMS": 1000}, slowLimit}, {map[string]any{"WatchLagMS": 3000}, inForceLimit}} {
			if err := w.platformFaults(ctx, slow.faults); err != nil {
				return err
			}
			if err := w.changed(ctx, w.Entries, generation, slow.limit, fmt.Sprintf("platform %v", slow.faults)); err != nil {
				return err
			}
			generation++
		}
		return w.platformFaults(ctx, map[string]any{})
	},
}

// joinLimit is how soon the membership is whole after a long cut, with entries dialled again at growing intervals.
const joinLimit = 30 * time.Second

// changed applies a change and checks that it is in force in time at the entries given.
func (w *world) changed(ctx context.Context, entries []*ferrydemo.Entry, base int, limit time.Duration, where string) error {
	if err := w.apply(ctx, ferrydemo.ModelService, w.ModelDocument(100+base), base, "morning"); err != nil {
		return err
	}
	took, err := w.inForceAt(ctx, entries, base+1, limit)
	if err != nil {
		return fmt.Errorf("%s: %w", where, err)
	}
	w.note("%s: generation %d in force at %d entries after %s", where, base+1, len(entries), took.Round(time.Millisecond))
	return nil
}
