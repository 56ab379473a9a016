package ferryproof

import (
	"context"
	"fmt"
	"time"

	"cactusferry.dev/ferrystand/ferrydemo"
	"cactusferry.dev/ferrystand/ferryproxy"
)

var leaving = Case{
	Name:      "leaving",
	Guarantee: "a leaving upstream receives no new work after 5 s",
	Faults:    "one engine drained by an operator, one marked only in the instance list, the platform down afterwards, under load",
	size:      ferrydemo.Config{Engines: 8, Entries: 3},
	run: func(ctx context.Context, w *harness) error {
		load, end := context.WithTimeout(ctx, 2*loadTime)
		defer end()
		var t tally
		wg := w.streams(load, ctx, loadCallers, loadTokens, &t)
		if _, err := w.Ctl(ctx, "drain", ferrydemo.ModelService, w.Engines[0].Name, "--operator", "morning"); err != nil {
			return err
		}
		if err := w.listAsLeaving(ctx, w.Engines[1]); err != nil {
			return err
		}
		time.Sleep(5 * time.Second)
		if err := w.platformFaults(ctx, map[string]any{"Outage": true}); err != nil {
			return err
		}
		before := [2]int{}
		for i := range before {
			n, err := w.countStreams(ctx, w.Engines[i])
			if err != nil {
				return err
			}
			before[i] = n
		}
		wg.Wait()
		w.note("%s", &t)
		for i := range before {
			n, err := w.countStreams(ctx, w.Engines[i])
			if err != nil {
				return err
			}
			w.note("%s: %d streams until 5 s after it was marked as leaving, %d new ones in the next %s", w.Engines[i].Name, before[i], n-before[i], loadTime)
			if n > before[i] {
				return fmt.Errorf("%s received %d new streams more than 5 s after it was marked as leaving", w.Engines[i].Name, n-before[i])
			}
		}
		return t.err()
	},
}

// listAsLeaving marks an engine as leaving in the instance
// list, as the platform does before it removes an instance.
func (w *harness) listAsLeaving(ctx context.Context, e *ferrydemo.Engine) error {
	return w.PutJSON(ctx, "http://"+w.PlatformAddress+"/admin/instances/"+e.Name, map[string]any{
		"Name": e.Name, "Role": "Engine", "Service": ferrydemo.ModelService, "Address": e.Address,
		"FailureDomain": e.Domain, "State": "Leaving", "Layers": e.Layers,
	})
}

// countStreams returns the number of distinct pairs of stream and epoch that an engine has run.
func (w *harness) countStreams(ctx context.Context, e *ferrydemo.Engine) (int, error) {
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
	Name:      "leaving-cut",
	Guarantee: "a leaving upstream receives no new work after 5 s from any entry that can learn of it",
	Faults:    "the entries partitioned into halves when an operator drains an engine; then an engine that announces its leaving only in its own answers",
	size:      ferrydemo.Config{Engines: 8, Entries: 6, PeerProxies: true},
	run: func(ctx context.Context, w *harness) error {
		near, far := w.halves()
		w.setLinks(near, far, ferryproxy.Cut{})
		began := time.Now()
		if err := w.setDrain(ctx, w.Engines[0], true); err != nil {
			return err
		}
		if err := w.waitLeaving(ctx, near, w.Engines[0], true, leaveLimit); err != nil {
			return err
		}
		w.note("the drain was known to the %d entries of its half after %s", len(near), time.Since(began).Round(time.Millisecond))
		if err := w.checkNoNewStreams(ctx, near, w.Engines[0], began); err != nil {
			return err
		}
		unaware := 0
		for _, e := range far {
			marked, err := w.reportsLeaving(ctx, e, w.Engines[0])
			if err != nil {
				return err
			}
			if !marked {
				unaware++
			}
		}
		w.note("%d of the %d entries of the other half had not learned of it", unaware, len(far))
		w.restoreLinks()
		began = time.Now()
		if err := w.waitLeaving(ctx, far, w.Engines[0], true, silentLinkLimit); err != nil {
			return err
		}
		w.note("after the halves were rejoined all entries learned of it within %s", time.Since(began).Round(time.Millisecond))
		return w.announceLeaving(ctx, w.Engines[1])
	},
}

// checkNoNewStreams sends load to the given entries only and checks
// that the engine gets no new stream from 5 s after the mark.
func (w *harness) checkNoNewStreams(ctx context.Context, entries []*ferrydemo.Entry, e *ferrydemo.Engine, marked time.Time) error {
	load, end := context.WithTimeout(ctx, loadTime)
	defer end()
	var t tally
	half := &harness{Fleet: &ferrydemo.Fleet{Entries: entries}}
	wg := half.streams(load, ctx, loadCallers, loadTokens, &t)
	time.Sleep(time.Until(marked.Add(leaveLimit)))
	before, err := w.countStreams(ctx, e)
	if err != nil {
		return err
	}
	wg.Wait()
	after, err := w.countStreams(ctx, e)
	if err != nil {
		return err
	}
	w.note("%s: %d streams until 5 s after it was marked as leaving, %d new ones later; %s", e.Name, before, after-before, &t)
	if after > before {
		return fmt.Errorf("%s received %d new streams more than 5 s after it was marked as leaving", e.Name, after-before)
	}
	if t.complete == 0 {
		return fmt.Errorf("inconclusive: no answer was complete")
	}
	return t.err()
}

// announceLeaving makes an engine announce its leaving only in its
// own answers, and waits until every entry has learned of it.
func (w *harness) announceLeaving(ctx context.Context, e *ferrydemo.Engine) error {
	if err := w.PutJSON(ctx, "http://"+e.Address+"/admin/faults", map[string]any{"Leaving": true}); err != nil {
		return err
	}
	began := time.Now()
	load, end := context.WithTimeout(ctx, loadTime)
	defer end()
	var t tally
	wg := w.streams(load, ctx, loadCallers, loadTokens, &t)
	err := w.waitLeaving(ctx, w.Entries, e, true, leaveLimit)
	took := time.Since(began)
	wg.Wait()
	if err != nil {
		return err
	}
	w.note("%s announced its leaving in its answers: known to all %d entries after %s; %s", e.Name, len(w.Entries), took.Round(time.Millisecond), &t)
	return t.err()
}
