package ferryroute

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"cactusferry.dev/ferry/ferryid"
	"cactusferry.dev/ferry/ferryrapid"
	"cactusferry.dev/ferry/ferryservice"
)

// TestMain sets the default seed and size of the property tests; flags override them.
func TestMain(m *testing.M) {
	ferryrapid.Main(m, ferryrapid.Settings{Seed: 20261204, Checks: 300})
}

// TestTableAgainstOracle checks that counts of outstanding work are exact and that no leaving or
// avoided upstream is selected.
func TestTableAgainstOracle(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		opts := Options{Choices: rapid.IntRange(0, 3).Draw(t, "choices"), NoAffinity: rapid.Bool().Draw(t, "plain")}
		tb := NewTable(opts)
		d := document(5)
		d.Policy.Route = rapid.SampledFrom([]ferryservice.RoutePolicy{ferryservice.RouteLeast, ferryservice.RouteRandom}).Draw(t, "policy")
		tb.SetDocument(d)
		leaving := map[ferryid.UpstreamName]bool{}
		var open []*Dispatch
		now, r := start, Rand(7)
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 3000).Draw(t, "ms")) * time.Millisecond)
			name := ferryid.UpstreamName(fmt.Sprintf("u%d", rapid.IntRange(0, 4).Draw(t, "upstream")))
			switch rapid.IntRange(0, 4).Draw(t, "op") {
			case 0, 1:
				w := &Work{Predicted: 50, Prefix: r.Next(), Avoid: []ferryid.UpstreamName{name}}
				s := tb.Snapshot()
				i := Choose(s, w, &r)
				if i < 0 {
					continue
				}
				c := s.At(i)
				if leaving[c.Name] || c.Name == name {
					t.Fatalf("Choose selected the leaving or avoided upstream %s", c.Name)
				}
				open = append(open, tb.Start(c.Name, 50, now))
			case 2:
				if len(open) > 0 {
					endOne(t, open[0], now)
					open = open[1:]
				}
			case 3:
				leaving[name] = !leaving[name]
				tb.SetLeaving(name, leaving[name])
			case 4:
				tb.Tick(now)
				if len(open) > 0 {
					open[0].Progress(ferryid.Tokens(rapid.IntRange(1, 200).Draw(t, "tokens")), now)
				}
			}
			checkCounts(t, tb, open)
		}
	})
}

func endOne(t *rapid.T, d *Dispatch, now time.Time) {
	switch rapid.IntRange(0, 3).Draw(t, "end") {
	case 0:
		d.Fail(FailureConnection, now)
	case 1:
		d.Fail(FailureAnswer, now)
	case 2:
		d.Cancel(now)
	case 3:
		d.Finish(70, now)
	}
}

func checkCounts(t *rapid.T, tb *Table, open []*Dispatch) {
	want := map[ferryid.UpstreamName]int{}
	for _, d := range open {
		want[d.up.row.name]++
	}
	for _, c := range tb.Snapshot().All() {
		if c.Running != want[c.Name] || c.Outstanding < 0 || (c.Running == 0 && c.Outstanding != 0) {
			t.Fatalf("counts of %+v do not match %d open calls", c, want[c.Name])
		}
	}
}

// TestBudgetBoundsRetries checks the limit for any order of first tries and retries.
func TestBudgetBoundsRetries(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := NewRetryBudget(0.25, 3)
		first, retries := 0, 0
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			if rapid.Bool().Draw(t, "first") {
				b.AddFirstTry()
				first++
			} else if b.Retry() {
				retries++
			}
			if float64(retries) > 3+0.25*float64(first) {
				t.Fatalf("%d retries allowed for %d first tries", retries, first)
			}
		}
	})
}
