package ferryforward

import (
	"encoding/json"
	"errors"
	"net/http"
	"time"

	"cactusferry.dev/ferry/ferryingress"
	"cactusferry.dev/ferry/ferryoutcome"
)

// errDeadline is the cancellation cause of a request that has reached its deadline.
var errDeadline = errors.New("request deadline exceeded")

// Retry-After values by the reason of the refusal.
const (
	// retryAfterRestart is about the time an entry takes to load the configuration.
	retryAfterRestart = 300 * time.Millisecond
	// retryAfterNoUpstream is about the time until a lost upstream is replaced or usable again.
	retryAfterNoUpstream = time.Second
	// retryAfterStale is short, because another entry still reaches the platform.
	retryAfterStale = 50 * time.Millisecond
	// retryAfterNoMemory is about the time in which bodies of other requests end.
	retryAfterNoMemory = 500 * time.Millisecond
	// retryAfterStopping is short, because other entries serve the request.
	retryAfterStopping = 50 * time.Millisecond
	// retryAfterOutage is about the duration of a platform outage that affects all entries.
	retryAfterOutage = 1500 * time.Millisecond
)

// urgentReserve is the part of the entry's own retries that is left to the most urgent requests.
const urgentReserve = 0.5

// takeRetry takes one retry from the retry budget of the service and reports whether one was left for the request.
func (f *Forwarder) takeRetry(r *request) bool {
	if r.service.budget.TakeRetryAbove(urgentReserve * (1 - r.rankUrgency())) {
		return true
	}
	f.metrics.retryDenied(r.service.name)
	f.log.Info().Str("Request", string(r.ID)).Int("Arrived", r.arrived).Int("Ran", r.ran).Msg("request not retried: retry budget exhausted")
	return false
}

// overloadProblem returns the problem of a request refused for lack of capacity; Retry-After grows with the
// duration of the congestion.
func (f *Forwarder) overloadProblem(r *request, reason refusalReason, err error) *ferryoutcome.Problem {
	if p := f.deferredProblem(r, err); p != nil {
		return p
	}
	r.refuse(reason)
	after := r.service.congestion.retryAfter(f.cfg.Clock.Now())
	return ferryoutcome.New(ferryoutcome.KindOverloaded, ferryoutcome.NotRun, "The upstreams have no room.").WithRetryAfter(after).WithCause(err)
}

// deferredProblem returns the problem of a request that no upstream wants before a time that they stated, or nil.
func (f *Forwarder) deferredProblem(r *request, err error) *ferryoutcome.Problem {
	now := f.cfg.Clock.Now()
	at := r.service.availableAt()
	if !at.After(now) {
		return nil
	}
	r.refuse(upstreamsDeferred)
	// Rounding up keeps a caller from returning before that time.
	wait := withJitter(at.Sub(now)) + time.Millisecond
	return ferryoutcome.New(ferryoutcome.KindOverloaded, ferryoutcome.NotRun, "The upstreams want no requests for another %s.", at.Sub(now).Round(time.Millisecond)).WithRetryAfter(wait).WithCause(err)
}

// unavailableProblem returns the problem of a request for which there is no upstream.
func (f *Forwarder) unavailableProblem(r *request, detail string, err error) *ferryoutcome.Problem {
	if p := f.deferredProblem(r, err); p != nil {
		return p
	}
	r.refuse(noUpstream)
	return ferryoutcome.New(ferryoutcome.KindUnavailable, ferryoutcome.NotRun, "%s", detail).WithRetryAfter(retryAfterNoUpstream).WithCause(err)
}

// answerProblem logs a problem and sends it to the caller, unless the call has been answered already.
func (f *Forwarder) answerProblem(r *request, p *ferryoutcome.Problem) {
	c := r.call
	f.metrics.failed(p)
	ev := f.log.Warn()
	if p.Status == http.StatusNotFound || p.Status == http.StatusUnauthorized || p.Status == http.StatusBadRequest {
		ev = f.log.Info()
	}
	f.addLogFields(ev, r)
	if r.refusal.reason != "" && p.Outcome == ferryoutcome.NotRun {
		f.metrics.refused(r, p.RetryAfter)
		r.addRefusalFields(ev)
	}
	ev.Str("Target", c.Target).Int("Sends", r.arrived+r.unsent).Int("Ran", r.ran).Dur("Held", f.cfg.Clock.Since(c.At)).Str("Kind", string(p.Kind)).Int("Status", p.Status).
		Str("Outcome", string(p.Outcome)).Dur("RetryAfter", p.RetryAfter).AnErr("Cause", p.Cause).Msg(p.Detail)
	if c.Answered() {
		return
	}
	p.RequestID = string(r.ID)
	body, err := json.Marshal(p)
	if err != nil {
		f.log.Error().Err(err).Msg("could not encode the problem answer")
	}
	h := http.Header{"Content-Type": {ferryoutcome.ContentType}, ferryoutcome.Header: {string(p.Outcome)}}
	f.cfg.Dialect.EncodeRefusal(h, r.ID, p.RetryAfter)
	if err := c.Answer(p.Status, h, append(body, '\n')); err != nil {
		f.log.Info().Str("Request", string(r.ID)).Err(err).Msg("could not write the problem answer to the caller")
	}
}

// Refused answers a request that the ingress could not parse.
func (f *Forwarder) Refused(c *ferryingress.Call, e *ferryingress.RequestError) {
	p := ferryoutcome.New(ferryoutcome.KindBadRequest, ferryoutcome.NotRun, "%s", e.Detail)
	if e.Status == http.StatusServiceUnavailable {
		p = ferryoutcome.New(ferryoutcome.KindOverloaded, ferryoutcome.NotRun, "%s", e.Detail).WithRetryAfter(retryAfterNoMemory)
	}
	p.Status = e.Status
	info, err := f.cfg.Dialect.DecodeRequest(c.Header)
	if err != nil {
		info.ID = ""
	}
	f.answerProblem(&request{call: c, RequestInfo: info, proofAge: noProof}, p)
}
