package ferrydocument

import (
	"context"
	"errors"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/jonboulle/clockwork"

	"cactusferry.dev/ferry/ferryid"
	"cactusferry.dev/ferry/ferryplatform"
	"cactusferry.dev/ferry/ferryservice"
	"cactusferry.dev/ferry/ferrytoml"
)

// applyTimeout bounds an apply, including the retries that resolve a write without an answer.
const applyTimeout = 15 * time.Second

var errApplyTimeout = errors.New("no answer within " + applyTimeout.String())

// Apply writes a text as the next version of its service document, by a conditional update.
//
// Errors are *ferrytoml.FaultsError, *RequestError, *LostRaceError, *ForkError, *ApplyIDReusedError,
// *UnresolvedError and the errors of the store. After any error but *UnresolvedError the change is not
// accepted.
func Apply(ctx context.Context, store ferryplatform.Store, clock clockwork.Clock, req ApplyRequest) (ferryservice.Accepted, error) {
	end := apply(ctx, store, clock, req)
	return end.accepted, end.err
}

// Apply calls the function Apply with the versions that this holder has, and puts the accepted version in
// force here without waiting for the watch.
func (h *Holder) Apply(ctx context.Context, store ferryplatform.Store, req ApplyRequest) (ferryservice.Accepted, error) {
	if f, ok := h.Get(req.Service); ok {
		req.InForce = &f.Accepted
	}
	if base, ok := h.Version(req.Service, req.BaseGeneration); ok {
		req.Base = &base
	}
	end := apply(ctx, store, h.clock, req)
	h.recordOutcome(req, end)
	return end.accepted, end.err
}

// recordOutcome offers the version in the store to the holder and adds the outcome of an apply to the time
// line.
func (h *Holder) recordOutcome(req ApplyRequest, end endApply) {
	if end.current.Generation > 0 {
		h.Offer(end.current, "apply")
	}
	var lost *LostRaceError
	switch {
	case end.err == nil:
		h.events.Add(EventAccepted, string(req.Service), "generation %d by %s, apply %s", end.accepted.Generation, req.Operator, req.ApplyID)
	case errors.As(end.err, &lost):
		h.events.Add(EventLostRace, string(req.Service), "%s lost to generation %d by %s", req.Operator, lost.Winner.Generation, lost.Winner.Operator)
	}
}

func apply(ctx context.Context, store ferryplatform.Store, clock clockwork.Clock, req ApplyRequest) endApply {
	if err := checkRequest(req); err != nil {
		return endApply{err: err}
	}
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	limit := clock.AfterFunc(applyTimeout, func() { cancel(errApplyTimeout) })
	defer limit.Stop()
	started := clock.Now()
	core := newApplyCore(req, started.UTC())
	action := core.next(applyStarted{})
	for {
		if end, ok := action.(endApply); ok {
			return end.prepend("apply document")
		}
		action = core.next(perform(ctx, store, clock, req.Service, action))
		if _, ended := action.(endApply); ended {
			continue
		}
		if clock.Since(started) >= applyTimeout {
			action = core.next(applyExpired{errApplyTimeout})
		} else if ctx.Err() != nil {
			action = core.next(applyExpired{context.Cause(ctx)})
		}
	}
}

func (e endApply) prepend(op string) endApply {
	if e.err != nil {
		e.err = merry.Prepend(e.err, op)
	}
	return e
}

func checkRequest(req ApplyRequest) error {
	if err := req.check(); err != nil {
		return err
	}
	d, err := ferryservice.Decode(string(req.Service), []byte(req.Source))
	if err != nil {
		return err
	}
	if d.Service != req.Service {
		return &ferrytoml.FaultsError{Name: string(req.Service), Faults: []ferrytoml.Fault{{
			Line: 1, Field: "Service", Text: "must be " + quoted(req.Service) + " as in the request, is " + quoted(d.Service),
		}}}
	}
	return nil
}

func quoted(s ferryid.ServiceName) string {
	return `"` + string(s) + `"`
}

// perform executes one action of the core and returns its result.
func perform(ctx context.Context, store ferryplatform.Store, clock clockwork.Clock, service ferryid.ServiceName, action applyAction) applyMessage {
	switch a := action.(type) {
	case readStore:
		o, err := store.Get(ctx, ferryservice.ObjectKind, string(service))
		return applyRead{o, err}
	case writeStore:
		v, err := store.Put(ctx, ferryservice.ObjectKind, string(service), a.expected, a.value)
		return applyWritten{v, err}
	case pauseApply:
		select {
		case <-ctx.Done():
		case <-clock.After(a.d):
		}
	}
	return applyPaused{}
}
