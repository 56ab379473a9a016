package ferryadmission

import (
	"cmp"
	"slices"

	"cactusferry.dev/ferry/ferryid"
)

// Counts are the numbers of requests since the Core or the customer became known.
type Counts struct {
	Arrived, Admitted, Refused uint64
}

// Snapshot is the state of a Core.
type Snapshot struct {
	// Ranks are in order of rank.
	Ranks []RankSnapshot
}

// RankSnapshot is the state of one rank.
type RankSnapshot struct {
	Rank Rank
	Counts
	// Share is the share of the rank that was admitted at the last decision.
	Share float64
	// Customers are the customers with recent requests, in order of name.
	Customers []CustomerSnapshot
}

// CustomerSnapshot is the state of one customer in a rank.
type CustomerSnapshot struct {
	Customer ferryid.CustomerName
	Counts
}

// Snapshot returns a copy of the counts.
func (c *Core) Snapshot() Snapshot {
	c.mu.Lock()
	defer c.mu.Unlock()
	out := Snapshot{Ranks: make([]RankSnapshot, len(c.ranks))}
	for i := range c.ranks {
		r := &c.ranks[i]
		s := RankSnapshot{Rank: Rank(i), Counts: r.counts, Share: r.share}
		for name, cu := range r.customers.byName {
			s.Customers = append(s.Customers, CustomerSnapshot{Customer: name, Counts: cu.counts})
		}
		slices.SortFunc(s.Customers, func(a, b CustomerSnapshot) int { return cmp.Compare(a.Customer, b.Customer) })
		out.Ranks[i] = s
	}
	return out
}
