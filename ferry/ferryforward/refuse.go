package ferryforward

import (
	"encoding/json"
	"errors"
	"net/http"
	"time"

	"cactusferry.dev/ferry/ferryingress"
	"cactusferry.dev/ferry/ferryoutcome"
)

// errTimeUp ends the context of a request whose time is over.
var errTimeUp = errors.New("the request's time is over")

// The times after which a refused caller may come back.
const (
	// afterRestart is about how long an entry takes to learn the configuration.
	afterRestart = 300 * time.Millisecond
	// afterNobody is about how long a lost upstream takes to be replaced or found again.
	afterNobody = time.Second
	// afterStale sends a caller on to another entry, which reaches the platform.
	afterStale = 50 * time.Millisecond
	// afterOutage is about how long a platform takes that no entry reaches.
	afterOutage = 1500 * time.Millisecond
)

// mayRepeat takes one repetition from the budget of the request's service, if there is one.
func (f *Forwarder) mayRepeat(r *request) bool {
	if r.service.budget.Repeat() {
		return true
	}
	f.metrics.heldBack(r.service.name)
	f.log.Info().Str("Request", string(r.ID)).Int("Arrived", r.arrived).Int("Ran", r.ran).Msg("not sent again: the budget is used up")
	return false
}

// noRoom is the problem of a request for which the upstreams have no room; the longer that lasts, the later the caller should come back.
func (f *Forwarder) noRoom(r *request, err error) *ferryoutcome.Problem {
	after := r.service.congestion.retryAfter(f.cfg.Clock.Now())
	return ferryoutcome.New(ferryoutcome.KindOverloaded, ferryoutcome.NotRun, "The upstreams have no room.").After(after).Because(err)
}

// problem answers a call with a problem, if it has no answer yet, and logs why.
func (f *Forwarder) problem(r *request, p *ferryoutcome.Problem) {
	c := r.call
	f.metrics.failed(p)
	ev := f.log.Warn()
	if p.Status == http.StatusNotFound || p.Status == http.StatusUnauthorized || p.Status == http.StatusBadRequest {
		ev = f.log.Info()
	}
	r.describe(ev).Str("Target", c.Target).Int("Sends", r.arrived+r.unsent).Int("Ran", r.ran).Dur("Held", f.cfg.Clock.Since(c.At)).Str("Kind", string(p.Kind)).Int("Status", p.Status).
		Str("Outcome", string(p.Outcome)).Dur("RetryAfter", p.RetryAfter).AnErr("Cause", p.Cause).Msg(p.Detail)
	if c.Answered() {
		return
	}
	p.RequestID = string(r.ID)
	body, err := json.Marshal(p)
	if err != nil {
		f.log.Error().Err(err).Msg("encode problem")
	}
	h := http.Header{"Content-Type": {ferryoutcome.ContentType}, ferryoutcome.Header: {string(p.Outcome)}}
	f.cfg.Dialect.Refuse(h, r.ID, p.RetryAfter)
	if err := c.Answer(p.Status, h, append(body, '\n')); err != nil {
		f.log.Info().Str("Request", string(r.ID)).Err(err).Msg("answer not delivered")
	}
}

// Refused answers a request that could not be read.
func (f *Forwarder) Refused(c *ferryingress.Call, e *ferryingress.RequestError) {
	p := ferryoutcome.New(ferryoutcome.KindBadRequest, ferryoutcome.NotRun, "%s", e.Detail)
	p.Status = e.Status
	ask, err := f.cfg.Dialect.Ask(c.Header)
	if err != nil {
		ask.ID = ""
	}
	f.problem(&request{call: c, Ask: ask, proofAge: noProof}, p)
}
