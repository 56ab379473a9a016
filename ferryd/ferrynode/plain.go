package ferrynode

import (
	"context"
	"errors"

	"github.com/jonboulle/clockwork"

	"cactusferry.dev/ferry/ferryid"
	"cactusferry.dev/ferry/ferryplain"
	"cactusferry.dev/ferry/ferryroute"
	"cactusferry.dev/ferry/ferryservice"
)

// plainUpstreams selects upstreams of plain services.
type plainUpstreams struct {
	services  *services
	clock     clockwork.Clock
	onLeaving func(ferryid.ServiceName, ferryid.UpstreamName)
}

// Choose selects an upstream that is not excluded and accounts for the call.
func (p plainUpstreams) Choose(d *ferryservice.Document, exclude []ferryid.UpstreamName) (ferryservice.Upstream, *ferryroute.Dispatch, bool) {
	sv, ok := p.services.get(d.Service)
	if !ok {
		return ferryservice.Upstream{}, nil, false
	}
	if len(exclude) == 0 {
		sv.budget.Load().AddFirstTry()
	}
	w := ferryroute.Work{Predicted: 1, Avoid: exclude}
	snap := sv.table.Snapshot()
	sv.mu.Lock()
	i := ferryroute.Choose(snap, &w, &sv.rand)
	sv.mu.Unlock()
	if i < 0 {
		return ferryservice.Upstream{}, nil, false
	}
	c := snap.At(i)
	dispatch := sv.table.Start(c.Name, 1, p.clock.Now())
	return ferryservice.Upstream{Name: c.Name, Address: c.Address, FailureDomain: c.FailureDomain}, dispatch, true
}

// Done records the result of a call.
func (p plainUpstreams) Done(d *ferryservice.Document, u ferryservice.Upstream, dispatch *ferryroute.Dispatch, err error) {
	now := p.clock.Now()
	var refused *ferryplain.RefusedError
	switch {
	case err == nil:
		dispatch.Finish(1, now)
	case errors.As(err, &refused) && refused.Leaving:
		dispatch.Cancel(now)
		p.onLeaving(d.Service, u.Name)
	case errors.Is(err, context.Canceled):
		dispatch.Cancel(now)
	default:
		dispatch.Fail(ferryroute.FailureConnection, now)
	}
}

// Retry takes one retry from the service's retry budget and reports whether it was available.
func (p plainUpstreams) Retry(d *ferryservice.Document) bool {
	sv, ok := p.services.get(d.Service)
	return ok && sv.budget.Load().Retry()
}
