package ferryclaim

import (
	"context"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"

	"cactusferry.dev/ferry/ferryid"
	"cactusferry.dev/ferry/ferryoutcome"
)

// journalLoad submits claims and their outcomes to the slots and counts the platform calls.
type journalLoad struct {
	store   *memStore
	now     time.Time
	slots   [][]*slot // by entry, by slot
	serials []Serial
}

func newJournalLoad(entries, slots int) *journalLoad {
	l := &journalLoad{store: newMemStore(), now: time.Unix(1_800_000_000, 0), serials: make([]Serial, entries)}
	for e := range entries {
		var cs []*slot
		for s := range slots {
			cs = append(cs, newSlot(fmt.Sprintf("%04d", s), ferryid.Incarnation(fmt.Sprintf("7c0a9c1e-1f7c-4d6a-9a53-0000000000%02d", e))))
		}
		l.slots = append(l.slots, cs)
	}
	return l
}

func (l *journalLoad) io(c *slot) {
	for range 6 {
		a, _ := c.next(l.now)
		if a == nil {
			return
		}
		run := slotRunner{slot: c, store: l.store, clock: clockwork.NewFakeClock()}
		c.complete(l.now, a, run.do(context.Background(), a))
	}
}

// runSecond simulates one second: claims at the given rate, at most 20 writes per slot,
// and each outcome half a second after its claim.
func (l *journalLoad) runSecond(r *rand.Rand, rate int, owners bool) {
	const writes = 20
	var finish []func()
	for w := range writes {
		for i := range rate / writes {
			key := DigestOf([]byte(fmt.Sprint(l.now, w, i)))
			s := int(key[0]) % len(l.slots[0])
			by := r.IntN(len(l.slots))
			l.serials[by]++
			at := by
			if owners {
				at = s % len(l.slots)
			}
			core := l.slots[at][s]
			rec := Record{Key: key, Body: key, Ref: Ref{l.slots[by][0].self, l.serials[by]}, State: StateClaimed, Until: l.now.Unix() + 86400}
			core.submit(request{op: opClaim, rec: rec})
			rec.State, rec.Result = StateFinished, Result{Outcome: ferryoutcome.Ran, Status: 200, Complete: true, Body: []byte(`{"Accepted":true}`)}
			finish = append(finish, func() { core.submit(request{op: opFinish, rec: rec}) })
		}
		if w >= writes/2 {
			for _, f := range finish[:rate/writes] {
				f()
			}
			finish = finish[rate/writes:]
		}
		for _, cs := range l.slots {
			for _, c := range cs {
				l.io(c)
			}
		}
		l.now = l.now.Add(time.Second / writes)
	}
	for _, f := range finish {
		f()
	}
}

// BenchmarkJournal reports the platform calls for 100 claims/s on 9 entries; each b.Loop
// simulates one second.
func BenchmarkJournal(b *testing.B) {
	for _, slots := range []int{9, 16, 64} {
		for _, owners := range []bool{true, false} {
			b.Run(fmt.Sprintf("slots=%d/owners=%v", slots, owners), func(b *testing.B) {
				l := newJournalLoad(9, slots)
				r := rand.New(rand.NewPCG(1, 2))
				n := 0.0
				for b.Loop() {
					l.runSecond(r, 100, owners)
					n++
				}
				b.ReportMetric(float64(l.store.puts)/n, "puts/s")
				b.ReportMetric(float64(l.store.gets)/n, "gets/s")
				b.ReportMetric(float64(l.store.bytesWritten)/n, "B-written/s")
				b.ReportMetric(float64(l.store.bytesRead)/n, "B-read/s")
			})
		}
	}
}

func BenchmarkTicketIssue(b *testing.B) {
	c := New(Config{Self: "i1", Seal: testSeal(b), Slots: 1})
	for b.Loop() {
		_, _ = c.IssueTicket("c", "s")
	}
}

func BenchmarkTicketOpen(b *testing.B) {
	c := New(Config{Self: "i1", Seal: testSeal(b), Slots: 1})
	t, _ := c.IssueTicket("c", "s")
	for b.Loop() {
		_, _ = c.tickets.Open(t)
	}
}

// BenchmarkTicketCall issues a ticket and runs a call with it, without any platform call.
func BenchmarkTicketCall(b *testing.B) {
	c := New(Config{Self: "i1", Seal: testSeal(b), Slots: 1})
	for b.Loop() {
		t, _ := c.IssueTicket("c", "s")
		cl, err := c.Begin(b.Context(), Call{Customer: "c", Service: "s", Ticket: t})
		if err != nil {
			b.Fatal(err)
		}
		_ = cl.MarkDispatched()
		cl.Finish(b.Context(), Result{Outcome: ferryoutcome.Ran, Status: 204})
	}
}

// BenchmarkKeyCall claims a key and finishes, on an in-memory store without latency.
func BenchmarkKeyCall(b *testing.B) {
	c := New(Config{Self: "i1", Seal: testSeal(b), Store: newMemStore()})
	ctx, cancel := context.WithCancel(b.Context())
	done := make(chan error)
	go func() { done <- c.Run(ctx) }()
	n := 0
	for b.Loop() {
		n++
		cl, err := c.Begin(ctx, Call{Customer: "c", Service: "s", Key: fmt.Sprint(n)})
		if err != nil {
			b.Fatal(err)
		}
		_ = cl.MarkDispatched()
		cl.Finish(ctx, Result{Outcome: ferryoutcome.Ran, Status: 204})
	}
	cancel()
	<-done
}
