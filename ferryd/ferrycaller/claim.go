package ferrycaller

import (
	"context"
	"errors"
	"net/http"
	"time"

	"cactusferry.dev/ferry/ferryclaim"
	"cactusferry.dev/ferry/ferryoutcome"
	"cactusferry.dev/ferry/ferryplain"
)

// ReplayHeader is the response header that marks an answer recorded by an earlier call.
const ReplayHeader = "Replayed"

// runOnce runs a call with a key or a ticket at most once across all entries, even if the caller disconnects.
func (s *Server) runOnce(ctx context.Context, c *caller, call ferryplain.Call, key, ticket string) (*ferryplain.Answer, *ferryoutcome.Problem) {
	deadline, ok := ctx.Deadline()
	ctx = context.WithoutCancel(ctx)
	if ok {
		var cancel func()
		ctx, cancel = context.WithDeadline(ctx, deadline)
		defer cancel()
	}
	claim, err := s.Claims.Begin(ctx, ferryclaim.Call{
		Customer: c.customer.Name, Service: c.doc.Service, Key: key, Ticket: ticket,
		Digest: digest(call), Retention: c.doc.Limits.Retention(),
	})
	if err != nil {
		return s.answerUnclaimed(c, err)
	}
	callInfoOf(ctx).lookedUp = true
	s.Events.Add("Claimed", claim.Ref().String(), "request %s", c.id)
	dispatched := false
	answer, p := s.sendWithRetries(ctx, c, call, func() *ferryoutcome.Problem {
		if dispatched {
			return nil
		}
		if err := claim.MarkDispatched(); err != nil {
			return asProblem(err)
		}
		dispatched = true
		return nil
	})
	s.recordResult(ctx, claim, answer, p)
	return answer, p
}

// recordResult records the result of the call, or releases the claim if nothing was sent.
func (s *Server) recordResult(ctx context.Context, claim *ferryclaim.Claim, answer *ferryplain.Answer, p *ferryoutcome.Problem) {
	ctx = context.WithoutCancel(ctx)
	switch {
	case p != nil && p.Outcome == ferryoutcome.NotRun:
		claim.Release(ctx)
	case p != nil:
		claim.Finish(ctx, ferryclaim.Result{Outcome: p.Outcome})
	default:
		res := ferryclaim.Result{Outcome: ferryoutcome.Ran, Status: answer.Status}
		if answer.Rest == nil {
			res.Body, res.Complete = answer.Body, true
			res.Header = http.Header{}
			if v := answer.Header.Get("Content-Type"); v != "" {
				res.Header.Set("Content-Type", v)
			}
		}
		claim.Finish(ctx, res)
	}
	s.Events.Add("Settled", claim.Ref().String(), "%s", outcomeText(p))
}

func outcomeText(p *ferryoutcome.Problem) string {
	if p == nil {
		return string(ferryoutcome.Ran)
	}
	return string(p.Outcome)
}

// answerUnclaimed returns the recorded answer of a call that can't be claimed, or the problem
// that prevents it.
func (s *Server) answerUnclaimed(c *caller, err error) (*ferryplain.Answer, *ferryoutcome.Problem) {
	var replay *ferryclaim.Replay
	if errors.As(err, &replay) {
		s.Events.Add("Replayed", string(c.customer.Name), "request %s: %s", c.id, replay.Outcome)
		return replayAnswer(replay)
	}
	var elsewhere *ferryclaim.ElsewhereError
	if errors.As(err, &elsewhere) {
		return nil, s.redirectTicket(elsewhere)
	}
	return nil, asProblem(err)
}

func replayAnswer(r *ferryclaim.Replay) (*ferryplain.Answer, *ferryoutcome.Problem) {
	if r.Outcome == ferryoutcome.Ran && r.Complete {
		h := r.Header.Clone()
		if h == nil {
			h = http.Header{}
		}
		h.Set(ReplayHeader, "true")
		return &ferryplain.Answer{Status: r.Status, Header: h, Body: r.Body}, nil
	}
	text := "The call ran before, but its answer was not kept; do not send it again."
	if r.Outcome == ferryoutcome.Unknown {
		text = "The call was sent before and it is not known whether it ran; it will not be sent again."
	}
	return nil, ferryoutcome.New(ferryoutcome.KindConflict, r.Outcome, "%s", text)
}

// redirectTicket returns a problem with the address of the entry that can run the ticket.
func (s *Server) redirectTicket(e *ferryclaim.ElsewhereError) *ferryoutcome.Problem {
	p := ferryoutcome.New(ferryoutcome.KindConflict, ferryoutcome.NotRun, "Only the entry that issued the ticket can run it; send the call there.")
	if a, ok := s.AddressOf(e.Incarnation); ok {
		p.Entries = []string{a}
	}
	return p
}

// tickets handles POST /v1/tickets: it issues a ticket for one non-idempotent call.
func (s *Server) tickets(w http.ResponseWriter, r *http.Request) {
	c, p := s.authenticate(r, r.URL.Query().Get("service"), "")
	if p == nil {
		p = s.checkServing()
	}
	if p != nil {
		s.fail(w, r, p)
		return
	}
	t, err := s.Claims.IssueTicket(c.customer.Name, c.doc.Service)
	if err != nil {
		s.fail(w, r, asProblem(err))
		return
	}
	writeJSON(w, ticketAnswer{Ticket: t, Entry: s.Advertise, LifetimeSeconds: int(ferryclaim.TicketLifetime / time.Second)})
}

type ticketAnswer struct {
	Ticket          string
	Entry           string
	LifetimeSeconds int
}
