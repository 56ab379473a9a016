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
	run: func(ctx context.Context, h *harness) error {
		load, end := context.WithCancel(ctx)
		defer end()
		var t tally
		wg := h.startStreams(load, ctx, loadCallers, loadTokens, &t)
		for _, e := range h.Entries {
			if err := h.restart(ctx, e); err != nil {
				return err
			}
		}
		h.note("nine entries restarted one after another: %s", &t)
		errs := make(chan error, len(h.Entries))
		n := 0
		for _, e := range h.Entries {
			if e.Domain == h.Entries[0].Domain {
				n++
				go func() { errs <- h.restart(ctx, e) }()
			}
		}
		for range n {
			if err := <-errs; err != nil {
				return err
			}
		}
		end()
		wg.Wait()
		h.note("then %d of one failure domain concurrently: %s", n, &t)
		if t.resumed > 0 {
			return fmt.Errorf("planned stops interrupted %d streams", t.resumed)
		}
		if err := t.err(); err != nil {
			return err
		}
		return h.stopStragglers(ctx)
	},
}

// stopStragglers stops an entry that runs a long stream,
// first with the platform up and then during an outage.
func (h *harness) stopStragglers(ctx context.Context) error {
	for n, outage := range []bool{false, true} {
		if err := h.platformFaults(ctx, map[string]any{"Outage": outage}); err != nil {
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
			h.requestCompletion(ctx, q, &t)
		}()
		select {
		case <-started:
		case <-ctx.Done():
			return ctx.Err()
		}
		began := time.Now()
		if err := h.Entries[n].Process.Terminate(ctx); err != nil {
			return err
		}
		took := time.Since(began)
		<-ended
		h.note("stop with a straggler of %d tokens open, platform down %t: entry exited after %s; %s", stragglerTokens, outage, took.Round(time.Millisecond), &t)
		if t.resumed > 0 {
			return fmt.Errorf("planned stop interrupted the straggler's stream")
		}
		if err := t.err(); err != nil {
			return err
		}
		if err := h.StartEntry(ctx, h.Entries[n]); err != nil {
			return err
		}
	}
	return h.platformFaults(ctx, map[string]any{})
}

// restart makes a planned stop of an entry and starts it again.
func (h *harness) restart(ctx context.Context, e *ferrydemo.Entry) error {
	if err := e.Process.Terminate(ctx); err != nil {
		return err
	}
	return h.StartEntry(ctx, e)
}
