package ferryproof

import (
	"context"
	"fmt"
	"slices"
	"time"

	"cactusferry.dev/ferry/ferrydocument"
	"cactusferry.dev/ferry/ferryevent"
	"cactusferry.dev/ferry/ferryservice"
	"cactusferry.dev/ferrystand/ferrydemo"
	"cactusferry.dev/ferrystand/ferryprocess"
	"cactusferry.dev/ferrystand/ferryproxy"
)

const (
	inForceLimit = 2 * time.Second
	// restoreLimit bounds the time until entries rewrite the generation in force to a store
	// restored to an older state. It covers their backoff after an outage and one list call.
	restoreLimit   = 10 * time.Second
	staleWatches   = 12
	documentObject = "/v1/objects/" + ferryservice.ObjectKind + "/" + ferrydemo.ModelService
)

var configuration = Case{
	Name:      "configuration",
	Guarantee: "accepted configuration is in force everywhere within seconds and never reverts",
	Faults:    "concurrent edits by two operators, lost answers, stale watches and lists, an entry restarted during an outage, a store restored to an older state, nine entries",
	size:      ferrydemo.Config{Engines: 2, Entries: 9},
	run: func(ctx context.Context, h *harness) error {
		if err := h.applyAndMeasure(ctx, 1); err != nil {
			return err
		}
		if err := h.raceOperators(ctx, 2); err != nil {
			return err
		}
		if err := h.platformFaults(ctx, map[string]any{"LoseAnswers": 1, "LateEffectMS": 500}); err != nil {
			return err
		}
		if err := h.applyAndMeasure(ctx, 3); err != nil {
			return err
		}
		if err := h.PutJSON(ctx, "http://"+h.PlatformAddress+"/admin/snapshot", nil); err != nil {
			return err
		}
		if err := h.applyAndMeasure(ctx, 4); err != nil {
			return err
		}
		if err := h.serveStaleReads(ctx, 5); err != nil {
			return err
		}
		if err := h.restartInOutage(ctx, 6); err != nil {
			return err
		}
		if err := h.PutJSON(ctx, "http://"+h.PlatformAddress+"/admin/restore", nil); err != nil {
			return err
		}
		if err := h.waitRestored(ctx, 6); err != nil {
			return err
		}
		if err := h.applyAndMeasure(ctx, 6); err != nil {
			return err
		}
		return h.checkNoRevert(ctx)
	},
}

// serveStaleReads makes watches report an older generation as a change, and then
// makes lists and watches return an older state while a document is applied.
func (h *harness) serveStaleReads(ctx context.Context, base int) error {
	if err := h.platformFaults(ctx, map[string]any{"OldWatches": staleWatches}); err != nil {
		return err
	}
	time.Sleep(inForceLimit / 2)
	if err := h.platformFaults(ctx, map[string]any{"OldReads": true}); err != nil {
		return err
	}
	if err := h.applyAndMeasure(ctx, base); err != nil {
		return err
	}
	time.Sleep(inForceLimit / 2)
	if err := h.platformFaults(ctx, map[string]any{}); err != nil {
		return err
	}
	detected := 0
	for _, e := range h.Entries {
		events, err := h.Events(ctx, e)
		if err != nil {
			return err
		}
		if slices.ContainsFunc(events, func(ev ferryevent.Event) bool { return ev.Kind == ferrydocument.EventStoreRolledBack }) {
			detected++
		}
	}
	h.note("stale watches and lists returned generation 4: detected by %d entries", detected)
	if detected == 0 {
		return fmt.Errorf("inconclusive: no entry detected the stale reads")
	}
	return nil
}

// waitRestored waits until the entries have written the generation
// in force to a store that was restored to an older state.
func (h *harness) waitRestored(ctx context.Context, generation int) error {
	began := time.Now()
	ctx, cancel := context.WithTimeout(ctx, restoreLimit)
	defer cancel()
	err := ferryprocess.Poll(ctx, func(ctx context.Context) error {
		var stored struct{ Generation int }
		err := h.GetJSON(ctx, "http://"+h.PlatformAddress+documentObject, &stored)
		if err == nil && stored.Generation != generation {
			err = fmt.Errorf("store has generation %d, expected %d", stored.Generation, generation)
		}
		return err
	})
	h.note("the store was restored to generation 4 and held generation %d again after %s", generation, time.Since(began).Round(time.Millisecond))
	return err
}

// applyAndMeasure applies a document on top of a base generation
// and measures the time until it is in force everywhere.
func (h *harness) applyAndMeasure(ctx context.Context, base int) error {
	if err := h.apply(ctx, ferrydemo.ModelService, h.ModelDocument(100+base), base, "morning"); err != nil {
		return err
	}
	began := time.Now()
	if err := h.WaitInForce(ctx, ferrydemo.ModelService, base+1); err != nil {
		return err
	}
	took := time.Since(began)
	h.note("generation %d in force at %d entries after %s", base+1, len(h.Entries), took.Round(time.Millisecond))
	if took > inForceLimit {
		return fmt.Errorf("generation %d was in force after %s, limit %s", base+1, took, inForceLimit)
	}
	return nil
}

// raceOperators makes two concurrent edits of the same generation; exactly one must be accepted.
func (h *harness) raceOperators(ctx context.Context, base int) error {
	errs := make(chan error, 2)
	for i, operator := range []string{"morning", "afternoon"} {
		go func() { errs <- h.apply(ctx, ferrydemo.ModelService, h.ModelDocument(200+i), base, operator) }()
	}
	first, second := <-errs, <-errs
	if (first == nil) == (second == nil) {
		return fmt.Errorf("two concurrent edits of generation %d: expected one error, got %v and %v", base, first, second)
	}
	h.note("two concurrent edits of generation %d: one accepted, one refused", base)
	return h.WaitInForce(ctx, ferrydemo.ModelService, base+1)
}

// restartInOutage restarts an entry while the platform is down; it must load the document from its peers.
func (h *harness) restartInOutage(ctx context.Context, generation int) error {
	if err := h.platformFaults(ctx, map[string]any{"Outage": true}); err != nil {
		return err
	}
	h.Entries[0].Process.Kill()
	began := time.Now()
	if err := h.StartEntry(ctx, h.Entries[0]); err != nil {
		return err
	}
	if err := h.WaitInForce(ctx, ferrydemo.ModelService, generation); err != nil {
		return err
	}
	h.note("an entry started during the outage loaded generation %d from its peers after %s", generation, time.Since(began).Round(time.Millisecond))
	if err := h.apply(ctx, ferrydemo.ModelService, h.ModelDocument(300), generation, "afternoon"); err == nil {
		return fmt.Errorf("a document was accepted while the platform was down")
	}
	return h.platformFaults(ctx, map[string]any{})
}

// checkNoRevert checks on the time line of every entry that generations only increased.
func (h *harness) checkNoRevert(ctx context.Context) error {
	steps := 0
	for _, e := range h.Entries {
		events, err := h.Events(ctx, e)
		if err != nil {
			return err
		}
		last := 0
		for _, ev := range events {
			if ev.Kind != ferrydocument.EventTaken || ev.Subject != ferrydemo.ModelService {
				continue
			}
			g := 0
			if _, err := fmt.Sscanf(ev.Detail, "generation %d", &g); err != nil {
				return fmt.Errorf("event %s: %w", ev, err)
			}
			if g <= last {
				return fmt.Errorf("generation at %s did not increase: from %d to %d: %s", e.Name, last, g, ev)
			}
			last = g
			steps++
		}
	}
	h.note("%d changes of generation at %d entries, all increasing", steps, len(h.Entries))
	if steps < len(h.Entries) {
		return fmt.Errorf("inconclusive: the time lines are incomplete")
	}
	return nil
}

const slowLimit = 5 * time.Second

var partition = Case{
	Name:      "partition",
	Guarantee: "accepted configuration is in force at every reachable entry in time and never reverts, also with cut links and a slow platform",
	Faults:    "two halves of eight entries partitioned by cut links, then by silent links, then rejoined; platform calls delayed by 1 s; its watches by 3 s",
	size:      ferrydemo.Config{Engines: 2, Entries: 8, PeerProxies: true},
	run: func(ctx context.Context, h *harness) error {
		generation := 1
		near, far := h.halves()
		for _, f := range []ferryproxy.Fault{ferryproxy.Cut{}, ferryproxy.Silent{}} {
			h.setLinks(near, far, f)
			took, err := h.waitSplit(ctx, near[0], silentLinkLimit)
			if err != nil {
				return err
			}
			h.note("links %T: %s no longer sees the other half as alive after %s", f, near[0].Name, took.Round(time.Millisecond))
			if err := h.applyWithin(ctx, near, generation, inForceLimit, fmt.Sprintf("half that received the change, links %T", f)); err != nil {
				return err
			}
			generation++
			took, err = h.waitGeneration(ctx, far, generation, silentLinkLimit)
			if err != nil {
				return fmt.Errorf("other half, which still reaches the platform: %w", err)
			}
			h.note("other half, which still reaches the platform: %s later", took.Round(time.Millisecond))
			if err := h.applyWithin(ctx, near, generation, inForceLimit, "second change in the same half"); err != nil {
				return err
			}
			generation++
			h.restoreLinks()
			took, err = h.waitGeneration(ctx, h.Entries, generation, silentLinkLimit)
			if err != nil {
				return err
			}
			rejoined, err := h.waitMembership(ctx, rejoinLimit)
			if err != nil {
				return err
			}
			h.note("rejoined: in force everywhere after %s, membership complete %s later", took.Round(time.Millisecond), rejoined.Round(time.Millisecond))
		}
		for _, slow := range []struct {
			faults map[string]any
			limit  time.Duration
		}{{map[string]any{"DelayMS": 1000}, slowLimit}, {map[string]any{"WatchLagMS": 3000}, inForceLimit}} {
			if err := h.platformFaults(ctx, slow.faults); err != nil {
				return err
			}
			if err := h.applyWithin(ctx, h.Entries, generation, slow.limit, fmt.Sprintf("platform %v", slow.faults)); err != nil {
				return err
			}
			generation++
		}
		return h.platformFaults(ctx, map[string]any{})
	},
}

// rejoinLimit bounds the time until the membership is complete
// after a long partition, since entries redial with backoff.
const rejoinLimit = 30 * time.Second

// applyWithin applies a document and checks that it is in force at the given entries within the limit.
func (h *harness) applyWithin(ctx context.Context, entries []*ferrydemo.Entry, base int, limit time.Duration, where string) error {
	if err := h.apply(ctx, ferrydemo.ModelService, h.ModelDocument(100+base), base, "morning"); err != nil {
		return err
	}
	took, err := h.waitGeneration(ctx, entries, base+1, limit)
	if err != nil {
		return fmt.Errorf("%s: %w", where, err)
	}
	h.note("%s: generation %d in force at %d entries after %s", where, base+1, len(entries), took.Round(time.Millisecond))
	return nil
}
