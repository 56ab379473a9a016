package ferryproof

import (
	"context"
	"fmt"
	"time"

	"cactusferry.dev/ferrystand/ferrydemo"
)

var leaving = Case{
	Name:    "leaving",
	Promise: "a leaving upstream gets nothing new after 5 s",
	Faults:  "one engine marked by an operator, one by the instance list alone, with the platform down afterwards, under load",
	size:    ferrydemo.Config{Engines: 8, Entries: 3},
	run: func(ctx context.Context, w *world) error {
		load, end := context.WithTimeout(ctx, 2*loadTime)
		defer end()
		var t tally
		wg := w.streams(load, ctx, loadCallers, loadTokens, &t)
		if _, err := w.Ctl(ctx, "drain", ferrydemo.ModelService, w.Engines[0].Name, "--operator", "morning"); err != nil {
			return err
		}
		if err := w.markListed(ctx, w.Engines[1]); err != nil {
			return err
		}
		time.Sleep(5 * time.Second)
		if err := w.platformFaults(ctx, map[string]any{"Outage": true}); err != nil {
			return err
		}
		before := [2]int{}
		for i := range before {
			n, err := w.streamsAt(ctx, w.Engines[i])
			if err != nil {
				return err
			}
			before[i] = n
		}
		wg.Wait()
		w.note("%s", &t)
		for i := range before {
			n, err := w.streamsAt(ctx, w.Engines[i])
			if err != nil {
				return err
			}
			w.note("%s: %d streams until 5 s after the mark, %d new ones in the %s after", w.Engines[i].Name, before[i], n-before[i], loadTime)
			if n > before[i] {
				return fmt.Errorf("%s got %d new streams more than 5 s after it was marked", w.Engines[i].Name, n-before[i])
			}
		}
		return t.err()
	},
}

// markListed changes an engine's row of the instance list, as the platform does when it takes an instance away.
func (w *world) markListed(ctx context.Context, e *ferrydemo.Engine) error {
	return w.PutJSON(ctx, "http://"+w.Platform+"/admin/instances/"+e.Name, map[string]any{
		"Name": e.Name, "Role": "Engine", "Service": ferrydemo.ModelService, "Address": e.Address,
		"FailureDomain": e.Domain, "State": "Leaving", "Layers": e.Layers,
	})
}

// streamsAt counts the streams and epochs that an engine has worked on.
func (w *world) streamsAt(ctx context.Context, e *ferrydemo.Engine) (int, error) {
	var records []struct {
		Stream string
		Epoch  int
	}
	if err := w.GetJSON(ctx, "http://"+e.Address+"/admin/records", &records); err != nil {
		return 0, err
	}
	type key struct {
		stream string
		epoch  int
	}
	seen := map[key]bool{}
	for _, r := range records {
		seen[key{r.Stream, r.Epoch}] = true
	}
	return len(seen), nil
}
