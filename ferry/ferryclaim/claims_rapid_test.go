package ferryclaim

import (
	"errors"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"cactusferry.dev/ferry/ferryoutcome"
)

// runHistory runs one random sequence of calls and faults and checks the invariants after each step.
func runHistory(rt *rapid.T) {
	w := newSimulationFlushing(3, rapid.SampledFrom([]int{100, tailFlushBytes}).Draw(rt, "flush bytes"))
	faults := rapid.SampledFrom([]fault{faultNone, faultNone, faultNone, faultDown, faultLostApplied, faultLostDropped, faultLostLate})
	down := false
	w.store.fault = func(write bool) fault {
		if down {
			return faultDown
		}
		if !write {
			return rapid.SampledFrom([]fault{faultNone, faultNone, faultNone, faultDown}).Draw(rt, "read fault")
		}
		return faults.Draw(rt, "fault")
	}
	entry := rapid.IntRange(0, 2)
	w.chooseOwner = func(t *simCall) *simEntry {
		if rapid.Bool().Draw(rt, "owner") {
			return t.entry
		}
		return w.entries[entry.Draw(rt, "owner")]
	}
	var tickets []Ticket
	// A caller with an outdated address may still reach an entry that has handed over.
	anyEntry := func(rt *rapid.T) *simEntry {
		return w.all[incarnation(rapid.IntRange(1, w.created).Draw(rt, "incarnation"))]
	}
	pick := func() *simCall { return w.calls[rapid.IntRange(0, len(w.calls)-1).Draw(rt, "call")] }
	rt.Repeat(map[string]func(*rapid.T){
		"begin": func(rt *rapid.T) {
			key := rapid.SampledFrom([]string{"a", "b"}).Draw(rt, "key")
			body := rapid.SampledFrom([]string{"one", "one", "one", "two"}).Draw(rt, "body")
			w.begin(anyEntry(rt), key, nil, body)
		},
		"issue": func(rt *rapid.T) {
			c := Call{Customer: "c", Service: "s"}
			if tk, ok := w.entries[entry.Draw(rt, "entry")].table.issue(c, w.now); ok && len(tickets) < 2 {
				tickets = append(tickets, tk)
			}
		},
		"use": func(rt *rapid.T) {
			if len(tickets) == 0 {
				rt.Skip()
			}
			tk := rapid.SampledFrom(tickets).Draw(rt, "ticket")
			w.begin(anyEntry(rt), "ticket "+tk.Ref.String(), &tk, "one")
		},
		"step": func(rt *rapid.T) {
			if len(w.calls) == 0 {
				rt.Skip()
			}
			w.step(pick(), rapid.IntRange(0, 9).Draw(rt, "lose") == 0)
		},
		"finish": func(rt *rapid.T) {
			if len(w.calls) == 0 {
				rt.Skip()
			}
			w.finish(pick())
		},
		"cancel": func(rt *rapid.T) {
			if len(w.calls) == 0 || rapid.IntRange(0, 2).Draw(rt, "rarely") > 0 {
				rt.Skip()
			}
			w.cancel(pick())
		},
		"io": func(rt *rapid.T) { w.io(w.entries[entry.Draw(rt, "entry")]) },
		"io more": func(rt *rapid.T) {
			n := w.entries[entry.Draw(rt, "entry")]
			for range 4 {
				w.io(n)
			}
		},
		"late writes land": func(*rapid.T) { w.store.applyLate() },
		"platform":         func(rt *rapid.T) { down = rapid.IntRange(0, 3).Draw(rt, "down") == 0 },
		"time": func(rt *rapid.T) {
			ds := []time.Duration{time.Millisecond, 100 * time.Millisecond, 3 * time.Second, simRetention / 3}
			w.now = w.now.Add(rapid.SampledFrom(ds).Draw(rt, "time"))
		},
		"crash": func(rt *rapid.T) {
			if rapid.IntRange(0, 3).Draw(rt, "rarely") > 0 {
				rt.Skip()
			}
			w.crash(entry.Draw(rt, "entry"))
		},
		"stop": func(rt *rapid.T) {
			if rapid.IntRange(0, 3).Draw(rt, "rarely") > 0 {
				rt.Skip()
			}
			assert.NilError(rt, w.stop(entry.Draw(rt, "entry")))
		},
		"": func(rt *rapid.T) {
			if len(w.failures) > 0 {
				rt.Fatalf("%s", strings.Join(w.failures, "\n"))
			}
		},
	})
	w.chooseOwner = nil
	w.runUntilIdle()
	checkRetries(rt, w, tickets)
}

// checkRetries retries every key and ticket without faults.
// Unknown is allowed only if the outcome was known to a crashed incarnation alone.
func checkRetries(rt *rapid.T, w *simulation, tickets []Ticket) {
	var last []*simCall
	for _, key := range []string{"a", "b"} {
		last = append(last, w.begin(w.entries[0], key, nil, "one"))
	}
	for _, tk := range tickets {
		last = append(last, w.begin(w.entries[0], "ticket "+tk.Ref.String(), &tk, "one"))
	}
	w.runUntilIdle()
	for _, t := range last {
		if !t.done {
			rt.Fatalf("%s: retry did not end, still waiting for %T", t.op, t.step)
		}
		var rep *Replay
		unknown := !errors.As(t.err, &rep) && ferryoutcome.Of(t.err) == ferryoutcome.Unknown
		if unknown && !w.mayBeUnknown[t.op] && t.a.ticket == nil {
			rt.Fatalf("%s: answered Unknown although its outcome was known: %v", t.op, t.err)
		}
	}
	if len(w.failures) > 0 {
		rt.Fatalf("%s", strings.Join(w.failures, "\n"))
	}
}

func TestHistoriesOfFaults(t *testing.T) {
	rapid.Check(t, runHistory)
}
