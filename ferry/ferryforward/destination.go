package ferryforward

import (
	"errors"
	"slices"

	"cactusferry.dev/ferry/ferrybalance"
	"cactusferry.dev/ferry/ferrydiscovery"
	"cactusferry.dev/ferry/ferryid"
	"cactusferry.dev/ferry/ferryoutcome"
	"cactusferry.dev/ferry/ferrypath"
)

// destination is where a run is sent: to a single upstream, or over a path of engines.
type destination interface {
	// first returns the upstream that the request is sent to.
	first() *ferrydiscovery.Upstream
	isDestination()
}

// singleUpstream is a single upstream that runs the whole request.
type singleUpstream struct{ call *ferrybalance.Call }

// enginePath is a path of engines, each of which forwards its results to the next.
type enginePath struct{ run *ferrypath.Run }

func (w singleUpstream) first() *ferrydiscovery.Upstream { return w.call.Upstream }
func (w enginePath) first() *ferrydiscovery.Upstream     { return w.run.Path().First() }
func (singleUpstream) isDestination()                    {}
func (enginePath) isDestination()                        {}

// pickDestination chooses the destination of a run that does not begin at the given upstreams or those that
// failed the request, or returns the problem if there is none.
func (f *Forwarder) pickDestination(r *request, without ...ferryid.UpstreamName) (destination, *ferryoutcome.Problem) {
	avoid := slices.Concat(r.avoid, r.full, without)
	if r.service.chooser == nil {
		if c := r.service.balancer.Pick(avoid, r.repeatable()); c != nil {
			return r.chose(singleUpstream{c}), nil
		}
		return nil, f.unavailableProblem(r, "No upstream of the service takes work.", nil)
	}
	run, err := f.pickPath(r, avoid)
	switch {
	case errors.Is(err, ferrypath.ErrNoRoom), errors.Is(err, ferrypath.ErrNoForecastRoom):
		r.service.congestion.recordRefusal(f.cfg.Clock.Now())
		reason := noRoom
		if errors.Is(err, ferrypath.ErrNoForecastRoom) {
			reason = noForecastRoom
		}
		return nil, f.overloadProblem(r, reason, err)
	case err != nil:
		return nil, f.unavailableProblem(r, "No engines hold the whole model now.", err)
	}
	return r.chose(enginePath{run}), nil
}

// pickPath chooses a path, if possible apart from the runs that this one might crash or be ended by.
func (f *Forwarder) pickPath(r *request, avoid []ferryid.UpstreamName) (*ferrypath.Run, error) {
	work := ferrypath.Work{Prompt: r.Prompt, Answer: r.expectedTokens(), Avoid: avoid, Urgency: r.urgency(), Counted: r.picked}
	r.picked = true
	now, suspect := f.cfg.Clock.Now(), f.isSuspect(r)
	var run *ferrypath.Run
	err := ferrypath.ErrNoPath
	if apart := r.service.isolation.avoided(suspect, now); len(apart) > 0 {
		work.Avoid = slices.Concat(avoid, apart)
		run, err = r.service.chooser.Pick(work)
		work.Avoid, work.Counted = avoid, true
	}
	if err != nil {
		run, err = r.service.chooser.Pick(work)
	}
	if err == nil && (suspect || r.arrived > 0) {
		r.service.isolation.record(suspect, run.Path().First().Name, now)
	}
	return run, err
}

// chose records a destination, so that it can be released whatever happens.
func (r *request) chose(dest destination) destination {
	r.destinations = append(r.destinations, dest)
	return dest
}

// expectedTokens returns the expected number of generated tokens.
func (r *request) expectedTokens() ferryid.Tokens {
	if r.AnswerHint > 0 {
		return min(r.AnswerHint, r.Answer)
	}
	return r.Answer
}

// hintedTokens returns the caller's estimate of the number of generated tokens, or their maximum number if there is none.
// Unlike expectedTokens it may exceed the maximum, and tells longer answers from shorter ones even then.
func (r *request) hintedTokens() ferryid.Tokens {
	if r.AnswerHint > 0 {
		return r.AnswerHint
	}
	return r.Answer
}

// upstreamAt returns the upstream at the address, or the first one if the address is not on the path.
func upstreamAt(dest destination, address string) *ferrydiscovery.Upstream {
	if c, ok := dest.(enginePath); ok {
		if p := c.run.Path(); p.At(address) > 0 {
			return p.Hops()[p.At(address)].Upstream
		}
	}
	return dest.first()
}

// finishDone releases a destination whose stream completed.
func finishDone(dest destination) {
	switch dest := dest.(type) {
	case singleUpstream:
		dest.call.Done(nil)
	case enginePath:
		dest.run.Done()
	}
}

// finishCancelled releases a destination whose run the caller or this entry cancelled.
func finishCancelled(dest destination) {
	switch dest := dest.(type) {
	case singleUpstream:
		dest.call.Cancelled()
	case enginePath:
		dest.run.Cancelled()
	}
}

// finishUnreachable releases a destination whose upstream at the address, or the first one if the address is
// not on the path, could not be reached; it returns that upstream's name.
func finishUnreachable(dest destination, address string) string {
	switch dest := dest.(type) {
	case singleUpstream:
		dest.call.Unreachable()
	case enginePath:
		at := max(0, dest.run.Path().At(address))
		dest.run.Unreachable(at)
		return dest.run.Path().Hops()[at].Upstream.Name
	}
	return dest.first().Name
}

// finishRefused releases a destination whose upstream at the address, or the first one if the address is not
// on the path, refused for lack of capacity; it returns that upstream's name.
func finishRefused(dest destination, address string) string {
	switch dest := dest.(type) {
	case singleUpstream:
		dest.call.Refused()
	case enginePath:
		at := max(0, dest.run.Path().At(address))
		dest.run.Refused(at)
		return dest.run.Path().Hops()[at].Upstream.Name
	}
	return dest.first().Name
}

// finishFailed releases a destination whose first upstream failed and returns that upstream's name.
func finishFailed(dest destination) string {
	switch dest := dest.(type) {
	case singleUpstream:
		dest.call.Failed()
	case enginePath:
		dest.run.Failed(0)
	}
	return dest.first().Name
}
