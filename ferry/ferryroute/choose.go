package ferryroute

import (
	"math"

	"cactusferry.dev/ferry/ferryid"
	"cactusferry.dev/ferry/ferryservice"
)

const (
	// backlogWeight is the weight of outstanding work beside the time that the call itself takes.
	backlogWeight = 0.05
	// affinitySlack is how much dearer the upstream that holds the prompt prefix may be, as a share of the least cost.
	affinitySlack = 0.25
	// minRate keeps a cost finite while an upstream's rate is unknown, in tokens/s.
	minRate = 1e-3
)

// Cost names the way an upstream's load is weighed.
type Cost string

// The costs; the first is the default.
const (
	// CostFinish is the time until the call would be finished: its share of the rate, and the wait for one of this entry's slots.
	CostFinish Cost = "Finish"
	// CostShared is CostFinish, but the wait is that for any entry's slot, as far as late reports tell.
	CostShared Cost = "Shared"
	// CostWork is the outstanding work over the rate.
	CostWork Cost = "Work"
)

// Options tune the policy LeastWork; the zero value is what measured best.
type Options struct {
	Cost          Cost `toml:"Cost" json:"Cost"`
	Choices       int  `toml:"Choices" json:"Choices"`
	IgnoreReports bool `toml:"IgnoreReports" json:"IgnoreReports"`
	RawReports    bool `toml:"RawReports" json:"RawReports"`
	NoAffinity    bool `toml:"NoAffinity" json:"NoAffinity"`
}

// Work is what a choice has to know of a call; Avoid names upstreams that have already failed it.
type Work struct {
	Predicted ferryid.Tokens
	Prefix    uint64
	Avoid     []ferryid.UpstreamName
}

// Rand is the state of a small random generator (splitmix64), owned by one goroutine.
type Rand uint64

// Next returns the next random number.
func (r *Rand) Next() uint64 {
	*r += 0x9e3779b97f4a7c15
	return mix(uint64(*r))
}

// Intn returns a number from 0 to n-1.
func (r *Rand) Intn(n int) int {
	return int((r.Next() >> 32) * uint64(n) >> 32)
}

func mix(z uint64) uint64 {
	z = (z ^ z>>30) * 0xbf58476d1ce4e5b9
	z = (z ^ z>>27) * 0x94d049bb133111eb
	return z ^ z>>31
}

// Choose returns the index of the upstream that should take the work, or -1 if there is none.
func Choose(s *Snapshot, w *Work, r *Rand) int {
	if i := choose(s, w, r, (*row).usable); i >= 0 {
		return i
	}
	return choose(s, w, r, (*row).lastResort)
}

// lastResort admits an upstream that failed when no other is left, so that a wrong judgement can't stop a service.
func (r *row) lastResort() bool {
	return r.state != StateLeaving
}

func choose(s *Snapshot, w *Work, r *Rand, ok func(*row) bool) int {
	switch {
	case len(s.rows) == 0:
		return -1
	case s.policy == ferryservice.RouteRandom:
		return anyOf(s, w, r, ok)
	case s.opts.Choices > 0:
		return leastOfSome(s, w, r, ok)
	}
	return leastOfAll(s, w, r, ok)
}

// anyOf picks uniformly: a few draws, then the next one from a random place.
func anyOf(s *Snapshot, w *Work, r *Rand, ok func(*row) bool) int {
	n := len(s.rows)
	for range 4 {
		if i := r.Intn(n); ok(&s.rows[i]) && !w.avoids(&s.rows[i]) {
			return i
		}
	}
	at := r.Intn(n)
	for k := range n {
		if i := (at + k) % n; ok(&s.rows[i]) && !w.avoids(&s.rows[i]) {
			return i
		}
	}
	return -1
}

func leastOfSome(s *Snapshot, w *Work, r *Rand, ok func(*row) bool) int {
	best, least := -1, math.Inf(1)
	for range s.opts.Choices {
		i := anyOf(s, w, r, ok)
		if i < 0 {
			return -1
		}
		if c := s.cost(&s.rows[i], w); c < least {
			best, least = i, c
		}
	}
	return best
}

// leastOfAll scans from a random place, so that equal costs are spread.
func leastOfAll(s *Snapshot, w *Work, r *Rand, ok func(*row) bool) int {
	best, least := -1, math.Inf(1)
	home, homeCost, top := -1, 0.0, uint64(0)
	n := len(s.rows)
	i := r.Intn(n)
	for range n {
		if i++; i == n {
			i = 0
		}
		u := &s.rows[i]
		if !ok(u) || w.avoids(u) {
			continue
		}
		c := s.cost(u, w)
		if c < least {
			best, least = i, c
		}
		if s.opts.NoAffinity || w.Prefix == 0 {
			continue
		}
		if h := mix(u.seed ^ w.Prefix); home < 0 || h > top {
			home, homeCost, top = i, c, h
		}
	}
	if home >= 0 && homeCost <= least*(1+affinitySlack) {
		return home
	}
	return best
}

func (w *Work) avoids(r *row) bool {
	for _, n := range w.Avoid {
		if n == r.name {
			return true
		}
	}
	return false
}

// cost is in seconds.
func (s *Snapshot) cost(r *row, w *Work) float64 {
	rate := max(r.load.rate(), minRate)
	outstanding, running := r.load.own.Load(), int(r.load.ownRunning.Load())
	if !s.opts.IgnoreReports {
		outstanding += r.load.others.Load()
		running += int(r.load.othersRunning.Load())
	}
	if s.opts.Cost == CostWork || r.slots == 0 {
		return float64(outstanding+int64(w.Predicted)) / rate
	}
	c := backlogWeight * float64(outstanding) / rate
	c += float64(w.Predicted) * float64(min(running+1, r.slots)) / rate
	over := int(r.load.ownRunning.Load()) + 1 - r.credit
	if s.opts.Cost == CostShared {
		over = running + 1 - r.slots
	}
	if over > 0 {
		c += float64(over) * float64(outstanding+int64(w.Predicted)) / float64(running+1) / rate * float64(r.slots)
	}
	return c
}
