package ferryclaim

import (
	"time"

	"cactusferry.dev/ferry/ferryid"
	"cactusferry.dev/ferry/ferryoutcome"
)

const maxTakeOvers = 4

// step is what an attempt wants done next.
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

// endStep ends the attempt with an error for the caller, and gives the claim back if the platform may have it.
type endStep struct {
	err     error
	release *op
}

func (submitStep) isStep() {}
func (askStep) isStep()    {}
func (grantStep) isStep()  {}
func (endStep) isStep()    {}

// stage says what an attempt waits for.
type stage uint8

const (
	stageClaim stage = iota
	stageAsk
	stageLook // the journal is read once more after the holder did not answer
)

// attempt is the pure core of one Begin: it decides the next step from each answer.
type attempt struct {
	t       *table
	call    Call
	key     Digest
	mine    op
	holder  Record
	ticket  *Ticket
	heirs   []ferryid.Incarnation
	tries   int
	stage   stage
	heirsOf func(ferryid.Incarnation) []ferryid.Incarnation
}

func end(err error) step { return endStep{err: err} }

// start begins the attempt.
func (a *attempt) start(now time.Time) step {
	if a.ticket != nil {
		return a.startTicket(now)
	}
	a.key = keyDigest(a.call.Customer, a.call.Service, a.call.Key)
	if o, ok := a.t.local(a.key); ok {
		return a.known(o)
	}
	return a.claim(Ref{}, now)
}

func (a *attempt) known(o op) step {
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
	if a.tries > maxTakeOvers {
		return end(inProgress())
	}
	o, ok := a.t.claim(a.call, a.key, now)
	if !ok {
		return end(draining())
	}
	a.mine = o
	a.stage = stageClaim
	rec := Record{Key: o.Key, Body: o.Body, Ref: o.Ref, State: StateClaimed, Until: o.Until.Unix()}
	return submitStep{request{op: opClaim, rec: rec, replaces: replaces}}
}

// onVerdict takes the slot's verdict on the last request.
func (a *attempt) onVerdict(v verdict, now time.Time) step {
	switch v := v.(type) {
	case granted:
		if a.t.grant(a.mine.Ref) {
			return grantStep{a.mine.Ref}
		}
		return endStep{err: lostRight(), release: &a.mine}
	case refused:
		return a.refused(v)
	case held:
		if a.stage == stageLook {
			return a.looked(v.rec, now)
		}
		a.t.forget(a.mine.Ref)
		return a.heldBy(v.rec)
	}
	return end(holderGone(a.holder.Ref))
}

func (a *attempt) refused(v refused) step {
	if a.stage == stageLook {
		return end(holderGone(a.holder.Ref))
	}
	if v.sent {
		a.t.release(a.mine.Ref)
		return endStep{err: unclaimed(v.err), release: &a.mine}
	}
	a.t.forget(a.mine.Ref)
	return end(unclaimed(v.err))
}

func (a *attempt) heldBy(rec Record) step {
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

// looked is told what the journal says after the holder did not answer.
func (a *attempt) looked(rec Record, now time.Time) step {
	if rec.State == StateClaimed && rec.Ref == a.holder.Ref {
		return end(holderGone(rec.Ref))
	}
	if rec.State == StateFinished || rec.State == StateClaimed {
		return a.heldBy(rec)
	}
	return a.claim(Ref{}, now)
}

func (a *attempt) question() Question {
	if a.ticket != nil {
		return Question{Ref: a.ticket.Ref, Body: a.call.Digest}
	}
	return Question{Ref: a.holder.Ref, Body: a.call.Digest, Revoke: true}
}

// onAnswer takes the answer of the incarnation asked last; an error counts as none.
func (a *attempt) onAnswer(id ferryid.Incarnation, ans Answer, err error, now time.Time) step {
	if err != nil || ans.Known == NotMine {
		return a.nextHeir()
	}
	switch ans.Known {
	case Reused:
		return end(keyReused())
	case Finished:
		return end(replayOf(ans.Result))
	case Dispatched:
		return end(inProgress())
	case NeverDispatched:
		if a.ticket != nil {
			return a.unusedElsewhere(id, now)
		}
		return a.claim(a.holder.Ref, now)
	}
	return a.nextHeir()
}

func (a *attempt) nextHeir() step {
	if len(a.heirs) > 0 {
		id := a.heirs[0]
		a.heirs = a.heirs[1:]
		return askStep{id, a.question()}
	}
	if a.ticket != nil {
		return end(holderGone(a.ticket.Ref))
	}
	a.stage = stageLook
	return submitStep{request{op: opLook, rec: Record{Key: a.key}}}
}

func (a *attempt) unusedElsewhere(id ferryid.Incarnation, now time.Time) step {
	switch age := now.Sub(a.ticket.issued()); {
	case age >= ticketMemory-purgeGrace:
		return end(holderGone(a.ticket.Ref))
	case age >= TicketLifetime:
		return end(ticketOld())
	}
	p := ferryoutcome.New(ferryoutcome.KindConflict, ferryoutcome.NotRun,
		"only the entry %s may run this ticket; this call was not run", id)
	return end(p.Because(&ElsewhereError{Incarnation: id}))
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
		return a.known(o)
	case useOld:
		return end(ticketOld())
	case useClosed:
		return end(draining())
	}
	return end(holderGone(a.ticket.Ref))
}

func ticketOld() error {
	return ferryoutcome.New(ferryoutcome.KindBadRequest, ferryoutcome.NotRun,
		"the ticket is older than %s and was never used; ask for a new one", TicketLifetime)
}

// cancelled ends the attempt before its verdict has come.
func (a *attempt) cancelled(err error) step {
	if a.ticket != nil {
		return end(holderGone(a.ticket.Ref))
	}
	if a.stage != stageClaim {
		return end(holderGone(a.holder.Ref))
	}
	a.t.release(a.mine.Ref)
	return end(notNow(err))
}

// owns is answersFor for callers that don't hold the lock.
func (t *table) owns(id ferryid.Incarnation) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return id == t.self || t.heirOf[id]
}
