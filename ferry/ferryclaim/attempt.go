package ferryclaim

import (
	"time"

	"cactusferry.dev/ferry/ferryid"
	"cactusferry.dev/ferry/ferryoutcome"
)

const maxClaimTries = 4

// step is the next action that an attempt requires of its driver.
type step interface{ isStep() }

// submitStep sends a request to the key's slot and waits for the verdict.
type submitStep struct{ req request }

// askStep asks an incarnation and waits for its answer.
type askStep struct {
	id ferryid.Incarnation
	q  Question
}

// grantStep ends the attempt: the call may be dispatched.
type grantStep struct{ ref Ref }

// endStep ends the attempt with an error for the caller.
// release is set if the claim may have been written and has to be released.
type endStep struct {
	err     error
	release *op
}

func (submitStep) isStep() {}
func (askStep) isStep()    {}
func (grantStep) isStep()  {}
func (endStep) isStep()    {}

// stage is the kind of reply that an attempt waits for.
type stage uint8

const (
	stageClaim stage = iota
	stageAsk
	stageReread // second read of the journal, after the holder did not answer
)

// attempt is the state machine behind Begin; it does no I/O and derives the next step from each reply.
type attempt struct {
	t       *table
	call    Call
	key     Digest
	claimed op     // this incarnation's last try to claim the key
	holder  Record // the record of the claim that holds the key
	ticket  *Ticket
	heirs   []ferryid.Incarnation // heirs of the holder or ticket issuer that were not asked yet
	tries   int
	stage   stage
	heirsOf func(ferryid.Incarnation) []ferryid.Incarnation
}

func end(err error) step { return endStep{err: err} }

// start returns the first step.
func (a *attempt) start(now time.Time) step {
	if a.ticket != nil {
		return a.startTicket(now)
	}
	a.key = keyDigest(a.call.Customer, a.call.Service, a.call.Key)
	if o, ok := a.t.findByKey(a.key); ok {
		return a.resolveKnown(o)
	}
	return a.claim(Ref{}, now)
}

func (a *attempt) resolveKnown(o op) step {
	if o.Body != a.call.Digest {
		return end(keyReused())
	}
	if o.Phase == phaseFinished {
		return end(replayOf(o.Result))
	}
	return end(inProgress())
}

func (a *attempt) claim(replaces Ref, now time.Time) step {
	a.tries++
	if a.tries > maxClaimTries {
		return end(inProgress())
	}
	o, ok := a.t.claim(a.call, a.key, now)
	if !ok {
		return end(draining())
	}
	a.claimed = o
	a.stage = stageClaim
	rec := Record{Key: o.Key, Body: o.Body, Ref: o.Ref, State: StateClaimed, Until: o.Until.Unix()}
	return submitStep{request{op: opClaim, rec: rec, replaces: replaces}}
}

// onVerdict handles the slot's verdict on the last request.
func (a *attempt) onVerdict(v verdict, now time.Time) step {
	switch v := v.(type) {
	case granted:
		if a.t.grant(a.claimed.Ref) {
			return grantStep{a.claimed.Ref}
		}
		return endStep{err: claimLost(), release: &a.claimed}
	case refused:
		return a.onRefused(v)
	case held:
		if a.stage == stageReread {
			return a.onReread(v.rec, now)
		}
		a.t.forget(a.claimed.Ref)
		return a.onHeld(v.rec)
	}
	return end(holderUnreachable(a.holder.Ref))
}

func (a *attempt) onRefused(v refused) step {
	if a.stage == stageReread {
		return end(holderUnreachable(a.holder.Ref))
	}
	if v.mayBeWritten {
		a.t.release(a.claimed.Ref)
		return endStep{err: claimFailed(v.err), release: &a.claimed}
	}
	a.t.forget(a.claimed.Ref)
	return end(claimFailed(v.err))
}

func (a *attempt) onHeld(rec Record) step {
	a.holder = rec
	if rec.Body != a.call.Digest {
		return end(keyReused())
	}
	if rec.State == StateFinished {
		return end(replayOf(rec.Result))
	}
	a.stage = stageAsk
	a.heirs = a.heirsOf(rec.Ref.By)
	return askStep{rec.Ref.By, a.question()}
}

// onReread handles the record that the journal holds after the holder did not answer.
func (a *attempt) onReread(rec Record, now time.Time) step {
	if rec.State == StateClaimed && rec.Ref == a.holder.Ref {
		return end(holderUnreachable(rec.Ref))
	}
	if rec.State == StateFinished || rec.State == StateClaimed {
		return a.onHeld(rec)
	}
	return a.claim(Ref{}, now)
}

func (a *attempt) question() Question {
	if a.ticket != nil {
		return Question{Ref: a.ticket.Ref, Body: a.call.Digest}
	}
	return Question{Ref: a.holder.Ref, Body: a.call.Digest, Revoke: true}
}

// onAnswer handles the reply of the incarnation asked last; an error is treated as no answer.
func (a *attempt) onAnswer(id ferryid.Incarnation, ans Answer, err error, now time.Time) step {
	if err != nil || ans.Kind == AnswerNotAuthoritative {
		return a.askNextHeir()
	}
	switch ans.Kind {
	case AnswerReused:
		return end(keyReused())
	case AnswerFinished:
		return end(replayOf(ans.Result))
	case AnswerDispatched:
		return end(inProgress())
	case AnswerNotDispatched:
		if a.ticket != nil {
			return a.onUnusedTicket(id, now)
		}
		return a.claim(a.holder.Ref, now)
	}
	return a.askNextHeir()
}

func (a *attempt) askNextHeir() step {
	if len(a.heirs) > 0 {
		id := a.heirs[0]
		a.heirs = a.heirs[1:]
		return askStep{id, a.question()}
	}
	if a.ticket != nil {
		return end(holderUnreachable(a.ticket.Ref))
	}
	a.stage = stageReread
	return submitStep{request{op: opRead, rec: Record{Key: a.key}}}
}

func (a *attempt) onUnusedTicket(id ferryid.Incarnation, now time.Time) step {
	switch age := now.Sub(a.ticket.issued()); {
	case age >= ticketRetention-purgeGrace:
		return end(holderUnreachable(a.ticket.Ref))
	case age >= TicketLifetime:
		return end(ticketExpired())
	}
	p := ferryoutcome.New(ferryoutcome.KindConflict, ferryoutcome.NotRun,
		"only the entry %s may run this ticket; this call was not run", id)
	return end(p.WithCause(&ElsewhereError{Incarnation: id}))
}

func (a *attempt) startTicket(now time.Time) step {
	if a.ticket.Customer != a.call.Customer || a.ticket.Service != a.call.Service {
		return end(ferryoutcome.New(ferryoutcome.KindForbidden, ferryoutcome.NotRun,
			"the ticket is for another customer or service"))
	}
	by := a.ticket.Ref.By
	if !a.t.owns(by) {
		a.heirs = a.heirsOf(by)
		return askStep{by, a.question()}
	}
	u, o := a.t.useTicket(*a.ticket, a.call.Digest, now)
	switch u {
	case useGranted:
		return grantStep{o.Ref}
	case useKnown:
		return a.resolveKnown(o)
	case useExpired:
		return end(ticketExpired())
	case useClosed:
		return end(draining())
	}
	return end(holderUnreachable(a.ticket.Ref))
}

func ticketExpired() error {
	return ferryoutcome.New(ferryoutcome.KindBadRequest, ferryoutcome.NotRun,
		"the ticket is older than %s and was never used; ask for a new one", TicketLifetime)
}

// onCancel ends an attempt whose context ended before the verdict arrived.
func (a *attempt) onCancel(err error) step {
	if a.ticket != nil {
		return end(holderUnreachable(a.ticket.Ref))
	}
	if a.stage != stageClaim {
		return end(holderUnreachable(a.holder.Ref))
	}
	a.t.release(a.claimed.Ref)
	return end(claimTimedOut(err))
}

// owns reports whether id is this incarnation or one whose heir it is.
// Unlike authoritativeFor it takes the lock itself and ignores whether the table is closed.
func (t *table) owns(id ferryid.Incarnation) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return id == t.self || t.heirOf[id]
}
