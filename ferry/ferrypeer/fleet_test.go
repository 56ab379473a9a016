package ferrypeer_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"cactusferry.dev/ferry/ferryid"
	"cactusferry.dev/ferry/ferrypeer"
	"cactusferry.dev/ferry/ferrypeertest"
)

var start = time.Date(2026, 12, 4, 5, 0, 0, 0, time.UTC)

// difference describes the first deviation from the converged state, or returns an empty string.
// In the converged state each core has exactly the running cores as alive, and at most MaxLinks links.
func difference(f *ferrypeertest.Fleet) string {
	for name, c := range f.Cores() {
		ms := c.Overlay.Members()
		live := map[ferryid.EntryName]bool{}
		for _, m := range ms.List {
			if m.Status == ferrypeer.Suspect {
				return fmt.Sprintf("%s suspects %s", name, m.Name)
			}
			if m.Status != ferrypeer.Alive {
				continue
			}
			live[m.Name] = true
			o := f.Core(m.Name)
			if o == nil {
				return fmt.Sprintf("%s has %s as alive, which is not running", name, m.Name)
			}
			if o.Member.Incarnation != m.Incarnation {
				return fmt.Sprintf("%s has an old incarnation of %s", name, m.Name)
			}
		}
		if len(live) != len(f.Cores()) {
			return fmt.Sprintf("%s has %d of %d members as alive", name, len(live), len(f.Cores()))
		}
		if n := len(c.Overlay.Links()); n > ferrypeer.MaxLinks {
			return fmt.Sprintf("%s has %d links", name, n)
		}
	}
	return ""
}

func newFleet(n, domains int) *ferrypeertest.Fleet {
	f := ferrypeertest.New(start)
	for i := range n {
		name := fmt.Sprintf("entry-%03d", i)
		f.Add(f.MemberOf(name, fmt.Sprintf("domain-%d", i%domains), 1), []string{"entry-000:7400", "entry-001:7400"}, nil)
	}
	return f
}

func TestFleetConverges(t *testing.T) {
	t.Parallel()
	for _, tc := range []struct{ n, domains int }{{1, 1}, {2, 1}, {9, 3}, {50, 8}, {40, 1}} {
		t.Run(fmt.Sprintf("%d in %d", tc.n, tc.domains), func(t *testing.T) {
			t.Parallel()
			f := newFleet(tc.n, tc.domains)
			took, ok := f.RunUntil(100*time.Millisecond, 20*time.Second, func() bool { return difference(f) == "" })
			assert.Assert(t, ok, difference(f))
			f.Run(40 * time.Second)
			most := 0
			for _, c := range f.Cores() {
				most = max(most, len(c.Overlay.Links()))
			}
			t.Logf("converged after %s, at most %d links, %v", took, most, f.Core("entry-000").Overlay.Counts())
			assert.Equal(t, difference(f), "")
		})
	}
}
