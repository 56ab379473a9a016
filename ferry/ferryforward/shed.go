package ferryforward

import (
	"github.com/jonboulle/clockwork"

	"cactusferry.dev/ferry/ferryadmission"
	"cactusferry.dev/ferry/ferryoutcome"
)

// setRanks sets the number of ranks of the service's requests. The counts of customers are kept while it stays the
// same.
func (s *service) setRanks(n int, clock clockwork.Clock) {
	if s.chooser != nil {
		s.chooser.SetContended(n > 1)
	}
	switch core := s.admission.Load(); {
	case n <= 1 || s.chooser == nil:
		s.admission.Store(nil)
	case core == nil || core.Ranks() != n:
		s.admission.Store(ferryadmission.New(ferryadmission.Config{Clock: clock, Ranks: n}))
	}
}

// shed returns the problem of a request that is refused because the engines are short of memory and more urgent
// requests need it, or nil. A stream that continues an earlier one is not refused: most of its work may be done.
func (f *Forwarder) shed(r *request) *ferryoutcome.Problem {
	core := r.service.admission.Load()
	if core == nil || r.After != "" {
		return nil
	}
	room := r.service.chooser.Room()
	d := core.Decide(ferryadmission.Request{Rank: ferryadmission.Rank(r.rank), Customer: r.customer, Tokens: r.Prompt + r.expectedTokens()}, room)
	f.metrics.room(r, room)
	refused, ok := d.(ferryadmission.Refused)
	if !ok {
		f.metrics.admitted(r)
		return nil
	}
	r.refusal = refusal{reason: enginesShort, room: room, share: refused.Share}
	return ferryoutcome.New(ferryoutcome.KindOverloaded, ferryoutcome.NotRun, "The engines are short of memory: %.2f used at layer %d; %.2f of the requests of rank %d are admitted.",
		room.Fill, room.Layer, refused.Share, r.rank).WithRetryAfter(refused.RetryAfter)
}

// minUrgency is the urgency of the least urgent rank. Without it the forecast would refuse those that the floor of the
// admission has let through.
const minUrgency = 0.25

// urgency returns how urgent the request is, from 0 to 1 for the most urgent. One that may have run before is most
// urgent, since some of its work may be done. One that an engine refused is not.
func (r *request) urgency() float64 {
	if r.mayHaveRun || r.After != "" {
		return 1
	}
	return max(minUrgency, r.rankUrgency())
}

// rankUrgency returns how urgent the request's rank is among the recent requests, from 0 to 1 for the most urgent.
func (r *request) rankUrgency() float64 {
	core := r.service.admission.Load()
	if core == nil {
		return 1
	}
	return core.Urgency(ferryadmission.Rank(r.rank))
}

// enginePriority returns the priority of the request at an engine, or nil if all requests of the service have the
// same rank.
func (r *request) enginePriority() *EnginePriority {
	if r.ranks <= 1 {
		return nil
	}
	p := EnginePriority(r.rank)
	if r.ranks > int(MaxEnginePriority)+1 {
		p = EnginePriority(int(r.rank) * int(MaxEnginePriority) / (r.ranks - 1))
	}
	return &p
}
