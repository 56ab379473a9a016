package ferryclaim

import (
	"context"

	"cactusferry.dev/ferry/ferryoutcome"
)

// Claim is the right to run one call once.
type Claim struct {
	c   *Claims
	ref Ref
}

// Ref identifies the claim in the time line.
func (cl *Claim) Ref() Ref {
	return cl.ref
}

// Dispatching must be called just before the first byte is sent, and returns a NotRun *ferryoutcome.Problem if the right is gone.
func (cl *Claim) Dispatching() error {
	if cl.c.table.dispatch(cl.ref, cl.c.cfg.Clock.Now()) {
		return nil
	}
	cl.Release(context.Background())
	return lostRight()
}

// Finish records what came of the call, with the response if it is Whole and small; it does not wait for the platform, and NotRun releases the claim.
func (cl *Claim) Finish(ctx context.Context, res Result) {
	if res.Outcome == ferryoutcome.NotRun {
		cl.Release(ctx)
		return
	}
	o, ok := cl.c.table.finish(cl.ref, res.kept(), cl.c.cfg.Clock.Now())
	if ok && !o.Ticket {
		cl.c.write(finishRequest(o))
	}
}

// Release gives the claim back; it may be called only if no byte was sent, and does not wait for the platform.
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
