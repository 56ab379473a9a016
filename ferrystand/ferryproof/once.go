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
	burstKeys      = 40
	killBursts     = 3
	killWindow     = 60 * time.Millisecond
	outageDelay    = 30 * time.Millisecond
	settleTime     = 20 * time.Second
	outageLimit    = 20 * time.Second
	settleInterval = 200 * time.Millisecond
)

// callLog records the answers that callers received for each key.
type callLog struct {
	mu    sync.Mutex
	calls map[string][]plainCall
}

func (l *callLog) add(c plainCall) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.calls[c.key] = append(l.calls[c.key], c)
}

func newCallLog() *callLog {
	return &callLog{calls: map[string][]plainCall{}}
}

var atMostOnce = Case{
	Name:      "once",
	Guarantee: "a non-idempotent call runs at most once",
	Faults:    "the same key at all entries concurrently, entries killed, platform answers lost and late, platform down before, during and after calls, tickets of stopped and killed entries",
	size:      ferrydemo.Config{Engines: 2, Entries: 3},
	run: func(ctx context.Context, h *harness) error {
		l := newCallLog()
		h.burst(ctx, l, "plain")
		if err := h.platformFaults(ctx, map[string]any{"LoseAnswers": 5, "LateEffectMS": 300}); err != nil {
			return err
		}
		h.burst(ctx, l, "lost")
		for n := range killBursts {
			if err := h.killInBurst(ctx, l, fmt.Sprintf("killed-%d", n)); err != nil {
				return err
			}
		}
		if err := h.outageBursts(ctx, l); err != nil {
			return err
		}
		if err := h.reuseKey(ctx); err != nil {
			return err
		}
		if err := h.checkTickets(ctx); err != nil {
			return err
		}
		return h.settle(ctx, l)
	},
}

// burst sends each of burstKeys keys to all entries concurrently.
func (h *harness) burst(ctx context.Context, l *callLog, name string) {
	var wg sync.WaitGroup
	for n := range burstKeys {
		for e := range h.Entries {
			wg.Go(func() { l.add(h.post(ctx, e, fmt.Sprintf("%s-%d", name, n))) })
		}
	}
	wg.Wait()
}

// killInBurst kills an entry at a random time during a burst and restarts it.
func (h *harness) killInBurst(ctx context.Context, l *callLog, name string) error {
	e := h.Entries[h.rand.IntN(len(h.Entries))]
	after := time.Duration(h.rand.Int64N(int64(killWindow)))
	killed := make(chan struct{})
	time.AfterFunc(after, func() {
		e.Process.Kill()
		close(killed)
	})
	h.burst(ctx, l, name)
	<-killed
	h.note("%s killed %s into a burst", e.Name, after.Round(time.Millisecond))
	return h.StartEntry(ctx, e)
}

// outageBursts sends bursts with a platform outage before, during and after the calls.
func (h *harness) outageBursts(ctx context.Context, l *callLog) error {
	if err := h.platformFaults(ctx, map[string]any{"Outage": true}); err != nil {
		return err
	}
	h.burst(ctx, l, "down-before")
	if err := h.platformFaults(ctx, map[string]any{}); err != nil {
		return err
	}
	errs := make(chan error, 1)
	time.AfterFunc(outageDelay, func() { errs <- h.platformFaults(ctx, map[string]any{"Outage": true}) })
	h.burst(ctx, l, "down-during")
	if err := <-errs; err != nil {
		return err
	}
	if err := h.platformFaults(ctx, map[string]any{}); err != nil {
		return err
	}
	h.burst(ctx, l, "down-after")
	if err := h.platformFaults(ctx, map[string]any{"Outage": true}); err != nil {
		return err
	}
	// A retry during the outage is answered from the entries' own state and must not run a call again.
	h.burst(ctx, l, "down-after")
	return h.platformFaults(ctx, map[string]any{})
}

// retryPastOutage repeats a call while it is refused because the entry
// still considers the platform down, as it may shortly after an outage.
func (h *harness) retryPastOutage(ctx context.Context, call func() plainCall) (plainCall, error) {
	ctx, cancel := context.WithTimeout(ctx, outageLimit)
	defer cancel()
	for {
		c := call()
		if c.status != http.StatusServiceUnavailable || c.reported() != "NotRun" {
			return c, nil
		}
		select {
		case <-ctx.Done():
			return c, fmt.Errorf("call still refused %s after the outage: %s", outageLimit, c.detail)
		case <-time.After(retryInterval):
		}
	}
}

// reuseKey sends a used key with another body, which must be refused.
func (h *harness) reuseKey(ctx context.Context) error {
	const key = "reused"
	if _, err := h.retryUntil(ctx, "Ran", func(n int) plainCall { return h.post(ctx, n, key) }); err != nil {
		return err
	}
	for e := range h.Entries {
		c, err := h.retryPastOutage(ctx, func() plainCall {
			return h.send(ctx, e, key, `{"Kilograms":9}`, http.Header{"Idempotency-Key": {key}})
		})
		if err != nil {
			return err
		}
		if c.reported() != "NotRun" || c.status != http.StatusUnprocessableEntity {
			return fmt.Errorf("key reused with another body: expected 422 and NotRun, got %d %s %s", c.status, c.reported(), c.detail)
		}
	}
	runs, err := h.runsByKey(ctx)
	if err == nil && runs[key] != 1 {
		err = fmt.Errorf("key %s ran %d times, expected 1", key, runs[key])
	}
	h.note("a key reused with another body: refused at %d entries", len(h.Entries))
	return err
}

// requestTicket requests a ticket for the plain service from an entry.
func (h *harness) requestTicket(ctx context.Context, e *ferrydemo.Entry) (string, error) {
	c := ferrydemo.Caller{Entry: e.CallerAddress, Key: ferrydemo.CustomerKey}
	status, _, body, err := c.Do(ctx, http.MethodPost, "/v1/tickets?service="+ferrydemo.PlainService, "", nil)
	if err != nil {
		return "", err
	}
	var t struct{ Ticket string }
	if err := json.Unmarshal([]byte(body), &t); err != nil || t.Ticket == "" {
		return "", fmt.Errorf("request a ticket: expected a ticket, got status %d: %s", status, body)
	}
	return t.Ticket, nil
}

// checkTickets uses tickets issued by an entry that then had a planned stop, and by one that was killed.
func (h *harness) checkTickets(ctx context.Context) error {
	for _, tt := range []struct {
		name string
		stop func(e *ferrydemo.Entry) error
		want string
		runs int
	}{
		{"stopped", func(e *ferrydemo.Entry) error { return e.Process.Terminate(ctx) }, "Ran", 1},
		{"killed", func(e *ferrydemo.Entry) error { e.Process.Kill(); return nil }, "Unknown", 0},
	} {
		e := h.Entries[0]
		t, err := h.requestTicket(ctx, e)
		if err != nil {
			return err
		}
		if err := tt.stop(e); err != nil {
			return err
		}
		key := "ticket-of-" + tt.name
		header := http.Header{"Ticket": {t}}
		c, err := h.retryUntil(ctx, tt.want, func(n int) plainCall { return h.sendTo(ctx, 1+n%2, key, key, ration, header) })
		if err != nil {
			return fmt.Errorf("ticket of a %s entry: %w", tt.name, err)
		}
		again := h.sendTo(ctx, 2, key, key, ration, header)
		runs, err := h.runsOfCow(ctx, key)
		if err != nil {
			return err
		}
		h.note("a ticket of a %s entry: %s, on a retry %s, %d runs", tt.name, c.reported(), again.reported(), runs)
		if runs != tt.runs {
			return fmt.Errorf("ticket of a %s entry ran %d times, expected %d", tt.name, runs, tt.runs)
		}
		if err := h.StartEntry(ctx, e); err != nil {
			return err
		}
	}
	return nil
}

// retryUntil repeats a call until it reports the expected outcome.
func (h *harness) retryUntil(ctx context.Context, want string, call func(n int) plainCall) (plainCall, error) {
	var c plainCall
	limit := time.Now().Add(settleTime)
	for n := 0; time.Now().Before(limit) && ctx.Err() == nil; n++ {
		c = call(n)
		if c.reported() == want {
			return c, nil
		}
		time.Sleep(settleInterval)
	}
	return c, fmt.Errorf("expected outcome %s, got %s: %d %s %v", want, c.reported(), c.status, c.detail, c.err)
}

// runsOfCow returns the number of runs for one cow's ration.
func (h *harness) runsOfCow(ctx context.Context, cow string) (int, error) {
	var records []struct{ Path string }
	if err := h.GetJSON(ctx, "http://"+h.PlainAddress+"/admin/records", &records); err != nil {
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

// settle retries every key until its outcome is final, Ran or Unknown,
// and checks all reported outcomes against the recorded runs.
func (h *harness) settle(ctx context.Context, l *callLog) error {
	first, err := h.checkOutcomes(ctx, l)
	if err != nil {
		return err
	}
	h.note("%d keys at %d entries, before retries: %v", len(l.calls), len(h.Entries), first)
	ends := map[string]int{}
	var mu sync.Mutex
	var wg sync.WaitGroup
	n := 0
	for key := range l.calls {
		n++
		at := n
		wg.Go(func() {
			end := h.settleKey(ctx, l, at, key)
			mu.Lock()
			defer mu.Unlock()
			ends[end]++
		})
		if n%burstKeys == 0 {
			wg.Wait()
		}
	}
	wg.Wait()
	if _, err := h.checkOutcomes(ctx, l); err != nil {
		return err
	}
	h.note("after retries: %d keys ran, %d refused as NotRun, %d Unknown, %d without a final outcome; none ran twice", ends["Ran"], ends["NotRun"], ends["Unknown"], ends["no answer"])
	return nil
}

func (h *harness) settleKey(ctx context.Context, l *callLog, at int, key string) string {
	last := plainCall{}
	limit := time.Now().Add(settleTime)
	for n := at; time.Now().Before(limit) && ctx.Err() == nil; n++ {
		last = h.post(ctx, n, key)
		l.add(last)
		inProgress := last.reported() == "Unknown" && last.status == http.StatusConflict
		if last.reported() == "Ran" || (last.reported() == "Unknown" && !inProgress) {
			break
		}
		time.Sleep(settleInterval)
	}
	return last.reported()
}

// checkOutcomes checks all outcomes reported for each key against the recorded runs, and counts them.
func (h *harness) checkOutcomes(ctx context.Context, l *callLog) (map[string]int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	runs, err := h.runsByKey(ctx)
	if err != nil {
		return nil, err
	}
	counts := map[string]int{}
	for key, calls := range l.calls {
		ran, notRun := 0, 0
		for _, c := range calls {
			counts[c.reported()]++
			switch c.reported() {
			case "Ran":
				ran++
			case "NotRun":
				notRun++
			}
		}
		switch {
		case runs[key] > 1:
			return nil, fmt.Errorf("key %s ran %d times, expected at most 1", key, runs[key])
		case ran > 0 && runs[key] == 0:
			return nil, fmt.Errorf("key %s was answered Ran but has no recorded run", key)
		case notRun == len(calls) && runs[key] > 0:
			// After a NotRun answer another call with the key may
			// still run, unless all calls were answered NotRun.
			return nil, fmt.Errorf("key %s was answered NotRun on every call but ran", key)
		}
	}
	return counts, nil
}
