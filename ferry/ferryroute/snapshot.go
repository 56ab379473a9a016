package ferryroute

import (
	"math"
	"sync/atomic"

	"cactusferry.dev/ferry/ferryid"
	"cactusferry.dev/ferry/ferryservice"
)

// State says whether an upstream is chosen.
type State string

// The states of an upstream; Slow and Down end by themselves through Probing.
const (
	// StateLive is an upstream that takes work.
	StateLive State = "Live"
	// StateProbing is an upstream that takes one call at a time until it has proved itself.
	StateProbing State = "Probing"
	// StateSlow is an upstream that answers far more slowly than it should, and gets no work for a while.
	StateSlow State = "Slow"
	// StateDown is an upstream that failed, and gets no work for a while.
	StateDown State = "Down"
	// StateLeaving is an upstream that gets no new work any more.
	StateLeaving State = "Leaving"
)

// Candidate is one upstream as a choice sees it.
type Candidate struct {
	Name          ferryid.UpstreamName `json:"Name"`
	Address       string               `json:"Address"`
	FailureDomain ferryid.DomainName   `json:"FailureDomain"`
	Layers        ferryid.LayerRange   `json:"Layers"`
	Slots         int                  `json:"Slots"`
	// Credit is this entry's part of the slots, one while the upstream is probed.
	Credit      int                     `json:"Credit"`
	State       State                   `json:"State"`
	Rate        ferryid.TokensPerSecond `json:"Rate"`
	Outstanding ferryid.Tokens          `json:"Outstanding"`
	Running     int                     `json:"Running"`
}

// Candidates is a list of candidates.
type Candidates []Candidate

// load is the part of an upstream's state that changes with every call.
type load struct {
	own           atomic.Int64
	ownRunning    atomic.Int32
	others        atomic.Int64
	othersRunning atomic.Int32
	rateBits      atomic.Uint64
}

func (l *load) rate() float64 {
	return math.Float64frombits(l.rateBits.Load())
}

func (l *load) outstanding() int64 {
	return l.own.Load() + l.others.Load()
}

func (l *load) running() int {
	return int(l.ownRunning.Load() + l.othersRunning.Load())
}

// row is one upstream of a snapshot.
type row struct {
	name    ferryid.UpstreamName
	address string
	domain  ferryid.DomainName
	layers  ferryid.LayerRange
	slots   int
	credit  int
	state   State
	seed    uint64
	load    *load
}

// Snapshot is the set of upstreams and their states at one moment; loads and rates in it stay current.
type Snapshot struct {
	policy ferryservice.RoutePolicy
	opts   Options
	rows   []row
}

// Len is the number of upstreams.
func (s *Snapshot) Len() int {
	return len(s.rows)
}

// At returns the upstream at an index that Choose returned.
func (s *Snapshot) At(i int) Candidate {
	r := &s.rows[i]
	credit := r.credit
	if r.state == StateProbing {
		credit = 1
	}
	return Candidate{
		Name: r.name, Address: r.address, FailureDomain: r.domain, Layers: r.layers, Slots: r.slots, Credit: credit, State: r.state,
		Rate:        ferryid.TokensPerSecond(r.load.rate()),
		Outstanding: ferryid.Tokens(r.load.outstanding()),
		Running:     r.load.running(),
	}
}

// NameOf returns the upstream at an address.
func (s *Snapshot) NameOf(address string) (ferryid.UpstreamName, bool) {
	for i := range s.rows {
		if s.rows[i].address == address {
			return s.rows[i].name, true
		}
	}
	return "", false
}

// Candidates returns every upstream that may take work now; a probing one only while it is idle.
func (s *Snapshot) Candidates() Candidates {
	out := make(Candidates, 0, len(s.rows))
	for i := range s.rows {
		if s.rows[i].usable() {
			out = append(out, s.At(i))
		}
	}
	return out
}

// All returns every upstream with its state.
func (s *Snapshot) All() Candidates {
	out := make(Candidates, 0, len(s.rows))
	for i := range s.rows {
		out = append(out, s.At(i))
	}
	return out
}

func (r *row) usable() bool {
	switch r.state {
	case StateLive:
		return true
	case StateProbing:
		return r.load.ownRunning.Load() == 0
	}
	return false
}
