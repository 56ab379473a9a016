package ferryduty_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"cactusferry.dev/ferry/ferryduty"
	"cactusferry.dev/ferry/ferryid"
	"cactusferry.dev/ferry/ferrypeer"
)

func membersOf(n, domains int) ferrypeer.Members {
	ms := ferrypeer.Members{Self: "entry-000"}
	for i := range n {
		ms.List = append(ms.List, ferrypeer.MemberInfo{
			Member: ferrypeer.Member{
				Name: ferryid.EntryName(fmt.Sprintf("entry-%03d", i)), FailureDomain: ferryid.DomainName(fmt.Sprintf("domain-%d", i%domains)),
			},
			State: ferrypeer.Ready, Status: ferrypeer.Alive,
		})
	}
	return ms
}

func without(ms ferrypeer.Members, name ferryid.EntryName) ferrypeer.Members {
	out := ms
	out.List = slices.Clone(ms.List)
	for i := range out.List {
		if out.List[i].Name == name {
			out.List[i].Status = ferrypeer.Dead
		}
	}
	return out
}

func TestHolders(t *testing.T) {
	for _, tc := range []struct{ n, domains, k, want, wantDomains int }{
		{0, 1, 3, 0, 0},
		{1, 1, 3, 1, 1},
		{9, 3, 3, 3, 3},
		{9, 3, 5, 5, 3},
		{9, 1, 3, 3, 1},
		{350, 8, 8, 8, 8},
	} {
		t.Run(fmt.Sprintf("%+v", tc), func(t *testing.T) {
			ms := membersOf(tc.n, tc.domains)
			for slot := range 50 {
				holders := ferryduty.Holders(ms, ferryduty.Slot("claims", slot), tc.k)
				domains := map[ferryid.DomainName]bool{}
				for _, h := range holders {
					m, ok := ms.Get(h)
					assert.Assert(t, ok)
					domains[m.FailureDomain] = true
				}
				assert.Equal(t, len(holders), tc.want)
				assert.Equal(t, len(domains), tc.wantDomains)
			}
		})
	}
}

func TestMemberLossMovesOnlyItsDuties(t *testing.T) {
	ms := membersOf(50, 8)
	gone := ferryid.EntryName("entry-007")
	after := without(ms, gone)
	moved, held := 0, 0
	for slot := range 1000 {
		d := ferryduty.Slot("claims", slot)
		before, now := ferryduty.Holders(ms, d, 1)[0], ferryduty.Holders(after, d, 1)[0]
		assert.Assert(t, now != gone)
		if before == gone {
			held++
		}
		if before != now {
			moved++
		}
	}
	assert.Equal(t, moved, held)
}

func TestHoldersPerDomainAndSelf(t *testing.T) {
	ms := membersOf(350, 8)
	holders := ferryduty.HoldersPerDomain(ms, "watch", 2)
	assert.Equal(t, len(holders), 16)
	ms.Self = holders[0]
	assert.Assert(t, ferryduty.HoldsInDomain(ms, "watch", 2))
	ms.Self = ferryduty.Holders(ms, "lease", 1)[0]
	assert.Assert(t, ferryduty.Holds(ms, "lease", 1))
	ms.Self = "entry-999"
	assert.Assert(t, !ferryduty.Holds(ms, "lease", 1))
}

func TestDutiesAreSpreadEvenly(t *testing.T) {
	ms := membersOf(350, 8)
	held := map[ferryid.EntryName]int{}
	for slot := range 3500 {
		held[ferryduty.Holders(ms, ferryduty.Slot("limits", slot), 1)[0]]++
	}
	maxHeld := 0
	for _, n := range held {
		maxHeld = max(maxHeld, n)
	}
	assert.Assert(t, maxHeld < 30, "one entry holds %d duties, mean 10", maxHeld)
}

// TestBackoffStaysWithinTotalRate has all entries lose the platform at the same time and counts their calls
// in each second.
func TestBackoffStaysWithinTotalRate(t *testing.T) {
	const total = 300
	for _, n := range []int{9, 50, 350} {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			assert.Assert(t, float64(ferryduty.Share(total, n))*float64(n) <= total)
			const outage = 2 * time.Minute
			perSecond := map[int]int{}
			latest := time.Duration(0)
			for i := range n {
				self := ferryid.EntryName(fmt.Sprintf("entry-%03d", i))
				at := time.Duration(0)
				for failures := 1; ; failures++ {
					at += ferryduty.Backoff(self, total, n, failures)
					perSecond[int(at/time.Second)]++
					if at > outage {
						latest = max(latest, at-outage)
						break
					}
				}
			}
			most := 0
			for _, calls := range perSecond {
				most = max(most, calls)
			}
			t.Logf("%d entries: at most %d calls/s of %d allowed, last reconnect %s after the end of the outage", n, most, total, latest)
			assert.Assert(t, most <= total)
			assert.Assert(t, latest < 19*time.Second)
		})
	}
}

func TestInDomainListsUsableEntriesFirst(t *testing.T) {
	ms := membersOf(9, 3)
	first := ferryduty.InDomain(ms, "reader", "domain-0")
	assert.Equal(t, len(first), 3)
	for i := range ms.List {
		if ms.List[i].Name == first[0] {
			ms.List[i].State = ferrypeer.Draining
		}
	}
	assert.DeepEqual(t, ferryduty.InDomain(ms, "reader", "domain-0"), []ferryid.EntryName{first[1], first[2], first[0]})
	assert.DeepEqual(t, ferryduty.InDomain(without(ms, first[0]), "reader", "domain-0"), []ferryid.EntryName{first[1], first[2]})
}
