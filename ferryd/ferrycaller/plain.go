package ferrycaller

import (
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/go-chi/chi/v5"

	"cactusferry.dev/ferry/ferryclaim"
	"cactusferry.dev/ferry/ferryid"
	"cactusferry.dev/ferry/ferryoutcome"
	"cactusferry.dev/ferry/ferryplain"
	"cactusferry.dev/ferry/ferryqueue"
	"cactusferry.dev/ferry/ferryservice"
)

// TicketHeader is the request header with a ticket for one non-idempotent call.
const TicketHeader = "Ticket"

const maxKeyBytes = 256

// service handles calls to a plain service.
func (s *Server) service(w http.ResponseWriter, r *http.Request) {
	defer s.trackOpen(&s.openCalls)()
	began := s.Clock.Now()
	callInfoOf(r.Context()).keyed = r.Header.Get(ferryplain.IdempotencyKeyHeader) != "" || r.Header.Get(TicketHeader) != ""
	c, p := s.authenticate(r, chi.URLParam(r, "service"), ferryservice.KindPlain)
	if p != nil {
		s.fail(w, r, p)
		return
	}
	if p := s.checkServing(); p != nil {
		s.fail(w, r, p)
		return
	}
	if p := s.checkRateLimit(c, 1); p != nil {
		s.fail(w, r, p)
		return
	}
	body, p := s.readBody(w, r, c.doc.Limits.BodyBytes)
	if p != nil {
		s.fail(w, r, p)
		return
	}
	deadline, p := s.deadline(r, c.doc.Limits.Deadline)
	if p != nil {
		s.fail(w, r, p)
		return
	}
	ctx, cancel := context.WithDeadline(r.Context(), deadline)
	defer cancel()
	grant, err := s.Models.Acquire(ctx, c.doc, ferryqueue.Item{
		ID: c.id, Customer: c.customer.Name, Predicted: 1, Deadline: deadline, Arrived: s.Clock.Now(),
	})
	if err != nil {
		s.fail(w, r, asProblem(err))
		return
	}
	defer grant.Done(1)
	call := plainCall(r, c, body)
	answer, p := s.run(ctx, c, call, r.Header.Get(TicketHeader))
	if p != nil {
		s.fail(w, r, p)
		return
	}
	s.Metrics.recordAnswer(c.doc.Service, answer.Status, s.Clock.Since(began))
	s.writeAnswer(w, answer)
}

func plainCall(r *http.Request, c *caller, body []byte) ferryplain.Call {
	path := "/" + chi.URLParam(r, "*")
	return ferryplain.Call{
		RequestID:  c.id,
		Method:     r.Method,
		Path:       path,
		Query:      r.URL.RawQuery,
		Header:     r.Header,
		Body:       body,
		Idempotent: c.doc.Routes.Idempotent(r.Method, path),
	}
}

// run sends an idempotent call with retries, a call with a key or ticket at most once across all entries,
// and any other call until it may have run.
func (s *Server) run(ctx context.Context, c *caller, call ferryplain.Call, ticket string) (*ferryplain.Answer, *ferryoutcome.Problem) {
	if call.Idempotent {
		return s.sendWithRetries(ctx, c, call, func() *ferryoutcome.Problem { return nil })
	}
	key := call.Header.Get(ferryplain.IdempotencyKeyHeader)
	if len(key) > maxKeyBytes {
		return nil, badRequest("The header %s has %d bytes; at most %d are allowed.", ferryplain.IdempotencyKeyHeader, len(key), maxKeyBytes)
	}
	if key == "" && ticket == "" {
		return s.sendWithRetries(ctx, c, call, func() *ferryoutcome.Problem { return nil })
	}
	return s.runOnce(ctx, c, call, key, ticket)
}

// digest returns the digest of a call's content, so that a key can't be used for two different calls.
func digest(call ferryplain.Call) ferryclaim.Digest {
	return ferryclaim.DigestOf([]byte(call.Method), []byte(call.Path), []byte(call.Query), call.Body)
}

// sendWithRetries sends the call to one upstream after another until one answers or no retry is allowed.
func (s *Server) sendWithRetries(ctx context.Context, c *caller, call ferryplain.Call, beforeSend func() *ferryoutcome.Problem) (*ferryplain.Answer, *ferryoutcome.Problem) {
	worst := ferryoutcome.NotRun
	var tried []ferryid.UpstreamName
	for {
		up, dispatch, ok := s.Upstreams.Choose(c.doc, tried)
		if !ok {
			return nil, noUpstream(c, worst, len(tried))
		}
		if p := beforeSend(); p != nil {
			dispatch.Cancel(s.Clock.Now())
			return nil, p
		}
		answer, err := s.Plain.Do(ctx, up.Address, call)
		s.Upstreams.Done(c.doc, up, dispatch, err)
		if err == nil {
			return answer, nil
		}
		s.logUpstreamFailure(c, up, err)
		o := outcomeOf(err)
		if o != ferryoutcome.NotRun {
			worst = o
		}
		if ctx.Err() != nil {
			return nil, timedOut(worst, err)
		}
		if o != ferryoutcome.NotRun && !call.Idempotent {
			return nil, upstreamFailed(o, err)
		}
		tried = append(tried, up.Name)
		if !s.Upstreams.Retry(c.doc) {
			return nil, upstreamFailed(worst, err)
		}
	}
}

// outcomeOf returns the outcome of a failed call.
func outcomeOf(err error) ferryoutcome.Outcome {
	var refused *ferryplain.RefusedError
	if errors.As(err, &refused) {
		return ferryoutcome.NotRun
	}
	var dispatch *ferryplain.DispatchError
	if errors.As(err, &dispatch) {
		return dispatch.Outcome()
	}
	return ferryoutcome.Unknown
}

const retryAfterUnavailable = 2 * time.Second

func noUpstream(c *caller, o ferryoutcome.Outcome, tried int) *ferryoutcome.Problem {
	return ferryoutcome.New(ferryoutcome.KindUnavailable, o,
		"No upstream of service %q can take the call now; %d were tried.", c.doc.Service, tried).WithRetryAfter(retryAfterUnavailable)
}

func upstreamFailed(o ferryoutcome.Outcome, err error) *ferryoutcome.Problem {
	text := "The upstream failed before the call was sent; it was not run and may be sent again."
	switch o {
	case ferryoutcome.Ran:
		text = "The upstream ran the call, but its answer was cut off; do not send it again."
	case ferryoutcome.Unknown:
		text = "The connection to the upstream broke after the call was sent; it may have run."
	}
	return ferryoutcome.New(ferryoutcome.KindUpstreamFailed, o, "%s", text).WithCause(err)
}

func timedOut(o ferryoutcome.Outcome, err error) *ferryoutcome.Problem {
	return ferryoutcome.New(ferryoutcome.KindTimeout, o, "The call was not answered before its deadline.").WithCause(err)
}

// writeAnswer copies the upstream's answer to the caller.
// If the body breaks off after the header was sent, it aborts the caller's connection too.
func (s *Server) writeAnswer(w http.ResponseWriter, a *ferryplain.Answer) {
	ferryplain.CopyHeader(w.Header(), a.Header)
	if a.Rest != nil {
		defer a.Rest.Close()
	} else {
		w.Header().Del("Content-Length")
	}
	w.WriteHeader(a.Status)
	_, err := w.Write(a.Body)
	if err != nil || a.Rest == nil {
		return
	}
	c := http.NewResponseController(w)
	for {
		_ = c.SetWriteDeadline(s.Clock.Now().Add(s.Limits.WriteTimeout))
		_, err := io.CopyN(w, a.Rest, copyBytes)
		if errors.Is(err, io.EOF) {
			return
		}
		if err != nil {
			panic(http.ErrAbortHandler)
		}
	}
}

const copyBytes = 64 << 10
