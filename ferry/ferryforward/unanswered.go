package ferryforward

import (
	"context"
	"errors"

	"cactusferry.dev/ferry/ferryingress"
)

// Reasons for which a request ends without a complete answer.
const (
	reasonCaller   = "CallerDisconnected"
	reasonWrite    = "WriteFailed"
	reasonStop     = "ProcessStopped"
	reasonDeadline = "Deadline"
	reasonUpstream = "UpstreamFailed"
)

// unansweredReason returns why a request ended without a complete answer.
func (f *Forwarder) unansweredReason(ctx context.Context, r *request) string {
	switch {
	case errors.Is(context.Cause(ctx), ferryingress.ErrCallerDisconnected):
		return reasonCaller
	case r.call.WriteError() != nil:
		return reasonWrite
	case ctx.Err() != nil:
		return reasonStop
	case !r.deadline.IsZero() && !f.cfg.Clock.Now().Before(r.deadline):
		return reasonDeadline
	}
	return reasonUpstream
}

// recordUnanswered counts a request that ended without a complete answer, and logs it unless its caller has
// disconnected.
func (f *Forwarder) recordUnanswered(ctx context.Context, r *request) {
	if r.call.Complete() {
		return
	}
	reason := f.unansweredReason(ctx, r)
	f.metrics.unanswered(reason)
	if reason == reasonCaller {
		return
	}
	ev := f.addLogFields(f.log.Warn(), r)
	if s, at := f.cfg.Holder.Current(), f.configChanged.Load(); s != nil && at != nil {
		ev.Uint64("InForce", uint64(s.Version)).Int64("InForceFor", f.cfg.Clock.Since(*at).Milliseconds())
	}
	ev.Str("Reason", reason).Bool("Started", r.call.Answered()).Int("Sends", r.arrived+r.unsent).Int("Ran", r.ran).
		Dur("Held", f.cfg.Clock.Since(r.call.At)).AnErr("Write", r.call.WriteError()).Msg("request ended without a complete answer")
}
