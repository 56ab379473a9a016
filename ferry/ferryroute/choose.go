package ferryroute

import (
	"math"

	"cactusferry.dev/ferry/ferryid"
	"cactusferry.dev/ferry/ferryservice"
)

const (
	// backlogWeight is the weight of outstanding work relative to the time of the call itself.
	backlogWeight = 0.05
	// affinitySlack is the extra cost, as a share of the least cost, that is accepted for an
	// upstream with the prompt prefix.
	affinitySlack = 0.25
	// minRate keeps costs finite while an upstream's rate is unknown, in tokens/s.
	minRate = 1e-3
)

// Cost is the cost function by which upstreams are compared.
type Cost string

// The cost functions; the first is the default.
const (
	// CostFinish is the time until the call would finish: its duration at its share of the rate, and the wait
	// for one of this entry's slots.
	CostFinish Cost = "Finish"
	// CostShared is CostFinish with the wait for a slot of any entry, as far as known from delayed reports.
	CostShared Cost = "Shared"
	// CostWork is the outstanding work divided by the rate.
	CostWork Cost = "Work"
)

// Options configure the policy LeastWork. The zero value gave the best results in measurements.
type Options struct {
	Cost Cost `toml:"Cost" json:"Cost"`
	// Choices is the number of random upstreams to compare; 0 compares all.
	Choices int `toml:"Choices" json:"Choices"`
	// IgnoreReports excludes the load of other entries from the cost.
	IgnoreReports bool `toml:"IgnoreReports" json:"IgnoreReports"`
	// RawReports uses the newest report instead of the moving average.
	RawReports bool `toml:"RawReports" json:"RawReports"`
	// NoAffinity disables the preference for an upstream with the prompt prefix.
	NoAffinity bool `toml:"NoAffinity" json:"NoAffinity"`
}

// Work describes a call for a choice. Avoid names the upstreams that have already failed it.
type Work struct {
	Predicted ferryid.Tokens
	// Prefix identifies the prompt prefix for affinity; 0 means none.
	Prefix uint64
	Avoid  []ferryid.UpstreamName
}

// Rand is a small random generator (splitmix64). It is not safe for concurrent use.
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

// Choose returns the index of the selected upstream, or -1 if there is none.
func Choose(s *Snapshot, w *Work, r *Rand) int {
	if i := choose(s, w, r, (*row).usable); i >= 0 {
		return i
	}
	return choose(s, w, r, (*row).lastResort)
}

// lastResort admits failed upstreams if no other is left, so that a wrong failure
// detection cannot stop a service.
func (r *row) lastResort() bool {
	return r.state != StateLeaving
}

func choose(s *Snapshot, w *Work, r *Rand, ok func(*row) bool) int {
	switch {
	case len(s.rows) == 0:
		return -1
	case s.policy == ferryservice.RouteRandom:
		return pickRandom(s, w, r, ok)
	case s.opts.Choices > 0:
		return leastOfRandom(s, w, r, ok)
	}
	return leastCost(s, w, r, ok)
}

// pickRandom selects uniformly: by a few draws, then the next match from a random index.
func pickRandom(s *Snapshot, w *Work, r *Rand, ok func(*row) bool) int {
	n := len(s.rows)
	for range 4 {
		if i := r.Intn(n); ok(&s.rows[i]) && !w.excludes(&s.rows[i]) {
			return i
		}
	}
	at := r.Intn(n)
	for k := range n {
		if i := (at + k) % n; ok(&s.rows[i]) && !w.excludes(&s.rows[i]) {
			return i
		}
	}
	return -1
}

func leastOfRandom(s *Snapshot, w *Work, r *Rand, ok func(*row) bool) int {
	best, least := -1, math.Inf(1)
	for range s.opts.Choices {
		i := pickRandom(s, w, r, ok)
		if i < 0 {
			return -1
		}
		if c := s.cost(&s.rows[i], w); c < least {
			best, least = i, c
		}
	}
	return best
}

// leastCost scans all upstreams from a random index, so that equal costs are distributed evenly.
func leastCost(s *Snapshot, w *Work, r *Rand, ok func(*row) bool) int {
	best, least := -1, math.Inf(1)
	affine, affineCost, maxHash := -1, 0.0, uint64(0)
	n := len(s.rows)
	i := r.Intn(n)
	for range n {
		if i++; i == n {
			i = 0
		}
		u := &s.rows[i]
		if !ok(u) || w.excludes(u) {
			continue
		}
		c := s.cost(u, w)
		if c < least {
			best, least = i, c
		}
		if s.opts.NoAffinity || w.Prefix == 0 {
			continue
		}
		if h := mix(u.seed ^ w.Prefix); affine < 0 || h > maxHash {
			affine, affineCost, maxHash = i, c, h
		}
	}
	if affine >= 0 && affineCost <= least*(1+affinitySlack) {
		return affine
	}
	return best
}

func (w *Work) excludes(r *row) bool {
	for _, n := range w.Avoid {
		if n == r.name {
			return true
		}
	}
	return false
}

// cost returns the cost of the work at an upstream in seconds.
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
