package ferryproof

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"

	"cactusferry.dev/ferrystand/ferrydemo"
)

const (
	claimKeys = 32
	// claimFreezeTime exceeds the 4 s until a silent entry is
	// suspected plus the 3 s until a suspect is declared dead.
	claimFreezeTime = 8500 * time.Millisecond
	claimDelay      = 200 * time.Millisecond
	// claimRunTime is the run time of a call that is in progress when its entry is frozen.
	claimRunTime   = 2 * time.Second
	claimInterval  = 250 * time.Millisecond
	claimDeadline  = 12 * time.Second
	claimRetention = 2 * claimDeadline
	shortDeadline  = 2 * time.Second
	shortRetention = 2 * shortDeadline
	expiryRounds   = 2
	// retentionRounding is the tolerance on a retention time, since its end is stored in whole seconds.
	retentionRounding = time.Second
)

var claims = Case{
	Name:      "claims",
	Guarantee: "a non-idempotent call runs at most once while its key is retained",
	Faults:    "an entry that owns slots is frozen with claims and calls in progress until it is declared dead, while its keys are retried at the others, and then resumed; claims that expire during retries at all entries",
	size:      ferrydemo.Config{Engines: 2, Entries: 3},
	run: func(ctx context.Context, h *harness) error {
		if err := h.applyRetention(ctx, 1, claimDeadline, claimRetention); err != nil {
			return err
		}
		if err := h.freezeOwner(ctx); err != nil {
			return err
		}
		if err := h.applyRetention(ctx, 2, shortDeadline, shortRetention); err != nil {
			return err
		}
		return h.expireClaims(ctx)
	},
}

// applyRetention applies a document of the plain service with the given deadline and claim retention.
func (h *harness) applyRetention(ctx context.Context, base int, deadline, retention time.Duration) error {
	limits := fmt.Sprintf("[Limits]\nDeadline = %q\nClaimRetention = %q\n\n[[Upstreams]]", deadline, retention)
	text := strings.Replace(h.PlainDocument(), "[[Upstreams]]", limits, 1)
	if err := h.apply(ctx, ferrydemo.PlainService, text, base, "morning"); err != nil {
		return err
	}
	return h.WaitInForce(ctx, ferrydemo.PlainService, base+1)
}

// freezeOwner freezes an entry while its claims are being written,
// retries the keys at the other entries, and resumes it.
func (h *harness) freezeOwner(ctx context.Context) error {
	l := newCallLog()
	frozen, others := h.Entries[0], []int{1, 2}
	h.sendClaims(ctx, l, "warm", []int{0, 1, 2}, nil)
	if err := h.platformFaults(ctx, map[string]any{"DelayMS": claimDelay.Milliseconds()}); err != nil {
		return err
	}
	if err := h.plainFaults(ctx, map[string]any{"DelayMS": claimRunTime.Milliseconds()}); err != nil {
		return err
	}
	var wg sync.WaitGroup
	wg.Go(func() { h.sendClaims(ctx, l, "running", []int{0}, nil) })
	time.Sleep(claimRunTime / 2)
	wg.Go(func() { h.sendClaims(ctx, l, "frozen", []int{0}, nil) })
	time.Sleep(claimDelay / 2)
	if err := frozen.Process.Signal(syscall.SIGSTOP); err != nil {
		return err
	}
	resumed := make(chan struct{})
	if err := h.plainFaults(ctx, map[string]any{}); err != nil {
		return err
	}
	wg.Go(func() { h.sendClaims(ctx, l, "running", others, resumed) })
	wg.Go(func() { h.sendClaims(ctx, l, "frozen", others, resumed) })
	wg.Go(func() { h.sendClaims(ctx, l, "others", others, resumed) })
	time.Sleep(claimFreezeTime)
	if err := frozen.Process.Signal(syscall.SIGCONT); err != nil {
		return err
	}
	time.Sleep(claimInterval)
	close(resumed)
	wg.Wait()
	if err := h.platformFaults(ctx, map[string]any{}); err != nil {
		return err
	}
	h.sendClaims(ctx, l, "frozen", []int{0, 1, 2}, nil)
	return h.checkClaims(ctx, l, claimRetention, fmt.Sprintf("an entry with claims in progress frozen for %s", claimFreezeTime))
}

// expireClaims cuts connections after the run and retries
// the keys at all entries until the claims have expired.
func (h *harness) expireClaims(ctx context.Context) error {
	l := newCallLog()
	if err := h.plainFaults(ctx, map[string]any{"CutAfterRun": claimKeys}); err != nil {
		return err
	}
	if err := h.platformFaults(ctx, map[string]any{"DelayMS": claimDelay.Milliseconds() / 2}); err != nil {
		return err
	}
	over := make(chan struct{})
	time.AfterFunc(expiryRounds*shortRetention+2*retentionRounding, func() { close(over) })
	h.sendClaims(ctx, l, "expiring", []int{0, 1, 2}, over)
	return h.checkClaims(ctx, l, shortRetention, fmt.Sprintf("keys retained for %s retried for %s", shortRetention, expiryRounds*shortRetention+2*retentionRounding))
}

// sendClaims sends each key to the entries concurrently, and
// repeats that until end is closed; a nil end sends once.
func (h *harness) sendClaims(ctx context.Context, l *callLog, name string, entries []int, end <-chan struct{}) {
	var wg sync.WaitGroup
	for n := range claimKeys {
		for _, e := range entries {
			wg.Go(func() {
				for {
					l.add(h.post(ctx, e, fmt.Sprintf("%s-%d", name, n)))
					if end == nil || ctx.Err() != nil {
						return
					}
					select {
					case <-end:
						return
					case <-time.After(claimInterval):
					}
				}
			})
		}
	}
	wg.Wait()
}

// checkClaims checks that no key ran twice within its retention
// time, and counts the outcomes that callers received.
func (h *harness) checkClaims(ctx context.Context, l *callLog, retention time.Duration, what string) error {
	var records []struct {
		IdempotencyKey string
		AtMillis       int64
	}
	if err := h.GetJSON(ctx, "http://"+h.PlainAddress+"/admin/records", &records); err != nil {
		return err
	}
	runs := map[string][]int64{}
	for _, r := range records {
		runs[r.IdempotencyKey] = append(runs[r.IdempotencyKey], r.AtMillis)
	}
	outcomes := map[string]int{}
	once, again := 0, 0
	for key, calls := range l.calls {
		ran := false
		for _, c := range calls {
			outcomes[c.reported()]++
			ran = ran || c.reported() == "Ran"
		}
		if ran && len(runs[key]) == 0 {
			return fmt.Errorf("key %s was answered Ran but has no recorded run", key)
		}
		times := runs[key]
		slices.Sort(times)
		for i := 1; i < len(times); i++ {
			gap := time.Duration(times[i]-times[i-1]) * time.Millisecond
			if gap < retention-retentionRounding {
				return fmt.Errorf("key %s ran twice within %s; its retention is %s", key, gap, retention)
			}
			again++
		}
		if len(times) > 0 {
			once++
		}
	}
	h.note("%s: %d of %d keys ran, %d further runs after their retention, outcomes %v", what, once, len(l.calls), again, outcomes)
	if once == 0 {
		return fmt.Errorf("inconclusive: no key ran")
	}
	return nil
}
