package ferryforward

import (
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"cactusferry.dev/ferry/ferrybalance"
	"cactusferry.dev/ferry/ferryexchange"
	"cactusferry.dev/ferry/ferryingress"
	"cactusferry.dev/ferry/ferryoutcome"
)

// wholeBytes is how much of an answer is read before any of it is passed on; a longer one is passed on as it comes.
const wholeBytes = 256 << 10

// plain sends a call to one upstream after another until one answers it.
func (f *Forwarder) plain(ctx context.Context, r *request) {
	var last *ferryoutcome.Problem
	for {
		pick := r.service.balancer.Pick(r.avoid, r.repeatable())
		if pick == nil {
			f.giveUp(ctx, r, last, ferryoutcome.New(ferryoutcome.KindUnavailable, ferryoutcome.NotRun, "No upstream of the service takes work.").After(afterNobody))
			return
		}
		if r.arrived > 0 && !f.mayRepeat(r) {
			pick.Cancelled()
			f.giveUp(ctx, r, last, nil)
			return
		}
		a, p := f.offer(ctx, r, pick)
		if a != nil {
			f.deliver(r, a)
			return
		}
		last = p
		if ctx.Err() != nil || !r.mayRunAgain() {
			f.giveUp(ctx, r, last, nil)
			return
		}
		r.avoidName(pick.Upstream.Name)
		f.metrics.sentAgain(r.service.name, string(p.Kind))
	}
}

// giveUp answers with what is known of the last attempt, or with the problem that kept the request from any.
func (f *Forwarder) giveUp(ctx context.Context, r *request, last, none *ferryoutcome.Problem) {
	switch {
	case errors.Is(context.Cause(ctx), ferryingress.ErrCallerLeft):
		f.log.Info().Str("Request", string(r.ID)).Int("Ran", r.ran).Msg("the caller left")
		return
	case last == nil:
		last = none
	}
	if r.mayHaveRun && last.Outcome == ferryoutcome.NotRun {
		// An earlier send may have run, so the refusal of the last one says nothing of the request.
		last = ferryoutcome.New(ferryoutcome.KindUpstreamFailed, ferryoutcome.Unknown, "An upstream broke off, and then: %s", last.Detail).Because(last.Cause)
	}
	f.problem(r, last)
}

// wholeAnswer is an upstream's answer, read to its end or as far as it is kept.
type wholeAnswer struct {
	status int
	header http.Header
	body   []byte
	// rest is set where the answer is longer than what is kept.
	rest *ferryexchange.Answer
	pick *ferrybalance.Call
	load *ferrybalance.Load
}

// offer sends the request to one upstream and returns its whole answer, or the problem that came of it.
func (f *Forwarder) offer(ctx context.Context, r *request, pick *ferrybalance.Call) (*wholeAnswer, *ferryoutcome.Problem) {
	now := f.cfg.Clock.Now()
	out := r.outgoing(f.cfg.Dialect, Outgoing{Instance: pick.Upstream.Name, Wait: r.left(now), Customer: r.customer, After: r.After})
	a, err := f.cfg.Client.Do(ctx, pick.Upstream.Address, out)
	if err != nil {
		return nil, f.failed(ctx, r, pick, err)
	}
	v := f.cfg.Dialect.Judge(a.Status, a.Header)
	if v.Refused() {
		a.Close()
		return nil, f.refused(r, pick, a.Status, v)
	}
	body, err := io.ReadAll(io.LimitReader(a, wholeBytes))
	long := err == nil && len(body) == wholeBytes
	if !long {
		a.Close()
	}
	r.arrived++
	switch {
	case err != nil:
		return nil, f.broken(ctx, r, pick, err)
	case a.Status/100 == 2 && (!v.Signed || a.Header.Get("Content-Encoding") != ""):
		a.Close()
		return nil, f.broken(ctx, r, pick, errUnsigned)
	}
	w := &wholeAnswer{status: a.Status, header: ferryexchange.PassOn(a.Header), body: body, pick: pick, load: v.Load}
	if long {
		w.rest = a
	}
	if a.Status >= http.StatusInternalServerError {
		f.log.Info().Str("Request", string(r.ID)).Str("Upstream", pick.Upstream.Name).Int("Status", a.Status).Int("Ran", r.ran+1).Msg("failed by the upstream")
	}
	if a.Status >= http.StatusInternalServerError && f.tryElsewhere(r) {
		w.discard()
		return nil, ferryoutcome.New(ferryoutcome.KindUpstreamFailed, ferryoutcome.Ran, "The upstream answered with status %d.", a.Status)
	}
	return w, nil
}

// errUnsigned says that a success is not the upstream's own.
var errUnsigned = errors.New("a success that does not bear the upstream's mark")

// tryElsewhere reports whether a failure of the upstream's own may be tried at another one.
func (f *Forwarder) tryElsewhere(r *request) bool {
	r.ran++
	r.mayHaveRun = true
	if r.mayRunAgain() && r.service.balancer.Usable() > len(r.avoid)+1 && r.service.budget.Left() > 0 {
		return true
	}
	r.ran--
	return false
}

// discard ends an answer that is not delivered because another upstream is tried.
func (w *wholeAnswer) discard() {
	if w.rest != nil {
		w.rest.Close()
	}
	w.pick.Failed()
}

// failed judges a send without an answer.
func (f *Forwarder) failed(ctx context.Context, r *request, pick *ferrybalance.Call, err error) *ferryoutcome.Problem {
	var e *ferryexchange.Error
	if errors.As(err, &e) && e.Phase == ferryoutcome.PhaseNotConnected {
		f.logSend(r, pick.Upstream.Name, err, "not sent")
		r.unsent++
		if ctx.Err() != nil {
			pick.Cancelled()
			return f.timeUp(r, ferryoutcome.NotRun, err)
		}
		pick.Unreachable()
		return ferryoutcome.New(ferryoutcome.KindUnavailable, ferryoutcome.NotRun, "No upstream could be reached.").After(afterNobody).Because(err)
	}
	r.arrived++
	return f.broken(ctx, r, pick, err)
}

// broken judges an exchange that ended after bytes of the request had left.
func (f *Forwarder) broken(ctx context.Context, r *request, pick *ferrybalance.Call, err error) *ferryoutcome.Problem {
	r.ran++
	r.mayHaveRun = true
	f.logSend(r, pick.Upstream.Name, err, "broken off")
	if ctx.Err() != nil {
		if errors.Is(context.Cause(ctx), errTimeUp) {
			pick.Failed()
		} else {
			pick.Cancelled()
		}
		return f.timeUp(r, ferryoutcome.Unknown, err)
	}
	pick.Failed()
	return ferryoutcome.New(ferryoutcome.KindUpstreamFailed, ferryoutcome.Unknown, "The upstream broke off; the call may have run.").Because(err)
}

func (f *Forwarder) timeUp(r *request, o ferryoutcome.Outcome, err error) *ferryoutcome.Problem {
	return ferryoutcome.New(ferryoutcome.KindTimeout, o, "The time for the call ran out after %s.", f.cfg.Clock.Since(r.call.At).Round(time.Millisecond)).Because(err)
}

// refused takes an upstream's word that it did not run the call.
func (f *Forwarder) refused(r *request, pick *ferrybalance.Call, status int, v Verdict) *ferryoutcome.Problem {
	r.arrived++
	f.log.Info().Str("Request", string(r.ID)).Str("Upstream", pick.Upstream.Name).Int("Status", status).Bool("Elsewhere", v.Elsewhere).Msg("refused by the upstream")
	if v.Elsewhere {
		pick.Unreachable()
	} else {
		pick.Refused()
	}
	r.service.congestion.refused(f.cfg.Clock.Now())
	return f.noRoom(r, nil)
}

func (f *Forwarder) logSend(r *request, upstream string, err error, msg string) {
	f.log.Warn().Str("Request", string(r.ID)).Str("Upstream", upstream).Int("Arrived", r.arrived).Int("Ran", r.ran).Err(err).Msg(msg)
}

// deliver passes an upstream's answer on.
func (f *Forwarder) deliver(r *request, w *wholeAnswer) {
	f.cfg.Dialect.Deliver(w.header)
	defer func() { f.metrics.answered(r.service.name, w.status, f.cfg.Clock.Since(r.call.At)) }()
	r.describe(f.answers.Info()).Str("Upstream", w.pick.Upstream.Name).
		Int("Status", w.status).Int("Sends", r.arrived+r.unsent).Dur("Took", f.cfg.Clock.Since(r.call.At)).Msg("answered")
	if w.rest != nil {
		f.deliverRest(r, w)
		return
	}
	w.finish()
	if err := r.call.Answer(w.status, w.header, w.body); err != nil {
		f.log.Info().Str("Request", string(r.ID)).Err(err).Msg("answer not delivered")
	}
}

// finish tells the balancer how the call ended.
func (w *wholeAnswer) finish() {
	if w.status >= http.StatusInternalServerError {
		w.pick.Failed()
		return
	}
	w.pick.Done(w.load)
}

// deliverRest passes a long answer on as it comes; if it breaks, so does the caller's.
func (f *Forwarder) deliverRest(r *request, w *wholeAnswer) {
	defer w.rest.Close()
	s, err := r.call.Stream(w.status, w.header)
	if err == nil {
		_, err = s.Write(w.body)
	}
	if err == nil {
		_, err = io.Copy(s, w.rest)
	}
	if err != nil {
		w.pick.Failed()
		f.logSend(r, w.pick.Upstream.Name, err, "long answer broken off")
		return
	}
	w.pick.Done(w.load)
	if err := s.End(); err != nil {
		f.log.Info().Str("Request", string(r.ID)).Err(err).Msg("answer not delivered")
	}
}
