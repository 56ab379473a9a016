package ferryclaim

import (
	"context"

	"cactusferry.dev/ferry/ferryoutcome"
)

// Claim is the permission to run one call once.
type Claim struct {
	c   *Claims
	ref Ref
}

// Ref returns the reference that identifies the claim in the time line.
func (cl *Claim) Ref() Ref {
	return cl.ref
}

// MarkDispatched must be called just before the first byte is sent.
// It returns a NotRun *ferryoutcome.Problem if the claim is no longer valid.
func (cl *Claim) MarkDispatched() error {
	if cl.c.table.dispatch(cl.ref, cl.c.cfg.Clock.Now()) {
		return nil
	}
	cl.Release(context.Background())
	return claimLost()
}

// Finish records the result of the call, with the response if that is Complete and small enough.
// It does not wait for the platform; an outcome of NotRun releases the claim.
func (cl *Claim) Finish(ctx context.Context, res Result) {
	if res.Outcome == ferryoutcome.NotRun {
		cl.Release(ctx)
		return
	}
	o, ok := cl.c.table.finish(cl.ref, res.truncated(), cl.c.cfg.Clock.Now())
	if ok && !o.Ticket {
		cl.c.write(finishRequest(o))
	}
}

// Release releases the claim without waiting for the platform; it must only be called if no byte was sent.
func (cl *Claim) Release(context.Context) {
	o, ok := cl.c.table.release(cl.ref)
	if ok && !o.Ticket {
		cl.c.writeRelease(o)
	}
}

func finishRequest(o op) request {
	rec := Record{Key: o.Key, Body: o.Body, Ref: o.Ref, State: StateFinished, Until: o.Until.Unix(), Result: o.Result}
	return request{op: opFinish, rec: rec}
}

// revoked reports whether the operation will never be dispatched.
func (t *table) revoked(r Ref) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	o, ok := t.ops[r]
	return !ok || o.Phase == phaseRevoked
}
