package ferrydocument_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"gotest.tools/v3/assert"

	"cactusferry.dev/ferry/ferrydocument"
	"cactusferry.dev/ferry/ferryevent"
	"cactusferry.dev/ferry/ferryservice"
)

var start = time.Date(2026, 12, 4, 12, 0, 0, 0, time.UTC)

// text returns a valid document that differs by its team only.
func text(team string) string {
	return fmt.Sprintf("Service = \"parlour-api\"\nTeam = %q\nKind = \"Plain\"\n", team)
}

// after returns the successor of a with the text of the team.
func after(a ferryservice.Accepted, team string) ferryservice.Accepted {
	next := a.Successor()
	next.Service = "parlour-api"
	next.ApplyID = "apply-" + team
	next.Operator = "op-" + team
	next.Source = text(team)
	return next
}

// chain returns n successive versions of one branch, starting after from.
func chain(branch string, from ferryservice.Accepted, n int) []ferryservice.Accepted {
	out := []ferryservice.Accepted{}
	for i := range n {
		from = after(from, fmt.Sprintf("%s%d", branch, i+1))
		out = append(out, from)
	}
	return out
}

func newHolder() (*ferrydocument.Holder, *ferryevent.Log) {
	clock := clockwork.NewFakeClockAt(start)
	events := ferryevent.NewLog(clock, "entry-1", 100)
	return ferrydocument.NewHolder(clock, events), events
}

func TestHolderVerdicts(t *testing.T) {
	a := chain("a", ferryservice.Accepted{}, 20)
	b := chain("b", a[1], 3)
	resolved := after(b[2], "resolved")
	resolved.Supersedes = []string{a[2].Hash()}
	afterResolved := after(resolved, "later")
	bad := after(a[2], "bad")
	bad.Source = "Service = 3"
	tests := []struct {
		name   string
		offers []ferryservice.Accepted
		want   ferrydocument.Verdict
		holds  ferryservice.Accepted
		alarms int
	}{
		{"first", a[:1], ferrydocument.Taken, a[0], 0},
		{"next", a[:2], ferrydocument.Taken, a[1], 0},
		{"next twice", []ferryservice.Accepted{a[0], a[1], a[1]}, ferrydocument.Same, a[1], 0},
		{"skips some", []ferryservice.Accepted{a[0], a[9]}, ferrydocument.Taken, a[9], 0},
		{"skips more than the ancestors listed", []ferryservice.Accepted{a[0], a[19]}, ferrydocument.Taken, a[19], 0},
		{"older", []ferryservice.Accepted{a[2], a[1]}, ferrydocument.Older, a[2], 0},
		{"same generation, other text", []ferryservice.Accepted{a[2], b[0]}, ferrydocument.Forked, a[2], 1},
		{"same alarm twice", []ferryservice.Accepted{a[2], b[0], b[0]}, ferrydocument.Forked, a[2], 1},
		{"later, of another branch", []ferryservice.Accepted{a[2], b[1]}, ferrydocument.Forked, a[2], 1},
		{"older, of another branch", []ferryservice.Accepted{a[3], b[0]}, ferrydocument.Forked, a[3], 1},
		{"resolves the fork", []ferryservice.Accepted{a[2], resolved}, ferrydocument.Taken, resolved, 0},
		{"resolves the fork from the other branch", []ferryservice.Accepted{b[2], resolved}, ferrydocument.Taken, resolved, 0},
		{"fork resolved one version before", []ferryservice.Accepted{a[2], afterResolved}, ferrydocument.Taken, afterResolved, 0},
		{"resolves another fork than the one held", []ferryservice.Accepted{a[3], resolved}, ferrydocument.Forked, a[3], 1},
		{"invalid text", []ferryservice.Accepted{a[2], bad}, ferrydocument.Invalid, a[2], 1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			h, events := newHolder()
			var got ferrydocument.Verdict
			for _, o := range tt.offers {
				got = h.Offer(o, "peer-2")
			}
			assert.Equal(t, got, tt.want)
			f, ok := h.Get("parlour-api")
			assert.Assert(t, ok)
			assert.Equal(t, f.Hash, tt.holds.Hash())
			alarms := 0
			for _, e := range events.Events() {
				if e.Kind != ferrydocument.EventTaken {
					alarms++
				}
			}
			assert.Equal(t, alarms, tt.alarms)
		})
	}
}

func TestDigestsFindMissingDocuments(t *testing.T) {
	a := chain("a", ferryservice.Accepted{}, 3)
	ahead, _ := newHolder()
	behind, _ := newHolder()
	for _, v := range a {
		ahead.Offer(v, "store")
	}
	behind.Offer(a[0], "store")
	assert.Assert(t, ahead.Digest().Sum() != behind.Digest().Sum())
	assert.Equal(t, len(behind.Missing(ahead.Digest())), 0)
	assert.Equal(t, len(behind.Wanted(ahead.Digest())), 1)
	missing := ahead.Missing(behind.Digest())
	assert.Equal(t, len(missing), 1)
	assert.Equal(t, behind.Offer(missing[0], "peer"), ferrydocument.Taken)
	assert.Equal(t, ahead.Digest().Sum(), behind.Digest().Sum())
	assert.Equal(t, len(ahead.Missing(nil)), 1, "a new entry must be sent every document")
}

func TestSubscriptionKeepsTheLatest(t *testing.T) {
	a := chain("a", ferryservice.Accepted{}, 3)
	h, _ := newHolder()
	h.Offer(a[0], "store")
	s := h.Subscribe()
	h.Offer(a[1], "store")
	h.Offer(a[2], "store")
	<-s.Ready()
	got := s.Take()
	assert.Equal(t, len(got), 1)
	assert.Equal(t, got[0].Hash, a[2].Hash())
	s.Close()
	h.Offer(after(a[2], "a4"), "store")
	assert.Equal(t, len(s.Take()), 0)
}

func TestHolderGetDoesNotAllocate(t *testing.T) {
	h, _ := newHolder()
	h.Offer(chain("a", ferryservice.Accepted{}, 1)[0], "store")
	n := testing.AllocsPerRun(100, func() { h.Get("parlour-api") })
	assert.Equal(t, n, 0.0)
}
