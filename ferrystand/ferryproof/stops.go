package ferryproof

import (
	"context"
	"fmt"
	"time"

	"cactusferry.dev/ferrystand/ferrydemo"
)

// stragglerTokens gives a stream that runs for several seconds.
const stragglerTokens = 6000

var plannedStops = Case{
	Name:      "stops",
	Guarantee: "a planned stop interrupts no request",
	Faults:    "each of nine entries stopped and restarted under load, then the three of one failure domain concurrently; stops of an entry with a long stream open, the second while the platform is down",
	size:      ferrydemo.Config{Engines: 6, Entries: 9},
	run: func(ctx context.Context, w *harness) error {
		load, end := context.WithCancel(ctx)
		defer end()
		var t tally
		wg := w.streams(load, ctx, loadCallers, loadTokens, &t)
		for _, e := range w.Entries {
			if err := w.restart(ctx, e); err != nil {
				return err
			}
		}
		w.note("nine entries restarted one after another: %s", &t)
		errs := make(chan error, len(w.Entries))
		n := 0
		for _, e := range w.Entries {
			if e.Domain == w.Entries[0].Domain {
				n++
				go func() { errs <- w.restart(ctx, e) }()
			}
		}
		for range n {
			if err := <-errs; err != nil {
				return err
			}
		}
		end()
		wg.Wait()
		w.note("then %d of one failure domain concurrently: %s", n, &t)
		if t.resumed > 0 {
			return fmt.Errorf("planned stops interrupted %d streams", t.resumed)
		}
		if err := t.err(); err != nil {
			return err
		}
		return w.stopStragglers(ctx)
	},
}

// stopStragglers stops an entry that runs a long stream, first with the platform up and then during an outage.
func (w *harness) stopStragglers(ctx context.Context) error {
	for n, outage := range []bool{false, true} {
		if err := w.platformFaults(ctx, map[string]any{"Outage": outage}); err != nil {
			return err
		}
		var t tally
		started := make(chan struct{})
		ended := make(chan struct{})
		chunks := 0
		q := completion{key: ferrydemo.CustomerKey, index: n, prompt: "summarise the night's robot log", tokens: stragglerTokens}
		q.onChunk = func(ferrydemo.Chunk) {
			chunks++
			if chunks == 1 {
				close(started)
			}
		}
		go func() {
			defer close(ended)
			w.requestCompletion(ctx, q, &t)
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
		w.note("stop with a straggler of %d tokens open, platform down %t: entry exited after %s; %s", stragglerTokens, outage, took.Round(time.Millisecond), &t)
		if t.resumed > 0 {
			return fmt.Errorf("planned stop interrupted the straggler's stream")
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

// restart makes a planned stop of an entry and starts it again.
func (w *harness) restart(ctx context.Context, e *ferrydemo.Entry) error {
	if err := e.Process.Terminate(ctx); err != nil {
		return err
	}
	return w.StartEntry(ctx, e)
}
