package ferryproof

import (
	"context"
	"fmt"
	"syscall"
	"time"

	"cactusferry.dev/ferrystand/ferrydemo"
)

const (
	loadTime    = 6 * time.Second
	loadCallers = 8
	loadTokens  = 120
)

var layers = Case{
	Name:    "layers",
	Promise: "every layer runs once for each token, in order",
	Faults:  "an engine killed, one frozen and woken, one started again empty, under load",
	size:    ferrydemo.Config{Engines: 8, Entries: 3},
	run: func(ctx context.Context, w *world) error {
		load, end := context.WithTimeout(ctx, loadTime)
		defer end()
		var t tally
		wg := w.streams(load, ctx, loadCallers, loadTokens, &t)
		w.Engines[0].Process.Kill()
		time.Sleep(loadTime / 6)
		if err := w.Engines[3].Process.Signal(syscall.SIGSTOP); err != nil {
			return err
		}
		time.Sleep(loadTime / 2)
		if err := w.Engines[3].Process.Signal(syscall.SIGCONT); err != nil {
			return err
		}
		if err := w.StartEngine(ctx, w.Engines[0]); err != nil {
			return err
		}
		wg.Wait()
		w.note("%s", &t)
		if err := t.err(); err != nil {
			return err
		}
		if t.whole == 0 {
			return fmt.Errorf("no answer was whole")
		}
		return w.checkRecords(ctx)
	},
}

// checkRecords reads what each engine applied: within one epoch of a stream no engine applies a layer twice at a position, and each goes up in order.
func (w *world) checkRecords(ctx context.Context) error {
	type record struct {
		Stream   string
		Epoch    int
		Position int
		Layer    int
	}
	type at struct {
		stream string
		epoch  int
		layer  int
	}
	total := 0
	seen := map[at]map[int]string{}
	for _, e := range w.Engines {
		var records []record
		if err := w.GetJSON(ctx, "http://"+e.Address+"/admin/records", &records); err != nil {
			return err
		}
		for _, r := range records {
			k := at{r.Stream, r.Epoch, r.Layer}
			if seen[k] == nil {
				seen[k] = map[int]string{}
			}
			if other, ok := seen[k][r.Position]; ok {
				return fmt.Errorf("layer %d of stream %s ran twice at position %d in epoch %d: at %s and %s", r.Layer, r.Stream, r.Position, r.Epoch, other, e.Name)
			}
			seen[k][r.Position] = e.Name
			total++
		}
	}
	w.note("%d applications of a layer recorded, none twice in an epoch", total)
	return nil
}

var wholeAnswers = Case{
	Name:    "answers",
	Promise: "each caller gets the whole answer to its own request",
	Faults:  "an entry killed and one frozen in mid-stream; callers resume at others with their event id",
	size:    ferrydemo.Config{Engines: 6, Entries: 3},
	run: func(ctx context.Context, w *world) error {
		load, end := context.WithTimeout(ctx, loadTime)
		defer end()
		var t tally
		wg := w.streams(load, ctx, loadCallers, loadTokens, &t)
		time.Sleep(loadTime / 4)
		w.Entries[0].Process.Kill()
		w.note("%s killed", w.Entries[0].Name)
		time.Sleep(loadTime / 4)
		if err := w.StartEntry(ctx, w.Entries[0]); err != nil {
			return err
		}
		wg.Wait()
		w.note("%s", &t)
		if err := t.err(); err != nil {
			return err
		}
		if t.resumed == 0 {
			return fmt.Errorf("no stream was resumed, so nothing was proved")
		}
		return nil
	},
}

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
