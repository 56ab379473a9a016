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
	"cactusferry.dev/ferry/ferrymemory"
)

// request is the state of one caller's request.
type request struct {
	RequestInfo
	call     *ferryingress.Call
	route    *ferryconfig.Route
	service  *service
	customer ferryid.CustomerName
	// rank is the rank of the request at its service, which has ranks of them.
	rank  ferryconfig.Rank
	ranks int
	// refusal is why the request is refused if it gets no further run.
	refusal refusal
	// picked is set once a path was looked for.
	picked bool
	// version is the configuration under which the request was admitted, and proofAge the age that the proof
	// of its being current had at that time.
	version  ferryconfig.Version
	proofAge time.Duration
	// deadline is the earliest of the caller's and the route's timeout and maxTimeout.
	deadline time.Time
	// header holds the caller's headers without the hop-by-hop ones.
	header http.Header

	// arrived counts the attempts that may have reached an upstream, and ran those that may have run there and
	// count towards the route's attempts.
	arrived int
	ran     int
	// mayHaveRun is set once an upstream may have run the request, whether or not that counts in ran.
	mayHaveRun bool
	// crashes counts the engines that crashed before they wrote on the request.
	crashes int
	// lost are those and the ones that stopped answering before.
	lost lostNames
	// unsent counts attempts that sent no byte.
	unsent int
	// destinations are those that were chosen for the request so far.
	destinations []destination
	// avoid lists upstreams that failed the request, and full those that refused it for lack of capacity.
	avoid, full []ferryid.UpstreamName
	// memory is what the answer of the last attempt has taken; streams leave it with their runs.
	memory *ferrymemory.Hold
}

// noProof is the proofAge of a configuration that has not been proved current yet.
const noProof = time.Duration(-1)

// addLogFields adds the admission data of the request to a log event.
func (r *request) addLogFields(ev *zerolog.Event) *zerolog.Event {
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
	if r.ranks > 1 {
		ev.Int("Rank", int(r.rank))
	}
	return ev
}

// repeatable reports whether the route permits a retry after the request may have run.
func (r *request) repeatable() bool {
	return r.route.Repeat == ferryconfig.RepeatAlways || r.route.Repeat == ferryconfig.RepeatFromEvent
}

// mayRunAgain reports whether the request may run at one more upstream.
func (r *request) mayRunAgain() bool {
	if r.crashes >= maxCrashes || r.lost.count() >= maxLost {
		return false
	}
	return r.ran == 0 || (r.repeatable() && r.ran < max(1, r.route.MaxAttempts))
}

func (r *request) remaining(now time.Time) time.Duration {
	return r.deadline.Sub(now)
}

func (r *request) outgoing(dialect Dialect, o OutgoingInfo) *ferryexchange.Request {
	h := r.header.Clone()
	dialect.EncodeOutgoing(h, o)
	return &ferryexchange.Request{
		Method: r.call.Method, Target: r.call.Target, Host: r.call.Host, Header: h, Body: r.call.Body,
		NewConn: !r.repeatable(), Echo: dialect.Echo(),
	}
}

// withDeadline returns a context that ends at the request's deadline.
func (r *request) withDeadline(ctx context.Context) (context.Context, context.CancelFunc) {
	return context.WithDeadlineCause(ctx, r.deadline, errDeadline)
}
