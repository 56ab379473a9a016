package ferryproof

import (
	"context"
	"fmt"
	"net/http"
	"slices"

	"cactusferry.dev/ferrystand/ferrydemo"
	"cactusferry.dev/ferrystand/ferryproxy"
)

const (
	callsEach    = 12
	shortTimeout = "0.5"
)

// cutPoint is one place at which a dispatch is cut, what callers must be told there, and how often each call runs.
type cutPoint struct {
	name string
	set  func(ctx context.Context, w *world) error
	// told lists the outcomes that are true and say all that can be known at this point.
	told []string
	runs int
	// timeout is the caller's own limit in seconds, none if empty.
	timeout string
}

func plainFault(name string, value any) func(context.Context, *world) error {
	return func(ctx context.Context, w *world) error {
		return w.plainFaults(ctx, map[string]any{name: value})
	}
}

func plainLink(f ferryproxy.Fault) func(context.Context, *world) error {
	return func(_ context.Context, w *world) error {
		w.PlainProxy.SetAll(f)
		return nil
	}
}

func closePlainLink(_ context.Context, w *world) error {
	w.PlainProxy.Close()
	return nil
}

var cutPoints = []cutPoint{
	{name: "no fault", set: plainLink(ferryproxy.Pass{}), told: []string{"Ran"}, runs: 1},
	{name: "cut before the read", set: plainFault("CutBeforeRead", 1), told: []string{"Unknown"}},
	{name: "cut after the run", set: plainFault("CutAfterRun", 1), told: []string{"Unknown"}, runs: 1},
	{name: "cut in the answer's body", set: plainFault("CutInBody", 1), told: []string{"Ran"}, runs: 1},
	{name: "silent after the run", set: plainFault("Silent", true), told: []string{"Unknown"}, runs: 1, timeout: shortTimeout},
	{name: "silent connection", set: plainLink(ferryproxy.Silent{}), told: []string{"Unknown"}, timeout: shortTimeout},
	// Whether the close is seen before the first byte is written is a race; both answers are then all that is known.
	{name: "closed after accept", set: plainLink(ferryproxy.Cut{}), told: []string{"Unknown", "NotRun"}},
	{name: "connection refused", set: closePlainLink, told: []string{"NotRun"}},
}

var notRun = Case{
	Name:    "notrun",
	Promise: "a call answered NotRun was not run, and Unknown is answered only where nothing better is known",
	Faults:  "each point at which a dispatch can be cut; the service leaving; its process killed",
	size:    ferrydemo.Config{Engines: 2, Entries: 3, PlainProxy: true},
	run: func(ctx context.Context, w *world) error {
		for _, c := range cutPoints {
			if err := w.cut(ctx, c); err != nil {
				return err
			}
		}
		return w.leavingPlain(ctx)
	},
}

// cut makes calls that are all cut at one point and holds what was told against what ran.
func (w *world) cut(ctx context.Context, c cutPoint) error {
	if err := w.plainFaults(ctx, map[string]any{}); err != nil {
		return err
	}
	w.PlainProxy.SetAll(ferryproxy.Pass{})
	var calls []plainCall
	for n := range callsEach {
		if err := c.set(ctx, w); err != nil {
			return err
		}
		key := fmt.Sprintf("notrun-%s-%d", c.name, n)
		h := http.Header{"Idempotency-Key": {key}}
		if c.timeout != "" {
			h.Set("Request-Timeout", c.timeout)
		}
		calls = append(calls, w.send(ctx, n, key, ration, h))
	}
	return w.compare(ctx, c, calls)
}

// compare holds what callers were told at one cut point against what the plain service ran.
func (w *world) compare(ctx context.Context, c cutPoint, calls []plainCall) error {
	runs, err := w.runs(ctx)
	if err != nil {
		return err
	}
	counts := map[string]int{}
	ran := 0
	for _, call := range calls {
		counts[call.told()]++
		ran += runs[call.key]
		if !slices.Contains(c.told, call.told()) {
			return fmt.Errorf("%s: key %s must be answered %v, is %s (%d %s)", c.name, call.key, c.told, call.told(), call.status, call.detail)
		}
		if runs[call.key] != c.runs {
			return fmt.Errorf("%s: key %s was answered %s and ran %d times, not %d", c.name, call.key, call.told(), runs[call.key], c.runs)
		}
	}
	w.note("%-24s %2d calls: %2d NotRun, %2d Ran, %2d Unknown; %2d executions", c.name, len(calls), counts["NotRun"], counts["Ran"], counts["Unknown"], ran)
	return nil
}

// leavingPlain lets the service refuse calls as leaving and then kills it.
func (w *world) leavingPlain(ctx context.Context) error {
	proxy, err := ferryproxy.New(ferryproxy.Config{Listen: w.PlainProxy.Address(), Target: w.Plain})
	if err != nil {
		return err
	}
	w.PlainProxy = proxy
	notRun := []string{"NotRun"}
	if err := w.cut(ctx, cutPoint{name: "service leaving", set: plainFault("Leaving", true), told: notRun, timeout: shortTimeout}); err != nil {
		return err
	}
	w.Plains.Kill()
	dead := w.send(ctx, 0, "notrun-dead", ration, http.Header{"Idempotency-Key": {"notrun-dead"}, "Request-Timeout": {shortTimeout}})
	if dead.told() != "NotRun" {
		return fmt.Errorf("a call to a dead service must be NotRun, is %q", dead.told())
	}
	w.note("%-24s  1 call:   1 NotRun", "service killed")
	return nil
}
