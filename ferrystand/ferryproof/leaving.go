package ferryproof

import (
	"context"
	"fmt"
	"time"

	"cactusferry.dev/ferrystand/ferrydemo"
	"cactusferry.dev/ferrystand/ferryproxy"
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

var leavingCut = Case{
	Name:    "leaving-cut",
	Promise: "a leaving upstream gets nothing new after 5 s at each entry that can hear of it",
	Faults:  "half of the entries cut off from the other half when an operator marks an engine; then an engine that alone says that it leaves",
	size:    ferrydemo.Config{Engines: 8, Entries: 6, PeerProxies: true},
	run: func(ctx context.Context, w *world) error {
		near, far := w.halves()
		w.between(near, far, ferryproxy.Cut{})
		began := time.Now()
		if err := w.operatorMark(ctx, w.Engines[0], true); err != nil {
			return err
		}
		if err := w.marked(ctx, near, w.Engines[0], true, leaveLimit); err != nil {
			return err
		}
		w.note("the mark was held by the %d entries of its half after %s", len(near), time.Since(began).Round(time.Millisecond))
		if err := w.nothingNew(ctx, near, w.Engines[0], began); err != nil {
			return err
		}
		unheard := 0
		for _, e := range far {
			held, err := w.holdsLeaving(ctx, e, w.Engines[0])
			if err != nil {
				return err
			}
			if !held {
				unheard++
			}
		}
		w.note("%d of the %d entries cut off could not hear of it", unheard, len(far))
		w.join()
		began = time.Now()
		if err := w.marked(ctx, far, w.Engines[0], true, silenceReplaced); err != nil {
			return err
		}
		w.note("after the halves were joined all held it in %s", time.Since(began).Round(time.Millisecond))
		return w.ownAnswer(ctx, w.Engines[1])
	},
}

// nothingNew asks only the entries given and checks that the engine gets no new stream from 5 s after the mark.
func (w *world) nothingNew(ctx context.Context, entries []*ferrydemo.Entry, e *ferrydemo.Engine, marked time.Time) error {
	load, end := context.WithTimeout(ctx, loadTime)
	defer end()
	var t tally
	half := &world{Fleet: &ferrydemo.Fleet{Entries: entries}}
	wg := half.streams(load, ctx, loadCallers, loadTokens, &t)
	time.Sleep(time.Until(marked.Add(leaveLimit)))
	before, err := w.streamsAt(ctx, e)
	if err != nil {
		return err
	}
	wg.Wait()
	after, err := w.streamsAt(ctx, e)
	if err != nil {
		return err
	}
	w.note("%s: %d streams until 5 s after the mark, %d new ones later; %s", e.Name, before, after-before, &t)
	if after > before {
		return fmt.Errorf("%s got %d new streams more than 5 s after it was marked", e.Name, after-before)
	}
	if t.whole == 0 {
		return fmt.Errorf("no answer was whole, so nothing was proved")
	}
	return t.err()
}

// ownAnswer lets an engine say only in its own answers that it leaves, and waits until every entry knows.
func (w *world) ownAnswer(ctx context.Context, e *ferrydemo.Engine) error {
	if err := w.PutJSON(ctx, "http://"+e.Address+"/admin/faults", map[string]any{"Leaving": true}); err != nil {
		return err
	}
	began := time.Now()
	load, end := context.WithTimeout(ctx, loadTime)
	defer end()
	var t tally
	wg := w.streams(load, ctx, loadCallers, loadTokens, &t)
	err := w.marked(ctx, w.Entries, e, true, leaveLimit)
	took := time.Since(began)
	wg.Wait()
	if err != nil {
		return err
	}
	w.note("%s said itself that it leaves: held by all %d entries after %s; %s", e.Name, len(w.Entries), took.Round(time.Millisecond), &t)
	return t.err()
}
