package ferryclaim

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"

	"cactusferry.dev/ferry/ferryoutcome"
)

const (
	hourTick         = 200 * time.Millisecond
	maxCallerTries   = 3
	callerRetryDelay = 5 * time.Second
	serviceTime      = 300 * time.Millisecond
)

// retryingCaller retries one call with the same key or ticket.
type retryingCaller struct {
	op     string
	ticket *Ticket
	call   *simCall
	tries  int
	due    time.Time
	sentAt time.Time
	issuer *simEntry
}

// hourRun simulates one hour of faults and counts the outcomes of the calls.
type hourRun struct {
	w       *simulation
	r       *rand.Rand
	active  []*retryingCaller
	counts  map[ferryoutcome.Outcome]int
	tickets bool
	every   int // ticks between calls
}

func (h *hourRun) tick(i int) {
	h.w.now = h.w.now.Add(hourTick)
	if i%h.every == 0 {
		h.arrive(i)
	}
	for range 3 {
		for _, n := range h.w.entries {
			h.w.io(n)
		}
		for _, c := range h.active {
			if c.call != nil {
				h.w.step(c.call, h.r.IntN(100) == 0)
			}
		}
	}
	keep := h.active[:0]
	for _, c := range h.active {
		if !h.advance(c) {
			keep = append(keep, c)
		}
	}
	h.active = keep
	h.w.calls = h.w.calls[:0]
	for _, c := range h.active {
		if c.call != nil {
			h.w.calls = append(h.w.calls, c.call)
		}
	}
}

// advance moves the call on and reports whether the caller has its final answer.
func (h *hourRun) advance(c *retryingCaller) bool {
	if c.call == nil {
		if h.w.now.Before(c.due) {
			return false
		}
		c.tries++
		c.call = h.w.begin(h.entry(c), c.op, c.ticket, "one")
	}
	switch {
	case c.call.sent && !c.call.done:
		if c.sentAt.IsZero() {
			c.sentAt = h.w.now
		}
		if h.w.now.Sub(c.sentAt) >= serviceTime {
			h.w.finish(c.call)
		}
	case c.call.done:
		return h.onAnswered(c)
	}
	return false
}

func (h *hourRun) entry(c *retryingCaller) *simEntry {
	if c.ticket != nil && !c.issuer.dead {
		return c.issuer
	}
	return h.w.entries[h.r.IntN(len(h.w.entries))]
}

func (h *hourRun) onAnswered(c *retryingCaller) bool {
	o := outcomeOf(c.call.err)
	var rep *Replay
	if !errors.As(c.call.err, &rep) && c.tries < maxCallerTries {
		c.call, c.sentAt, c.due = nil, time.Time{}, h.w.now.Add(callerRetryDelay)
		return false
	}
	h.counts[o]++
	return true
}

func (h *hourRun) run(minutes func(int) bool) string {
	down := false
	h.w.store.fault = func(write bool) fault {
		if down {
			return faultDown
		}
		if write && h.r.IntN(50) == 0 {
			return []fault{faultLostApplied, faultLostDropped, faultLostLate}[h.r.IntN(3)]
		}
		return faultNone
	}
	ticks := int(time.Hour / hourTick)
	for i := range ticks {
		down = minutes(i * int(hourTick) / int(time.Minute))
		if h.r.IntN(300) == 0 {
			h.w.crash(h.r.IntN(len(h.w.entries)))
		}
		if h.r.IntN(900) == 0 {
			_ = h.w.stop(h.r.IntN(len(h.w.entries)))
		}
		if i%5 == 0 {
			h.w.store.applyLate()
		}
		h.tick(i)
	}
	n := 0
	for _, c := range h.counts {
		n += c
	}
	return fmt.Sprintf("calls %d: Ran %d, NotRun %d, Unknown %d", n,
		h.counts[ferryoutcome.Ran], h.counts[ferryoutcome.NotRun], h.counts[ferryoutcome.Unknown])
}

// arrive adds a caller, with a new ticket if the run uses tickets.
func (h *hourRun) arrive(i int) {
	c := &retryingCaller{op: fmt.Sprintf("k%d", i), due: h.w.now}
	if h.tickets {
		c.issuer = h.w.entries[h.r.IntN(len(h.w.entries))]
		tk, _ := c.issuer.table.issue(Call{Customer: "c", Service: "s"}, h.w.now)
		c.ticket = &tk
	}
	h.active = append(h.active, c)
}

type hourCase struct {
	name    string
	down    func(minute int) bool
	tickets bool
}

var hourCases = []hourCase{
	{"keys, 60 crashes and 20 stops expected, 2% of writes lose their answer", func(int) bool { return false }, false},
	{"keys, the same and the platform away 5 minutes of 20", func(m int) bool { return m%20 >= 15 }, false},
	{"tickets, the same and the platform away 5 minutes of 20", func(m int) bool { return m%20 >= 15 }, true},
}

func newHourRun(tc hourCase, every int) *hourRun {
	return &hourRun{
		w: newSimulation(9), r: rand.New(rand.NewPCG(1, 2)), counts: map[ferryoutcome.Outcome]int{},
		tickets: tc.tickets, every: every,
	}
}

func TestHourOfFaults(t *testing.T) {
	var out strings.Builder
	for _, tc := range hourCases {
		h := newHourRun(tc, 25)
		fmt.Fprintf(&out, "%s\n  %s\n", tc.name, h.run(tc.down))
		assert.Assert(t, len(h.w.failures) == 0, strings.Join(h.w.failures, "\n"))
	}
	golden.Assert(t, out.String(), "hour.golden")
}

// BenchmarkHourOfFaults reports the outcomes at one call per second.
func BenchmarkHourOfFaults(b *testing.B) {
	for _, tc := range hourCases {
		b.Run(tc.name, func(b *testing.B) {
			for b.Loop() {
				h := newHourRun(tc, 5)
				h.run(tc.down)
				for _, o := range []ferryoutcome.Outcome{ferryoutcome.Ran, ferryoutcome.NotRun, ferryoutcome.Unknown} {
					b.ReportMetric(float64(h.counts[o]), string(o))
				}
			}
		})
	}
}
