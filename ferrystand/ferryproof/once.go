package ferryproof

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"time"

	"cactusferry.dev/ferrystand/ferrydemo"
)

const (
	changes     = 40
	killBursts  = 3
	killWithin  = 60 * time.Millisecond
	outageWait  = 30 * time.Millisecond
	settleTime  = 20 * time.Second
	outageLimit = 20 * time.Second
	settlePause = 200 * time.Millisecond
)

// ledger keeps what callers were told about each key.
type ledger struct {
	mu    sync.Mutex
	calls map[string][]plainCall
}

func (l *ledger) add(c plainCall) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.calls[c.key] = append(l.calls[c.key], c)
}

func newLedger() *ledger {
	return &ledger{calls: map[string][]plainCall{}}
}

var atMostOnce = Case{
	Name:    "once",
	Promise: "a call that may not be repeated runs at most once",
	Faults:  "the same key at all entries at once, entries killed, platform answers lost and late, platform down before, during and after, tickets of stopped and killed entries",
	size:    ferrydemo.Config{Engines: 2, Entries: 3},
	run: func(ctx context.Context, w *world) error {
		l := newLedger()
		w.burst(ctx, l, "plain")
		if err := w.platformFaults(ctx, map[string]any{"LoseAnswers": 5, "LateEffectMS": 300}); err != nil {
			return err
		}
		w.burst(ctx, l, "lost")
		for n := range killBursts {
			if err := w.killInBurst(ctx, l, fmt.Sprintf("killed-%d", n)); err != nil {
				return err
			}
		}
		if err := w.outageBursts(ctx, l); err != nil {
			return err
		}
		if err := w.otherBody(ctx); err != nil {
			return err
		}
		if err := w.tickets(ctx); err != nil {
			return err
		}
		return w.settle(ctx, l)
	},
}

// burst sends each of some keys to all entries at once.
func (w *world) burst(ctx context.Context, l *ledger, name string) {
	var wg sync.WaitGroup
	for n := range changes {
		for e := range w.Entries {
			wg.Go(func() { l.add(w.post(ctx, e, fmt.Sprintf("%s-%d", name, n))) })
		}
	}
	wg.Wait()
}

// killInBurst kills an entry at a random moment of a burst and starts another run of it.
func (w *world) killInBurst(ctx context.Context, l *ledger, name string) error {
	e := w.Entries[w.rand.IntN(len(w.Entries))]
	after := time.Duration(w.rand.Int64N(int64(killWithin)))
	killed := make(chan struct{})
	time.AfterFunc(after, func() {
		e.Process.Kill()
		close(killed)
	})
	w.burst(ctx, l, name)
	<-killed
	w.note("%s killed %s into a burst", e.Name, after.Round(time.Millisecond))
	return w.StartEntry(ctx, e)
}

// outageBursts takes the platform away before, during and after calls.
func (w *world) outageBursts(ctx context.Context, l *ledger) error {
	if err := w.platformFaults(ctx, map[string]any{"Outage": true}); err != nil {
		return err
	}
	w.burst(ctx, l, "down-before")
	if err := w.platformFaults(ctx, map[string]any{}); err != nil {
		return err
	}
	errs := make(chan error, 1)
	time.AfterFunc(outageWait, func() { errs <- w.platformFaults(ctx, map[string]any{"Outage": true}) })
	w.burst(ctx, l, "down-during")
	if err := <-errs; err != nil {
		return err
	}
	if err := w.platformFaults(ctx, map[string]any{}); err != nil {
		return err
	}
	w.burst(ctx, l, "down-after")
	if err := w.platformFaults(ctx, map[string]any{"Outage": true}); err != nil {
		return err
	}
	// A retry in the outage is answered from what entries know; it must not run anything anew.
	w.burst(ctx, l, "down-after")
	return w.platformFaults(ctx, map[string]any{})
}

// pastOutage repeats a call while an entry still holds the platform for away, which it may for a while after an outage.
func (w *world) pastOutage(ctx context.Context, call func() plainCall) (plainCall, error) {
	ctx, cancel := context.WithTimeout(ctx, outageLimit)
	defer cancel()
	for {
		c := call()
		if c.status != http.StatusServiceUnavailable || c.told() != "NotRun" {
			return c, nil
		}
		select {
		case <-ctx.Done():
			return c, fmt.Errorf("still refused %s after the outage: %s", outageLimit, c.detail)
		case <-time.After(retryPause):
		}
	}
}

// otherBody reuses a key for another body, which must be refused.
func (w *world) otherBody(ctx context.Context) error {
	const key = "reused"
	if _, err := w.untilTold(ctx, "Ran", func(n int) plainCall { return w.post(ctx, n, key) }); err != nil {
		return err
	}
	for e := range w.Entries {
		c, err := w.pastOutage(ctx, func() plainCall {
			return w.send(ctx, e, key, `{"Kilograms":9}`, http.Header{"Idempotency-Key": {key}})
		})
		if err != nil {
			return err
		}
		if c.told() != "NotRun" || c.status != http.StatusUnprocessableEntity {
			return fmt.Errorf("a key reused with another body must be refused, is %d %s %s", c.status, c.told(), c.detail)
		}
	}
	runs, err := w.runs(ctx)
	if err == nil && runs[key] != 1 {
		err = fmt.Errorf("key %s ran %d times", key, runs[key])
	}
	w.note("a key reused with another body: refused at %d entries", len(w.Entries))
	return err
}

// ticket asks an entry for a ticket.
func (w *world) ticket(ctx context.Context, e *ferrydemo.Entry) (string, error) {
	c := ferrydemo.Caller{Entry: e.Callers, Key: ferrydemo.CustomerKey}
	status, _, body, err := c.Do(ctx, http.MethodPost, "/v1/tickets?service="+ferrydemo.PlainService, "", nil)
	if err != nil {
		return "", err
	}
	var t struct{ Ticket string }
	if err := json.Unmarshal([]byte(body), &t); err != nil || t.Ticket == "" {
		return "", fmt.Errorf("ticket: status %d: %s", status, body)
	}
	return t.Ticket, nil
}

// tickets uses tickets of an entry that was stopped as planned and of one that was killed.
func (w *world) tickets(ctx context.Context) error {
	for _, tt := range []struct {
		name string
		stop func(e *ferrydemo.Entry) error
		told string
		runs int
	}{
		{"stopped", func(e *ferrydemo.Entry) error { return e.Process.Terminate(ctx) }, "Ran", 1},
		{"killed", func(e *ferrydemo.Entry) error { e.Process.Kill(); return nil }, "Unknown", 0},
	} {
		e := w.Entries[0]
		t, err := w.ticket(ctx, e)
		if err != nil {
			return err
		}
		if err := tt.stop(e); err != nil {
			return err
		}
		key := "ticket-of-" + tt.name
		header := http.Header{"Ticket": {t}}
		c, err := w.untilTold(ctx, tt.told, func(n int) plainCall { return w.sendTo(ctx, 1+n%2, key, key, ration, header) })
		if err != nil {
			return fmt.Errorf("a ticket of a %s entry: %w", tt.name, err)
		}
		again := w.sendTo(ctx, 2, key, key, ration, header)
		runs, err := w.runsOf(ctx, key)
		if err != nil {
			return err
		}
		w.note("a ticket of a %s entry: %s, again %s, %d executions", tt.name, c.told(), again.told(), runs)
		if runs != tt.runs {
			return fmt.Errorf("a ticket of a %s entry ran %d times, not %d", tt.name, runs, tt.runs)
		}
		if err := w.StartEntry(ctx, e); err != nil {
			return err
		}
	}
	return nil
}

// untilTold repeats a call until its outcome is the one wanted.
func (w *world) untilTold(ctx context.Context, want string, call func(n int) plainCall) (plainCall, error) {
	var c plainCall
	limit := time.Now().Add(settleTime)
	for n := 0; time.Now().Before(limit) && ctx.Err() == nil; n++ {
		c = call(n)
		if c.told() == want {
			return c, nil
		}
		time.Sleep(settlePause)
	}
	return c, fmt.Errorf("must be %s, is %s: %d %s %v", want, c.told(), c.status, c.detail, c.err)
}

// runsOf counts the executions for one cow.
func (w *world) runsOf(ctx context.Context, cow string) (int, error) {
	var records []struct{ Path string }
	if err := w.GetJSON(ctx, "http://"+w.Plain+"/admin/records", &records); err != nil {
		return 0, err
	}
	n := 0
	for _, r := range records {
		if r.Path == "/rations/"+cow {
			n++
		}
	}
	return n, nil
}

// settle repeats every key until it is known to have run or will never be known, and compares all that was told with what ran.
func (w *world) settle(ctx context.Context, l *ledger) error {
	first, err := w.judge(ctx, l)
	if err != nil {
		return err
	}
	w.note("%d keys at %d entries, before retries: %v", len(l.calls), len(w.Entries), first)
	ends := map[string]int{}
	var mu sync.Mutex
	var wg sync.WaitGroup
	n := 0
	for key := range l.calls {
		n++
		at := n
		wg.Go(func() {
			end := w.settleKey(ctx, l, at, key)
			mu.Lock()
			defer mu.Unlock()
			ends[end]++
		})
		if n%changes == 0 {
			wg.Wait()
		}
	}
	wg.Wait()
	if _, err := w.judge(ctx, l); err != nil {
		return err
	}
	w.note("after retries: %d keys ran, %d refused as NotRun, %d Unknown, %d unsettled; none ran twice", ends["Ran"], ends["NotRun"], ends["Unknown"], ends["no answer"])
	return nil
}

func (w *world) settleKey(ctx context.Context, l *ledger, at int, key string) string {
	last := plainCall{}
	limit := time.Now().Add(settleTime)
	for n := at; time.Now().Before(limit) && ctx.Err() == nil; n++ {
		last = w.post(ctx, n, key)
		l.add(last)
		inProgress := last.told() == "Unknown" && last.status == http.StatusConflict
		if last.told() == "Ran" || (last.told() == "Unknown" && !inProgress) {
			break
		}
		time.Sleep(settlePause)
	}
	return last.told()
}

// judge compares all that was told about each key with what ran.
func (w *world) judge(ctx context.Context, l *ledger) (map[string]int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	runs, err := w.runs(ctx)
	if err != nil {
		return nil, err
	}
	counts := map[string]int{}
	for key, calls := range l.calls {
		ran, notRun := 0, 0
		for _, c := range calls {
			counts[c.told()]++
			switch c.told() {
			case "Ran":
				ran++
			case "NotRun":
				notRun++
			}
		}
		switch {
		case runs[key] > 1:
			return nil, fmt.Errorf("key %s ran %d times", key, runs[key])
		case ran > 0 && runs[key] == 0:
			return nil, fmt.Errorf("key %s was answered Ran and did not run", key)
		case notRun == len(calls) && runs[key] > 0:
			// A single NotRun may be followed by another call's run; all of them may not.
			return nil, fmt.Errorf("key %s was answered NotRun by every entry and ran", key)
		}
	}
	return counts, nil
}
