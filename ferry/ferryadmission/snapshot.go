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
	// Customers are the customers with requests within a minute, in order of name.
	Customers []CustomerSnapshot
}

// CustomerSnapshot is the state of one customer in a rank.
type CustomerSnapshot struct {
	Customer ferryid.CustomerName
	Counts
	// Part is the customer's part of the recent requests of the rank, and Share the share of its requests that is
	// currently admitted.
	Part, Share float64
}

// Snapshot returns a copy of the counts.
func (c *Core) Snapshot() Snapshot {
	out := c.unsorted()
	for i := range out.Ranks {
		slices.SortFunc(out.Ranks[i].Customers, func(a, b CustomerSnapshot) int { return cmp.Compare(a.Customer, b.Customer) })
	}
	return out
}

// unsorted returns a Snapshot without the order of customers, so that decisions don't wait for the sorting.
func (c *Core) unsorted() Snapshot {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.clock.Now()
	out := Snapshot{Ranks: make([]RankSnapshot, len(c.ranks))}
	for i := range c.ranks {
		r := &c.ranks[i]
		s := RankSnapshot{Rank: Rank(i), Counts: r.counts, Share: r.share, Customers: make([]CustomerSnapshot, 0, len(r.customers.byName))}
		total := r.customers.total.count(now)
		for name, cu := range r.customers.byName {
			if now.Sub(cu.arrivals.at) > idleTime {
				continue
			}
			part := cu.arrivals.count(now) / total
			s.Customers = append(s.Customers, CustomerSnapshot{
				Customer: name, Counts: cu.counts, Part: part, Share: r.customers.admitted(part, r.share),
			})
		}
		out.Ranks[i] = s
	}
	return out
}
