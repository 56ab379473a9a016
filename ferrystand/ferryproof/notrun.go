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

// cutPoint is one point at which a dispatch is interrupted, with
// the outcomes allowed there and the number of runs of each call.
type cutPoint struct {
	name string
	set  func(ctx context.Context, h *harness) error
	// allowed lists the outcomes that are correct and as precise as possible at this point.
	allowed []string
	runs    int
	// timeout is the value of the caller's Request-Timeout header, in seconds; none if empty.
	timeout string
}

func setPlainFault(name string, value any) func(context.Context, *harness) error {
	return func(ctx context.Context, h *harness) error {
		return h.plainFaults(ctx, map[string]any{name: value})
	}
}

func setPlainLink(f ferryproxy.Fault) func(context.Context, *harness) error {
	return func(_ context.Context, h *harness) error {
		h.PlainProxy.SetAll(f)
		return nil
	}
}

func closePlainLink(_ context.Context, h *harness) error {
	h.PlainProxy.Close()
	return nil
}

var cutPoints = []cutPoint{
	{name: "no fault", set: setPlainLink(ferryproxy.Pass{}), allowed: []string{"Ran"}, runs: 1},
	{name: "cut before the read", set: setPlainFault("CutBeforeRead", 1), allowed: []string{"Unknown"}},
	{name: "cut after the run", set: setPlainFault("CutAfterRun", 1), allowed: []string{"Unknown"}, runs: 1},
	{name: "cut in the answer's body", set: setPlainFault("CutInBody", 1), allowed: []string{"Ran"}, runs: 1},
	{name: "silent after the run", set: setPlainFault("Silent", true), allowed: []string{"Unknown"}, runs: 1, timeout: shortTimeout},
	{name: "silent connection", set: setPlainLink(ferryproxy.Silent{}), allowed: []string{"Unknown"}, timeout: shortTimeout},
	// The close may be detected before or after the first byte is written, so both outcomes are allowed.
	{name: "closed after accept", set: setPlainLink(ferryproxy.Cut{}), allowed: []string{"Unknown", "NotRun"}},
	{name: "connection refused", set: closePlainLink, allowed: []string{"NotRun"}},
}

var notRun = Case{
	Name:      "notrun",
	Guarantee: "a call answered NotRun did not run, and Unknown is answered only where the outcome cannot be determined",
	Faults:    "each point at which a dispatch can be interrupted; the service leaving; its process killed",
	size:      ferrydemo.Config{Engines: 2, Entries: 3, PlainProxy: true},
	run: func(ctx context.Context, h *harness) error {
		for _, c := range cutPoints {
			if err := h.runCutPoint(ctx, c); err != nil {
				return err
			}
		}
		return h.checkLeavingPlain(ctx)
	},
}

// runCutPoint sends calls that are all interrupted at one point and checks their outcomes against the runs.
func (h *harness) runCutPoint(ctx context.Context, c cutPoint) error {
	if err := h.plainFaults(ctx, map[string]any{}); err != nil {
		return err
	}
	h.PlainProxy.SetAll(ferryproxy.Pass{})
	var calls []plainCall
	for n := range callsEach {
		if err := c.set(ctx, h); err != nil {
			return err
		}
		key := fmt.Sprintf("notrun-%s-%d", c.name, n)
		header := http.Header{"Idempotency-Key": {key}}
		if c.timeout != "" {
			header.Set("Request-Timeout", c.timeout)
		}
		calls = append(calls, h.send(ctx, n, key, ration, header))
	}
	return h.checkCalls(ctx, c, calls)
}

// checkCalls checks the outcomes reported at one cut point against the runs recorded by the plain service.
func (h *harness) checkCalls(ctx context.Context, c cutPoint, calls []plainCall) error {
	runs, err := h.runsByKey(ctx)
	if err != nil {
		return err
	}
	counts := map[string]int{}
	ran := 0
	for _, call := range calls {
		counts[call.reported()]++
		ran += runs[call.key]
		if !slices.Contains(c.allowed, call.reported()) {
			return fmt.Errorf("%s: key %s: expected one of the outcomes %v, got %s (%d %s)", c.name, call.key, c.allowed, call.reported(), call.status, call.detail)
		}
		if runs[call.key] != c.runs {
			return fmt.Errorf("%s: key %s was answered %s and ran %d times, expected %d", c.name, call.key, call.reported(), runs[call.key], c.runs)
		}
	}
	h.note("%-24s %2d calls: %2d NotRun, %2d Ran, %2d Unknown; %2d runs", c.name, len(calls), counts["NotRun"], counts["Ran"], counts["Unknown"], ran)
	return nil
}

// checkLeavingPlain makes the plain service refuse calls as leaving, and then kills it.
func (h *harness) checkLeavingPlain(ctx context.Context) error {
	proxy, err := ferryproxy.New(ferryproxy.Config{Listen: h.PlainProxy.Address(), Target: h.PlainAddress})
	if err != nil {
		return err
	}
	h.PlainProxy = proxy
	notRun := []string{"NotRun"}
	if err := h.runCutPoint(ctx, cutPoint{name: "service leaving", set: setPlainFault("Leaving", true), allowed: notRun, timeout: shortTimeout}); err != nil {
		return err
	}
	h.PlainProcess.Kill()
	dead := h.send(ctx, 0, "notrun-dead", ration, http.Header{"Idempotency-Key": {"notrun-dead"}, "Request-Timeout": {shortTimeout}})
	if dead.reported() != "NotRun" {
		return fmt.Errorf("call to a killed service: expected outcome NotRun, got %q", dead.reported())
	}
	h.note("%-24s  1 call:   1 NotRun", "service killed")
	return nil
}
