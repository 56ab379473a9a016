package ferryroute

import (
	"math"
	"sync/atomic"

	"cactusferry.dev/ferry/ferryid"
	"cactusferry.dev/ferry/ferryservice"
)

// State is the routing state of an upstream.
type State string

// The states of an upstream. Slow and Down end through Probing without intervention.
const (
	// StateLive means that the upstream gets work.
	StateLive State = "Live"
	// StateProbing means that the upstream gets one call at a time until enough calls succeed.
	StateProbing State = "Probing"
	// StateSlow means that the upstream was much slower than expected and gets no work for a while.
	StateSlow State = "Slow"
	// StateDown means that the upstream failed and gets no work for a while.
	StateDown State = "Down"
	// StateLeaving means that the upstream gets no new work.
	StateLeaving State = "Leaving"
)

// Candidate is one upstream of a snapshot with its current load.
type Candidate struct {
	Name          ferryid.UpstreamName `json:"Name"`
	Address       string               `json:"Address"`
	FailureDomain ferryid.DomainName   `json:"FailureDomain"`
	Layers        ferryid.LayerRange   `json:"Layers"`
	Slots         int                  `json:"Slots"`
	// Credit is this entry's part of the slots; 1 while the upstream is probed.
	Credit      int                     `json:"Credit"`
	State       State                   `json:"State"`
	Rate        ferryid.TokensPerSecond `json:"Rate"`
	Outstanding ferryid.Tokens          `json:"Outstanding"`
	Running     int                     `json:"Running"`
}

// Candidates is a list of upstreams.
type Candidates []Candidate

// load is the state of an upstream that changes with every call.
type load struct {
	// own is the outstanding work of this entry in tokens, ownRunning the number of its running calls.
	own        atomic.Int64
	ownRunning atomic.Int32
	// others and othersRunning are the same for all other entries, estimated from delayed reports.
	others        atomic.Int64
	othersRunning atomic.Int32
	// rateBits holds the bits of the rate in tokens/s, a float64.
	rateBits atomic.Uint64
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

// Snapshot is the set of upstreams and their states at one time. Their loads and rates are live values.
type Snapshot struct {
	policy ferryservice.RoutePolicy
	opts   Options
	rows   []row
}

// Len returns the number of upstreams.
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

// NameOf returns the name of the upstream at an address.
func (s *Snapshot) NameOf(address string) (ferryid.UpstreamName, bool) {
	for i := range s.rows {
		if s.rows[i].address == address {
			return s.rows[i].name, true
		}
	}
	return "", false
}

// Candidates returns all upstreams that can get work now. A probed upstream is
// included only while it is idle.
func (s *Snapshot) Candidates() Candidates {
	out := make(Candidates, 0, len(s.rows))
	for i := range s.rows {
		if s.rows[i].usable() {
			out = append(out, s.At(i))
		}
	}
	return out
}

// All returns all upstreams.
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
