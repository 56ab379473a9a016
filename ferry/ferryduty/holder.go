package ferryduty

import (
	"cmp"
	"math"
	"slices"
	"strconv"

	"github.com/cespare/xxhash/v2"

	"cactusferry.dev/ferry/ferryid"
	"cactusferry.dev/ferry/ferrypeer"
)

// Duty is the name of a task assigned to some of the entries, such as watching a kind of objects, a claim
// slot or a customer's limit.
type Duty string

// Slot returns the duty of one of several numbered slots.
func Slot(d Duty, n int) Duty {
	return Duty(string(d) + "/" + strconv.Itoa(n))
}

// candidate is a member with its weight for a duty.
type candidate struct {
	name   ferryid.EntryName
	domain ferryid.DomainName
	weight float64
}

// Holders returns the k members that hold the duty, highest weight first, spread over as many failure domains
// as possible.
//
// It is a pure function of the usable members: when one leaves, only the duties it held move. Entries with
// different views of the membership may both act as holder for a while, so holders have to use conditional
// writes or fencing numbers.
func Holders(ms ferrypeer.Members, d Duty, k int) []ferryid.EntryName {
	ranked := rank(ms, d)
	rounds := make([]int, len(ranked)) // of a member's domain, when its turn comes
	perDomain := map[ferryid.DomainName]int{}
	for i, c := range ranked {
		rounds[i] = perDomain[c.domain]
		perDomain[c.domain]++
	}
	order := make([]int, len(ranked))
	for i := range order {
		order[i] = i
	}
	slices.SortStableFunc(order, func(a, b int) int { return cmp.Compare(rounds[a], rounds[b]) })
	out := make([]ferryid.EntryName, 0, min(k, len(ranked)))
	for _, i := range order[:min(k, len(ranked))] {
		out = append(out, ranked[i].name)
	}
	return out
}

// HoldersPerDomain returns the k members of each failure domain that hold the duty there, sorted by name.
func HoldersPerDomain(ms ferrypeer.Members, d Duty, k int) []ferryid.EntryName {
	perDomain := map[ferryid.DomainName]int{}
	var out []ferryid.EntryName
	for _, c := range rank(ms, d) {
		if perDomain[c.domain] < k {
			perDomain[c.domain]++
			out = append(out, c.name)
		}
	}
	slices.Sort(out)
	return out
}

// InDomain returns the live members of a failure domain, usable ones first, each group by descending weight
// for the duty.
func InDomain(ms ferrypeer.Members, d Duty, domain ferryid.DomainName) []ferryid.EntryName {
	var out []ferryid.EntryName
	for _, usable := range []bool{true, false} {
		for _, c := range sortByWeight(ms, d, func(m ferrypeer.MemberInfo) bool {
			return m.FailureDomain == domain && m.Live() && m.Usable() == usable
		}) {
			out = append(out, c.name)
		}
	}
	return out
}

// Holds reports whether this process is among the k holders of the duty.
func Holds(ms ferrypeer.Members, d Duty, k int) bool {
	return slices.Contains(Holders(ms, d, k), ms.Self)
}

// HoldsInDomain reports whether this process is among the k holders of the duty in its failure domain.
func HoldsInDomain(ms ferrypeer.Members, d Duty, k int) bool {
	return slices.Contains(HoldersPerDomain(ms, d, k), ms.Self)
}

// rank returns the usable members by descending weight for a duty.
func rank(ms ferrypeer.Members, d Duty) []candidate {
	return sortByWeight(ms, d, ferrypeer.MemberInfo.Usable)
}

func sortByWeight(ms ferrypeer.Members, d Duty, eligible func(ferrypeer.MemberInfo) bool) []candidate {
	out := make([]candidate, 0, len(ms.List))
	for _, m := range ms.List {
		if eligible(m) {
			out = append(out, candidate{name: m.Name, domain: m.FailureDomain, weight: rendezvousWeight(d, m)})
		}
	}
	slices.SortFunc(out, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(b.weight, a.weight), cmp.Compare(a.name, b.name))
	})
	return out
}

// rendezvousWeight returns a member's weight for a duty. A member has the highest weight of all for a share of the
// duties that is proportional to its capacity.
func rendezvousWeight(d Duty, m ferrypeer.MemberInfo) float64 {
	var h xxhash.Digest
	h.Reset()
	_, _ = h.WriteString(string(d))
	_, _ = h.WriteString("\x00")
	_, _ = h.WriteString(string(m.Name))
	const fractionBits = 53 // of a float64
	fraction := (float64(h.Sum64()>>(64-fractionBits)) + 0.5) / (1 << fractionBits)
	return -float64(max(1, m.Capacity)) / math.Log(fraction)
}

// StrongestFirst sorts members by descending capacity and keeps the order of equal ones. It suits a duty that a single
// entry has for many.
func StrongestFirst(ms ferrypeer.Members, names []ferryid.EntryName) []ferryid.EntryName {
	capacities := make(map[ferryid.EntryName]uint32, len(ms.List))
	for _, m := range ms.List {
		capacities[m.Name] = m.Capacity
	}
	slices.SortStableFunc(names, func(a, b ferryid.EntryName) int { return cmp.Compare(capacities[b], capacities[a]) })
	return names
}
