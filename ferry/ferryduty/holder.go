package ferryduty

import (
	"cmp"
	"slices"
	"strconv"

	"github.com/cespare/xxhash/v2"

	"cactusferry.dev/ferry/ferryid"
	"cactusferry.dev/ferry/ferrypeer"
)

// Duty names one duty, such as the watch of a kind of objects, a claim slot or a customer's limit.
type Duty string

// Slot returns the duty of one numbered slot of several.
func Slot(d Duty, n int) Duty {
	return Duty(string(d) + "/" + strconv.Itoa(n))
}

// candidate is a member with its rendezvous weight for a duty.
type candidate struct {
	name   ferryid.EntryName
	domain ferryid.DomainName
	weight uint64
}

// Holders returns the k members that hold the duty, best first, in as many failure domains as there are.
//
// It is a pure function of the usable members: when one goes, only the duties it held move. Two entries
// whose membership differs for a moment may both think that they hold a duty, so what a holder does has
// to be made safe by conditional writes or fencing numbers.
func Holders(ms ferrypeer.Members, d Duty, k int) []ferryid.EntryName {
	ranked := rank(ms, d)
	out := make([]ferryid.EntryName, 0, min(k, len(ranked)))
	taken := map[ferryid.DomainName]int{}
	for round := 0; len(out) < k && len(out) < len(ranked); round++ {
		for _, c := range ranked {
			if taken[c.domain] == round && len(out) < k && !slices.Contains(out, c.name) {
				out = append(out, c.name)
				taken[c.domain]++
			}
		}
		for _, c := range ranked {
			taken[c.domain] = max(taken[c.domain], round+1)
		}
	}
	return out
}

// HoldersPerDomain returns the k members of each failure domain that hold the duty there, ordered by name.
func HoldersPerDomain(ms ferrypeer.Members, d Duty, k int) []ferryid.EntryName {
	taken := map[ferryid.DomainName]int{}
	var out []ferryid.EntryName
	for _, c := range rank(ms, d) {
		if taken[c.domain] < k {
			taken[c.domain]++
			out = append(out, c.name)
		}
	}
	slices.Sort(out)
	return out
}

// InDomain returns the live members of a failure domain, usable ones first, and among these the ones that hold the duty there.
func InDomain(ms ferrypeer.Members, d Duty, domain ferryid.DomainName) []ferryid.EntryName {
	var usable, others []ferryid.EntryName
	for _, c := range order(ms, d, ferrypeer.MemberInfo.Usable) {
		if c.domain == domain {
			usable = append(usable, c.name)
		}
	}
	for _, c := range order(ms, d, ferrypeer.MemberInfo.Live) {
		if c.domain == domain && !slices.Contains(usable, c.name) {
			others = append(others, c.name)
		}
	}
	return append(usable, others...)
}

// Holds reports whether this process is among the k holders of the duty.
func Holds(ms ferrypeer.Members, d Duty, k int) bool {
	return slices.Contains(Holders(ms, d, k), ms.Self)
}

// HoldsInDomain reports whether this process is among the k holders of the duty in its failure domain.
func HoldsInDomain(ms ferrypeer.Members, d Duty, k int) bool {
	return slices.Contains(HoldersPerDomain(ms, d, k), ms.Self)
}

// rank orders the usable members by their weight for a duty.
func rank(ms ferrypeer.Members, d Duty) []candidate {
	return order(ms, d, ferrypeer.MemberInfo.Usable)
}

func order(ms ferrypeer.Members, d Duty, may func(ferrypeer.MemberInfo) bool) []candidate {
	out := make([]candidate, 0, len(ms.List))
	for _, m := range ms.List {
		if may(m) {
			out = append(out, candidate{name: m.Name, domain: m.FailureDomain, weight: weigh(d, m.Name)})
		}
	}
	slices.SortFunc(out, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(b.weight, a.weight), cmp.Compare(a.name, b.name))
	})
	return out
}

func weigh(d Duty, n ferryid.EntryName) uint64 {
	var h xxhash.Digest
	h.Reset()
	_, _ = h.WriteString(string(d))
	_, _ = h.WriteString("\x00")
	_, _ = h.WriteString(string(n))
	return h.Sum64()
}
