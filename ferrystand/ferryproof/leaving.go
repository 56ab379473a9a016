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
	run: func(ctx context.Context, h *harness) error {
		load, end := context.WithTimeout(ctx, 2*loadTime)
		defer end()
		var t tally
		wg := h.startStreams(load, ctx, loadCallers, loadTokens, &t)
		if _, err := h.Ctl(ctx, "drain", ferrydemo.ModelService, h.Engines[0].Name, "--operator", "morning"); err != nil {
			return err
		}
		if err := h.listAsLeaving(ctx, h.Engines[1]); err != nil {
			return err
		}
		time.Sleep(5 * time.Second)
		if err := h.platformFaults(ctx, map[string]any{"Outage": true}); err != nil {
			return err
		}
		before := [2]int{}
		for i := range before {
			n, err := h.countStreams(ctx, h.Engines[i])
			if err != nil {
				return err
			}
			before[i] = n
		}
		wg.Wait()
		h.note("%s", &t)
		for i := range before {
			n, err := h.countStreams(ctx, h.Engines[i])
			if err != nil {
				return err
			}
			h.note("%s: %d streams until 5 s after it was marked as leaving, %d new ones in the next %s", h.Engines[i].Name, before[i], n-before[i], loadTime)
			if n > before[i] {
				return fmt.Errorf("%s received %d new streams more than 5 s after it was marked as leaving", h.Engines[i].Name, n-before[i])
			}
		}
		return t.err()
	},
}

// listAsLeaving marks an engine as leaving in the instance
// list, as the platform does when it removes an instance.
func (h *harness) listAsLeaving(ctx context.Context, e *ferrydemo.Engine) error {
	return h.PutJSON(ctx, "http://"+h.PlatformAddress+"/admin/instances/"+e.Name, map[string]any{
		"Name": e.Name, "Role": "Engine", "Service": ferrydemo.ModelService, "Address": e.Address,
		"FailureDomain": e.Domain, "State": "Leaving", "Layers": e.Layers,
	})
}

// countStreams returns the number of distinct pairs of stream and epoch that an engine has run.
func (h *harness) countStreams(ctx context.Context, e *ferrydemo.Engine) (int, error) {
	var records []struct {
		Stream string
		Epoch  int
	}
	if err := h.GetJSON(ctx, "http://"+e.Address+"/admin/records", &records); err != nil {
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
	run: func(ctx context.Context, h *harness) error {
		near, far := h.halves()
		h.setLinks(near, far, ferryproxy.Cut{})
		began := time.Now()
		if err := h.setDrain(ctx, h.Engines[0], true); err != nil {
			return err
		}
		if err := h.waitLeaving(ctx, near, h.Engines[0], true, leaveLimit); err != nil {
			return err
		}
		h.note("the drain was known to the %d entries of its half after %s", len(near), time.Since(began).Round(time.Millisecond))
		if err := h.checkNoNewStreams(ctx, near, h.Engines[0], began); err != nil {
			return err
		}
		unaware := 0
		for _, e := range far {
			marked, err := h.reportsLeaving(ctx, e, h.Engines[0])
			if err != nil {
				return err
			}
			if !marked {
				unaware++
			}
		}
		h.note("%d of the %d entries of the other half had not learned of it", unaware, len(far))
		h.restoreLinks()
		began = time.Now()
		if err := h.waitLeaving(ctx, far, h.Engines[0], true, silentLinkLimit); err != nil {
			return err
		}
		h.note("after the halves were rejoined all entries learned of it within %s", time.Since(began).Round(time.Millisecond))
		return h.announceLeaving(ctx, h.Engines[1])
	},
}

// checkNoNewStreams sends load to the given entries only and checks
// that the engine gets no new stream from 5 s after the mark.
func (h *harness) checkNoNewStreams(ctx context.Context, entries []*ferrydemo.Entry, e *ferrydemo.Engine, marked time.Time) error {
	load, end := context.WithTimeout(ctx, loadTime)
	defer end()
	var t tally
	half := &harness{Fleet: &ferrydemo.Fleet{Entries: entries}}
	wg := half.startStreams(load, ctx, loadCallers, loadTokens, &t)
	time.Sleep(time.Until(marked.Add(leaveLimit)))
	before, err := h.countStreams(ctx, e)
	if err != nil {
		return err
	}
	wg.Wait()
	after, err := h.countStreams(ctx, e)
	if err != nil {
		return err
	}
	h.note("%s: %d streams until 5 s after it was marked as leaving, %d new ones later; %s", e.Name, before, after-before, &t)
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
func (h *harness) announceLeaving(ctx context.Context, e *ferrydemo.Engine) error {
	if err := h.PutJSON(ctx, "http://"+e.Address+"/admin/faults", map[string]any{"Leaving": true}); err != nil {
		return err
	}
	began := time.Now()
	load, end := context.WithTimeout(ctx, loadTime)
	defer end()
	var t tally
	wg := h.startStreams(load, ctx, loadCallers, loadTokens, &t)
	err := h.waitLeaving(ctx, h.Entries, e, true, leaveLimit)
	took := time.Since(began)
	wg.Wait()
	if err != nil {
		return err
	}
	h.note("%s announced its leaving in its answers: known to all %d entries after %s; %s", e.Name, len(h.Entries), took.Round(time.Millisecond), &t)
	return t.err()
}
