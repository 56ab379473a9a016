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
	// claimFreeze is past the 4 s after which a silent entry is noticed and the 3 s after which a suspect counts as dead.
	claimFreeze = 8500 * time.Millisecond
	claimDelay  = 200 * time.Millisecond
	// claimRun is how long a call runs that is under way when its entry is frozen.
	claimRun       = 2 * time.Second
	claimPause     = 250 * time.Millisecond
	claimDeadline  = 12 * time.Second
	claimRetention = 2 * claimDeadline
	shortDeadline  = 2 * time.Second
	shortRetention = 2 * shortDeadline
	expiryRounds   = 2
	// roundedBy is by how much a retention may be shorter than it says, since its end is kept in whole seconds.
	roundedBy = time.Second
)

var claims = Case{
	Name:    "claims",
	Promise: "a call that may not be repeated runs at most once while its key is recognised",
	Faults:  "an entry that owns slots frozen with claims and calls under way, past the time after which it counts as dead, while its keys go on at the others, and woken; claims that expire under retries at all entries",
	size:    ferrydemo.Config{Engines: 2, Entries: 3},
	run: func(ctx context.Context, w *world) error {
		if err := w.retention(ctx, 1, claimDeadline, claimRetention); err != nil {
			return err
		}
		if err := w.frozenOwner(ctx); err != nil {
			return err
		}
		if err := w.retention(ctx, 2, shortDeadline, shortRetention); err != nil {
			return err
		}
		return w.expiring(ctx)
	},
}

// retention puts a document of the plain service in force that recognises keys for a time.
func (w *world) retention(ctx context.Context, base int, deadline, retention time.Duration) error {
	limits := fmt.Sprintf("[Limits]\nDeadline = %q\nClaimRetention = %q\n\n[[Upstreams]]", deadline, retention)
	text := strings.Replace(w.PlainDocument(), "[[Upstreams]]", limits, 1)
	if err := w.apply(ctx, ferrydemo.PlainService, text, base, "morning"); err != nil {
		return err
	}
	return w.WaitInForce(ctx, ferrydemo.PlainService, base+1)
}

// frozenOwner freezes an entry while claims that it took are being written, repeats the keys at the others, and wakes it.
func (w *world) frozenOwner(ctx context.Context) error {
	l := newLedger()
	frozen, others := w.Entries[0], []int{1, 2}
	w.claimAt(ctx, l, "warm", []int{0, 1, 2}, nil)
	if err := w.platformFaults(ctx, map[string]any{"DelayMS": claimDelay.Milliseconds()}); err != nil {
		return err
	}
	if err := w.plainFaults(ctx, map[string]any{"DelayMS": claimRun.Milliseconds()}); err != nil {
		return err
	}
	var wg sync.WaitGroup
	wg.Go(func() { w.claimAt(ctx, l, "running", []int{0}, nil) })
	time.Sleep(claimRun / 2)
	wg.Go(func() { w.claimAt(ctx, l, "frozen", []int{0}, nil) })
	time.Sleep(claimDelay / 2)
	if err := frozen.Process.Signal(syscall.SIGSTOP); err != nil {
		return err
	}
	woken := make(chan struct{})
	if err := w.plainFaults(ctx, map[string]any{}); err != nil {
		return err
	}
	wg.Go(func() { w.claimAt(ctx, l, "running", others, woken) })
	wg.Go(func() { w.claimAt(ctx, l, "frozen", others, woken) })
	wg.Go(func() { w.claimAt(ctx, l, "others", others, woken) })
	time.Sleep(claimFreeze)
	if err := frozen.Process.Signal(syscall.SIGCONT); err != nil {
		return err
	}
	time.Sleep(claimPause)
	close(woken)
	wg.Wait()
	if err := w.platformFaults(ctx, map[string]any{}); err != nil {
		return err
	}
	w.claimAt(ctx, l, "frozen", []int{0, 1, 2}, nil)
	return w.judgeClaims(ctx, l, claimRetention, fmt.Sprintf("an entry with claims under way frozen for %s", claimFreeze))
}

// expiring cuts answers off after the run and repeats the keys at all entries until the claims have expired.
func (w *world) expiring(ctx context.Context) error {
	l := newLedger()
	if err := w.plainFaults(ctx, map[string]any{"CutAfterRun": claimKeys}); err != nil {
		return err
	}
	if err := w.platformFaults(ctx, map[string]any{"DelayMS": claimDelay.Milliseconds() / 2}); err != nil {
		return err
	}
	over := make(chan struct{})
	time.AfterFunc(expiryRounds*shortRetention+2*roundedBy, func() { close(over) })
	w.claimAt(ctx, l, "expiring", []int{0, 1, 2}, over)
	return w.judgeClaims(ctx, l, shortRetention, fmt.Sprintf("keys kept for %s repeated for %s", shortRetention, expiryRounds*shortRetention+2*roundedBy))
}

// claimAt sends each of some keys to the entries at once, and again and again until the end, if there is one.
func (w *world) claimAt(ctx context.Context, l *ledger, name string, entries []int, end <-chan struct{}) {
	var wg sync.WaitGroup
	for n := range claimKeys {
		for _, e := range entries {
			wg.Go(func() {
				for {
					l.add(w.post(ctx, e, fmt.Sprintf("%s-%d", name, n)))
					if end == nil || ctx.Err() != nil {
						return
					}
					select {
					case <-end:
						return
					case <-time.After(claimPause):
					}
				}
			})
		}
	}
	wg.Wait()
}

// judgeClaims checks that no key ran again within its retention, and counts what callers were told.
func (w *world) judgeClaims(ctx context.Context, l *ledger, retention time.Duration, what string) error {
	var records []struct {
		IdempotencyKey string
		AtMillis       int64
	}
	if err := w.GetJSON(ctx, "http://"+w.Plain+"/admin/records", &records); err != nil {
		return err
	}
	runs := map[string][]int64{}
	for _, r := range records {
		runs[r.IdempotencyKey] = append(runs[r.IdempotencyKey], r.AtMillis)
	}
	told := map[string]int{}
	once, again := 0, 0
	for key, calls := range l.calls {
		ran := false
		for _, c := range calls {
			told[c.told()]++
			ran = ran || c.told() == "Ran"
		}
		if ran && len(runs[key]) == 0 {
			return fmt.Errorf("key %s was answered Ran and did not run", key)
		}
		times := runs[key]
		slices.Sort(times)
		for i := 1; i < len(times); i++ {
			gap := time.Duration(times[i]-times[i-1]) * time.Millisecond
			if gap < retention-roundedBy {
				return fmt.Errorf("key %s ran again after %s, though it is kept for %s", key, gap, retention)
			}
			again++
		}
		if len(times) > 0 {
			once++
		}
	}
	w.note("%s: %d of %d keys ran, %d runs more after their retention, told %v", what, once, len(l.calls), again, told)
	if once == 0 {
		return fmt.Errorf("no key ran, so nothing was proved")
	}
	return nil
}
