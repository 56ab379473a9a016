package ferryproof

import (
	"context"
	"fmt"
	"time"

	"cactusferry.dev/ferrystand/ferrydemo"
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
