package ferryforward

import (
	"context"
	"errors"
	"io"
	"net/http"
	"slices"
	"time"

	"cactusferry.dev/ferry/ferrybalance"
	"cactusferry.dev/ferry/ferryexchange"
	"cactusferry.dev/ferry/ferryid"
	"cactusferry.dev/ferry/ferryingress"
	"cactusferry.dev/ferry/ferrymemory"
	"cactusferry.dev/ferry/ferryoutcome"
)

// maxBufferedBytes is how much of an answer is buffered before any of it is forwarded, or less if the memory budget
// has less. The rest of a longer answer is streamed.
const maxBufferedBytes = 256 << 10

// plain sends a call to one upstream after another until one of them answers.
func (f *Forwarder) plain(ctx context.Context, r *request) {
	defer func() { r.memory.Release() }()
	var last *ferryoutcome.Problem
	for {
		if p := f.blockedProblem(r); p != nil {
			f.answerFailure(ctx, r, p, nil)
			return
		}
		pick := r.service.balancer.Pick(r.avoid, r.repeatable())
		if pick == nil {
			f.answerFailure(ctx, r, last, f.unavailableProblem(r, "No upstream of the service takes work.", nil))
			return
		}
		r.chose(singleUpstream{pick})
		if r.arrived > 0 && !f.takeRetry(r) {
			pick.Cancelled()
			r.refusal.reason = retryBudgetExhausted
			f.answerFailure(ctx, r, last, nil)
			return
		}
		r.refusal = refusal{}
		a, p := f.sendTo(ctx, r, pick)
		if a != nil {
			f.deliver(r, a)
			return
		}
		last = p
		if ctx.Err() != nil || !r.mayRunAgain() {
			f.answerFailure(ctx, r, last, nil)
			return
		}
		r.avoidUpstream(pick.Upstream.Name)
		f.metrics.retried(r.service.name, string(p.Kind))
	}
}

// answerFailure answers with the problem of the last attempt, or with noAttempt if none was made.
func (f *Forwarder) answerFailure(ctx context.Context, r *request, last, noAttempt *ferryoutcome.Problem) {
	switch {
	case errors.Is(context.Cause(ctx), ferryingress.ErrCallerDisconnected):
		f.log.Info().Str("Request", string(r.ID)).Int("Ran", r.ran).Msg("call abandoned: caller disconnected")
		return
	case last == nil:
		last = noAttempt
	}
	if r.mayHaveRun && last.Outcome == ferryoutcome.NotRun {
		// An earlier attempt may have run, so NotRun from the last one does not hold for the request.
		last = ferryoutcome.New(ferryoutcome.KindUpstreamFailed, ferryoutcome.Unknown, "An upstream broke off, and then: %s", last.Detail).WithCause(last.Cause)
	}
	f.answerProblem(r, last)
}

// bufferedAnswer is an upstream's answer, buffered completely or up to maxBufferedBytes or the memory budget.
type bufferedAnswer struct {
	status int
	header http.Header
	body   []byte
	// rest is set if the answer is longer than body.
	rest *ferryexchange.Answer
	pick *ferrybalance.Call
	load *ferrybalance.Load
}

// sendTo sends the request to one upstream and returns its answer, or the resulting problem.
func (f *Forwarder) sendTo(ctx context.Context, r *request, pick *ferrybalance.Call) (*bufferedAnswer, *ferryoutcome.Problem) {
	now := f.cfg.Clock.Now()
	out := r.outgoing(f.cfg.Dialect, OutgoingInfo{Instance: pick.Upstream.Name, Timeout: r.remaining(now), Customer: r.customer, After: r.After})
	a, err := f.cfg.Client.Do(ctx, pick.Upstream.Address, out)
	if err != nil {
		return nil, f.handleSendError(ctx, r, pick, err)
	}
	v := f.cfg.Dialect.DecodeAnswer(a.Status, a.Header)
	f.cfg.Observer.Observe(pick.Upstream, pick.Upstream, v)
	if v.CertainlyNotRun() {
		// Closed unread, so that the connection is not kept: a second copy of the refusal could follow on it.
		a.Close()
		return nil, f.handleRefusal(r, pick, a.Status, v)
	}
	body, whole, err := a.Buffer(maxBufferedBytes)
	r.memory.Release()
	r.memory = a.Keep()
	long := err == nil && !whole
	if !long {
		a.Close()
	}
	r.arrived++
	switch {
	case err != nil:
		return nil, f.handleBrokenExchange(ctx, r, pick, err)
	case a.Status/100 == 2 && (!v.Signed || a.Header.Get("Content-Encoding") != ""):
		a.Close()
		return nil, f.handleBrokenExchange(ctx, r, pick, errUnsigned)
	}
	w := &bufferedAnswer{status: a.Status, header: ferryexchange.EndToEndHeaders(a.Header), body: body, pick: pick, load: v.Load}
	if long {
		w.rest = a
	}
	if a.Status >= http.StatusInternalServerError {
		f.log.Info().Str("Request", string(r.ID)).Str("Upstream", pick.Upstream.Name).Int("Status", a.Status).Int("Ran", r.ran+1).Msg("upstream answered with a server error")
	}
	if a.Status >= http.StatusInternalServerError && f.mayRetryServerError(r, pick) {
		w.discard()
		return nil, ferryoutcome.New(ferryoutcome.KindUpstreamFailed, ferryoutcome.Ran, "The upstream answered with status %d.", a.Status)
	}
	return w, nil
}

// errUnsigned rejects a success without an upstream's signature or with a content encoding, which may come from
// another server.
var errUnsigned = errors.New("upstream answer not accepted: success without the upstream's signature, or with a content encoding")

// mayRetryServerError reports whether a request that an upstream answered with a server error may be retried at
// another one. It marks the request as possibly run, and counts the run in ran if it may be retried.
func (f *Forwarder) mayRetryServerError(r *request, pick *ferrybalance.Call) bool {
	r.ran++
	r.mayHaveRun = true
	if r.mayRunAgain() && r.service.balancer.Usable(append(slices.Clone(r.avoid), ferryid.UpstreamName(pick.Upstream.Name))...) > 0 && r.service.budget.Remaining() > 0 {
		return true
	}
	r.ran--
	return false
}

// discard closes an answer that is dropped in favour of a retry.
func (w *bufferedAnswer) discard() {
	if w.rest != nil {
		w.rest.Close()
	}
	w.pick.Failed()
}

// handleSendError returns the problem of a send that got no answer.
func (f *Forwarder) handleSendError(ctx context.Context, r *request, pick *ferrybalance.Call, err error) *ferryoutcome.Problem {
	var e *ferryexchange.Error
	if errors.As(err, &e) && e.Phase == ferryoutcome.PhaseNotConnected {
		f.logSendError(r, pick.Upstream.Name, err, "request not sent: no connection to the upstream")
		r.unsent++
		if ctx.Err() != nil {
			pick.Cancelled()
			return f.timeoutProblem(r, ferryoutcome.NotRun, err)
		}
		pick.Unreachable()
		return ferryoutcome.New(ferryoutcome.KindUnavailable, ferryoutcome.NotRun, "No upstream could be reached.").WithRetryAfter(retryAfterNoUpstream).WithCause(err)
	}
	r.arrived++
	return f.handleBrokenExchange(ctx, r, pick, err)
}

// handleBrokenExchange returns the problem of an exchange that failed after part of the request was sent.
func (f *Forwarder) handleBrokenExchange(ctx context.Context, r *request, pick *ferrybalance.Call, err error) *ferryoutcome.Problem {
	r.ran++
	r.mayHaveRun = true
	f.logSendError(r, pick.Upstream.Name, err, "exchange with the upstream failed after the request was sent")
	if ctx.Err() != nil {
		if errors.Is(context.Cause(ctx), errDeadline) {
			pick.Failed()
		} else {
			pick.Cancelled()
		}
		return f.timeoutProblem(r, ferryoutcome.Unknown, err)
	}
	pick.Failed()
	return ferryoutcome.New(ferryoutcome.KindUpstreamFailed, ferryoutcome.Unknown, "The upstream broke off; the call may have run.").WithCause(err)
}

func (f *Forwarder) timeoutProblem(r *request, o ferryoutcome.Outcome, err error) *ferryoutcome.Problem {
	detail := "The time for the call ran out after %s."
	if f.stopEnds() && f.cfg.Clock.Now().Before(r.deadline) {
		detail = "The entry ends after %s of the call."
	}
	return ferryoutcome.New(ferryoutcome.KindTimeout, o, detail, f.cfg.Clock.Since(r.call.At).Round(time.Millisecond)).WithCause(err)
}

// handleRefusal returns the problem of a call that the upstream refused without running it.
func (f *Forwarder) handleRefusal(r *request, pick *ferrybalance.Call, status int, v AnswerInfo) *ferryoutcome.Problem {
	r.arrived++
	f.log.Info().Str("Request", string(r.ID)).Str("Upstream", pick.Upstream.Name).Int("Status", status).Bool("Elsewhere", v.Elsewhere).Msg("upstream refused the request without running it")
	if v.Elsewhere {
		pick.Unreachable()
	} else {
		pick.Refused()
	}
	r.service.congestion.recordRefusal(f.cfg.Clock.Now())
	return f.overloadProblem(r, engineRefused, nil)
}

func (f *Forwarder) logSendError(r *request, upstream string, err error, msg string) {
	f.log.Warn().Str("Request", string(r.ID)).Str("Upstream", upstream).Int("Arrived", r.arrived).Int("Ran", r.ran).Err(err).Msg(msg)
}

// deliver forwards an upstream's answer to the caller.
func (f *Forwarder) deliver(r *request, w *bufferedAnswer) {
	f.cfg.Dialect.StripInternal(w.header)
	defer func() { f.metrics.answered(r.service.name, w.status, f.cfg.Clock.Since(r.call.At)) }()
	f.addLogFields(f.successLog.Info(), r).Str("Upstream", w.pick.Upstream.Name).
		Int("Status", w.status).Int("Sends", r.arrived+r.unsent).Dur("Took", f.cfg.Clock.Since(r.call.At)).Msg("request answered")
	if w.rest != nil {
		f.deliverRest(r, w)
		return
	}
	w.reportResult()
	if w.status/100 == 2 {
		f.cfg.Suspects.Written(r.service.name, r.Parts)
	}
	if err := r.call.Answer(w.status, w.header, w.body); err != nil {
		f.log.Info().Str("Request", string(r.ID)).Err(err).Msg("could not write the answer to the caller")
	}
}

// reportResult reports the result of the call to the balancer.
func (w *bufferedAnswer) reportResult() {
	if w.status >= http.StatusInternalServerError {
		w.pick.Failed()
		return
	}
	w.pick.Done(w.load)
}

// copyBytes is the size of the buffer through which an answer is streamed, if the memory budget has it.
const copyBytes = 32 << 10

func copyBuffer(hold *ferrymemory.Hold) []byte {
	if !hold.Take(copyBytes) {
		return make([]byte, ferrymemory.FreeBytes)
	}
	return make([]byte, copyBytes)
}

// deliverRest streams a long answer to the caller, and aborts the caller's answer if the upstream's fails.
func (f *Forwarder) deliverRest(r *request, w *bufferedAnswer) {
	defer w.rest.Close()
	s, err := r.call.Stream(w.status, w.header)
	if err == nil {
		_, err = s.Write(w.body)
	}
	w.body = nil
	r.memory.Release()
	if err == nil {
		_, err = io.CopyBuffer(s, w.rest, copyBuffer(r.memory))
	}
	if err != nil {
		w.pick.Failed()
		f.logSendError(r, w.pick.Upstream.Name, err, "streaming of a long answer aborted")
		return
	}
	w.pick.Done(w.load)
	if err := s.End(); err != nil {
		f.log.Info().Str("Request", string(r.ID)).Err(err).Msg("could not write the answer to the caller")
	}
}
