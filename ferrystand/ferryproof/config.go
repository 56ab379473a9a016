package ferryproof

import (
	"context"
	"fmt"
	"time"

	"cactusferry.dev/ferrystand/ferrydemo"
	"cactusferry.dev/ferrystand/ferryproxy"
)

const inForceLimit = 2 * time.Second

var configuration = Case{
	Name:    "configuration",
	Promise: "accepted configuration is in force everywhere within seconds and never reverts",
	Faults:  "two operators at once, lost answers, an outage with an entry replaced, a store restored to an older state, nine entries",
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
		if err := w.outage(ctx, 5); err != nil {
			return err
		}
		if err := w.PutJSON(ctx, "http://"+w.Platform+"/admin/restore", nil); err != nil {
			return err
		}
		time.Sleep(inForceLimit)
		return w.never(ctx, 5)
	},
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

// never checks that no entry has stepped back.
func (w *world) never(ctx context.Context, generation int) error {
	for _, e := range w.Entries {
		s, err := w.Status(ctx, e)
		if err != nil {
			return err
		}
		for _, d := range s.Documents {
			if d.Service == ferrydemo.ModelService && d.Generation < generation {
				return fmt.Errorf("%s went back to generation %d", e.Name, d.Generation)
			}
		}
	}
	w.note("after the store was restored to generation 4 every entry still has %d", generation)
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
