package ferryproof

import (
	"context"
	"fmt"
	"time"

	"cactusferry.dev/ferrystand/ferrydemo"
)

// stragglerTokens make a stream that runs for some seconds.
const stragglerTokens = 6000

var plannedStops = Case{
	Name:    "stops",
	Promise: "a planned stop cuts off no request",
	Faults:  "each of nine entries stopped and replaced under load, then the three of one failure domain at once; stops of an entry with a long stream open, the second while the platform is down",
	size:    ferrydemo.Config{Engines: 6, Entries: 9},
	run: func(ctx context.Context, w *world) error {
		load, end := context.WithCancel(ctx)
		defer end()
		var t tally
		wg := w.streams(load, ctx, loadCallers, loadTokens, &t)
		for _, e := range w.Entries {
			if err := w.replace(ctx, e); err != nil {
				return err
			}
		}
		w.note("nine entries replaced one after another: %s", &t)
		errs := make(chan error, len(w.Entries))
		n := 0
		for _, e := range w.Entries {
			if e.Domain == w.Entries[0].Domain {
				n++
				go func() { errs <- w.replace(ctx, e) }()
			}
		}
		for range n {
			if err := <-errs; err != nil {
				return err
			}
		}
		end()
		wg.Wait()
		w.note("then %d of one failure domain at once: %s", n, &t)
		if t.resumed > 0 {
			return fmt.Errorf("%d streams were cut off", t.resumed)
		}
		if err := t.err(); err != nil {
			return err
		}
		return w.stopStragglers(ctx)
	},
}

// stopStragglers stops an entry that runs a long stream, first as usual and then while the platform is down.
func (w *world) stopStragglers(ctx context.Context) error {
	for n, outage := range []bool{false, true} {
		if err := w.platformFaults(ctx, map[string]any{"Outage": outage}); err != nil {
			return err
		}
		var t tally
		started := make(chan struct{})
		ended := make(chan struct{})
		pieces := 0
		q := question{key: ferrydemo.CustomerKey, at: n, prompt: "summarise the night's robot log", tokens: stragglerTokens}
		q.each = func(ferrydemo.Chunk) {
			pieces++
			if pieces == 1 {
				close(started)
			}
		}
		go func() {
			defer close(ended)
			w.ask(ctx, q, &t)
		}()
		select {
		case <-started:
		case <-ctx.Done():
			return ctx.Err()
		}
		began := time.Now()
		if err := w.Entries[n].Process.Terminate(ctx); err != nil {
			return err
		}
		took := time.Since(began)
		<-ended
		w.note("stop with a straggler of %d tokens open, platform down %t: ended after %s; %s", stragglerTokens, outage, took.Round(time.Millisecond), &t)
		if t.resumed > 0 {
			return fmt.Errorf("the straggler was cut off")
		}
		if err := t.err(); err != nil {
			return err
		}
		if err := w.StartEntry(ctx, w.Entries[n]); err != nil {
			return err
		}
	}
	return w.platformFaults(ctx, map[string]any{})
}

// replace stops an entry as planned and starts another run of it.
func (w *world) replace(ctx context.Context, e *ferrydemo.Entry) error {
	if err := e.Process.Terminate(ctx); err != nil {
		return err
	}
	return w.StartEntry(ctx, e)
}
