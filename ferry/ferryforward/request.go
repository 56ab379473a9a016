package ferryforward

import (
	"context"
	"net/http"
	"time"

	"github.com/rs/zerolog"

	"cactusferry.dev/ferry/ferryconfig"
	"cactusferry.dev/ferry/ferryexchange"
	"cactusferry.dev/ferry/ferryid"
	"cactusferry.dev/ferry/ferryingress"
)

// request is one caller's request on its way.
type request struct {
	Ask
	call     *ferryingress.Call
	route    *ferryconfig.Route
	service  *service
	customer ferryid.CustomerName
	// version is that of the configuration that the request was judged by, and proofAge how long before it had been proved current.
	version  ferryconfig.Version
	proofAge time.Duration
	// deadline is when the caller must have its answer.
	deadline time.Time
	// header are the caller's headers that are passed on.
	header http.Header

	// arrived counts the sends that may have reached an upstream, and ran those that may have run there.
	arrived int
	ran     int
	// mayHaveRun says that some upstream may have run it, whether that counts as an attempt or not.
	mayHaveRun bool
	// unsent counts sends of which no byte left.
	unsent int
	// avoid are upstreams that have failed the request, and full those that had no room for it.
	avoid, full []ferryid.UpstreamName
}

// noProof is the age of a configuration that has not been proved current yet.
const noProof = time.Duration(-1)

// describe adds what a request was judged by to a line of the log.
func (r *request) describe(ev *zerolog.Event) *zerolog.Event {
	ev.Str("Request", string(r.ID)).Uint64("Configuration", uint64(r.version)).Int64("ProofAge", r.proofAge.Milliseconds())
	if r.route != nil {
		ev.Str("Route", string(r.route.Name))
	}
	if r.service != nil {
		ev.Str("Service", string(r.service.name))
	}
	if r.customer != "" {
		ev.Str("Customer", string(r.customer))
	}
	return ev
}

// repeatable reports whether the request may be sent again after it may have run.
func (r *request) repeatable() bool {
	return r.route.Repeat == ferryconfig.RepeatAlways || r.route.Repeat == ferryconfig.RepeatFromEvent
}

// mayRunAgain reports whether one more upstream may run the request.
func (r *request) mayRunAgain() bool {
	return r.ran == 0 || (r.repeatable() && r.ran < max(1, r.route.MaxAttempts))
}

func (r *request) left(now time.Time) time.Duration {
	return r.deadline.Sub(now)
}

func (r *request) outgoing(dialect Dialect, o Outgoing) *ferryexchange.Request {
	h := r.header.Clone()
	dialect.Send(h, o)
	return &ferryexchange.Request{
		Method: r.call.Method, Target: r.call.Target, Host: r.call.Host, Header: h, Body: r.call.Body,
		Alone: !r.repeatable(), Echo: dialect.Echo(),
	}
}

// timed returns a context that ends at the request's deadline.
func (r *request) timed(ctx context.Context) (context.Context, context.CancelFunc) {
	return context.WithDeadlineCause(ctx, r.deadline, errTimeUp)
}
