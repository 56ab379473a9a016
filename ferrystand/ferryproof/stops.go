package ferryproof

import (
	"context"
	"fmt"

	"cactusferry.dev/ferrystand/ferrydemo"
)

var plannedStops = Case{
	Name:    "stops",
	Promise: "a planned stop cuts off no request",
	Faults:  "each of nine entries stopped and replaced under load, then the three of one failure domain at once",
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
		return t.err()
	},
}

// replace stops an entry as planned and starts another run of it.
func (w *world) replace(ctx context.Context, e *ferrydemo.Entry) error {
	if err := e.Process.Terminate(ctx); err != nil {
		return err
	}
	return w.StartEntry(ctx, e)
}
