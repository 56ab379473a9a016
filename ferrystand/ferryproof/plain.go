package ferryproof

import (
	"context"
	"fmt"
	"sync"
	"time"

	"cactusferry.dev/ferrystand/ferrydemo"
)

const changes = 40

var notRun = Case{
	Name:    "notrun",
	Promise: "a call answered NotRun was not run",
	Faults:  "connections cut before the read, after the run and in the answer's body; the plain service killed",
	size:    ferrydemo.Config{Engines: 2, Entries: 3},
	run: func(ctx context.Context, w *world) error {
		var calls []plainCall
		for i, fault := range []string{"", "CutBeforeRead", "CutAfterRun", "CutInBody"} {
			for n := range changes / 4 {
				if fault != "" {
					if err := w.plainFaults(ctx, map[string]any{fault: 1}); err != nil {
						return err
					}
				}
				calls = append(calls, w.post(ctx, n, fmt.Sprintf("notrun-%d-%d", i, n)))
			}
		}
		if err := w.compare(ctx, calls); err != nil {
			return err
		}
		w.Plains.Kill()
		dead := w.post(ctx, 0, "notrun-dead")
		w.note("with the service dead: status %d, %s", dead.status, dead.outcome)
		if dead.outcome != "NotRun" {
			return fmt.Errorf("a call to a dead service must be NotRun, is %q", dead.outcome)
		}
		return nil
	},
}

// compare holds what callers were told against what the plain service ran.
func (w *world) compare(ctx context.Context, calls []plainCall) error {
	runs, err := w.runs(ctx)
	if err != nil {
		return err
	}
	counts := map[string]int{}
	for _, c := range calls {
		told := c.outcome
		if c.err == nil && c.status < 300 {
			told = "Ran"
		}
		if c.err != nil {
			told = "no answer"
		}
		counts[told+" "+c.detail]++
		n := runs[c.key]
		switch {
		case n > 1:
			return fmt.Errorf("key %s ran %d times", c.key, n)
		case told == "NotRun" && n > 0:
			return fmt.Errorf("key %s was answered NotRun and ran", c.key)
		case told == "Ran" && n == 0:
			return fmt.Errorf("key %s was answered Ran and did not run", c.key)
		}
	}
	w.note("%d calls: %v; no key ran twice", len(calls), counts)
	return nil
}

var atMostOnce = Case{
	Name:    "once",
	Promise: "a call that may not be repeated runs at most once",
	Faults:  "the same key at all entries at once, entries killed, platform answers lost and late, platform down",
	size:    ferrydemo.Config{Engines: 2, Entries: 3},
	run: func(ctx context.Context, w *world) error {
		var mu sync.Mutex
		last := map[string][]plainCall{}
		burst := func(name string) {
			var wg sync.WaitGroup
			for n := range changes {
				for e := range w.Entries {
					wg.Go(func() {
						c := w.post(ctx, e, fmt.Sprintf("%s-%d", name, n))
						mu.Lock()
						defer mu.Unlock()
						last[c.key] = append(last[c.key], c)
					})
				}
			}
			wg.Wait()
		}
		burst("plain")
		if err := w.platformFaults(ctx, map[string]any{"LoseAnswers": 5, "LateEffectMS": 300}); err != nil {
			return err
		}
		burst("lost")
		go func() {
			time.Sleep(20 * time.Millisecond)
			w.Entries[0].Process.Kill()
		}()
		burst("killed")
		if err := w.platformFaults(ctx, map[string]any{"Outage": true}); err != nil {
			return err
		}
		burst("down")
		if err := w.platformFaults(ctx, map[string]any{}); err != nil {
			return err
		}
		return w.compareKeys(ctx, last)
	},
}

// compareKeys allows a key that ran to be answered NotRun only if a later repeat of it ran: the answer was true when it was given.
func (w *world) compareKeys(ctx context.Context, keys map[string][]plainCall) error {
	runs, err := w.runs(ctx)
	if err != nil {
		return err
	}
	counts := map[string]int{}
	for key, calls := range keys {
		if runs[key] > 1 {
			return fmt.Errorf("key %s ran %d times", key, runs[key])
		}
		ran, notRun := 0, 0
		for _, c := range calls {
			switch {
			case c.err != nil:
				counts["no answer"]++
			case c.status < 300:
				ran++
				counts["Ran"]++
			default:
				counts[c.outcome+" "+c.detail]++
				if c.outcome == "NotRun" {
					notRun++
				}
			}
		}
		if ran > 0 && runs[key] == 0 {
			return fmt.Errorf("key %s was answered Ran and did not run", key)
		}
		if notRun == len(calls) && runs[key] > 0 {
			return fmt.Errorf("key %s was answered NotRun by every entry and ran", key)
		}
	}
	w.note("%d keys at %d entries: %v; no key ran twice", len(keys), len(w.Entries), counts)
	return nil
}
