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

// destination is the destination of a run: a single upstream, or a path of engines.
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

// pickDestination chooses the destination of a run, or returns the problem if there is none.
func (f *Forwarder) pickDestination(r *request) (destination, *ferryoutcome.Problem) {
	if r.service.chooser == nil {
		if c := r.service.balancer.Pick(slices.Concat(r.avoid, r.full), r.repeatable()); c != nil {
			return singleUpstream{c}, nil
		}
		return nil, ferryoutcome.New(ferryoutcome.KindUnavailable, ferryoutcome.NotRun, "No upstream of the service takes work.").WithRetryAfter(retryAfterNoUpstream)
	}
	run, err := r.service.chooser.Pick(ferrypath.Work{Prompt: r.Prompt, Answer: r.expectedTokens(), Avoid: slices.Concat(r.avoid, r.full)})
	switch {
	case errors.Is(err, ferrypath.ErrNoRoom):
		r.service.congestion.recordRefusal(f.cfg.Clock.Now())
		return nil, f.overloadProblem(r, err)
	case err != nil:
		return nil, ferryoutcome.New(ferryoutcome.KindUnavailable, ferryoutcome.NotRun, "No engines hold the whole model now.").WithRetryAfter(retryAfterNoUpstream).WithCause(err)
	}
	return enginePath{run}, nil
}

// expectedTokens returns the expected number of generated tokens.
func (r *request) expectedTokens() ferryid.Tokens {
	if r.AnswerHint > 0 {
		return min(r.AnswerHint, r.Answer)
	}
	return r.Answer
}

// finishDone releases a destination whose stream completed.
func finishDone(w destination) {
	switch w := w.(type) {
	case singleUpstream:
		w.call.Done(nil)
	case enginePath:
		w.run.Done()
	}
}

// finishCancelled releases a destination whose run the caller or this entry cancelled.
func finishCancelled(w destination) {
	switch w := w.(type) {
	case singleUpstream:
		w.call.Cancelled()
	case enginePath:
		w.run.Cancelled()
	}
}

// finishUnreachable releases a destination whose upstream at the address, or the first one if the address is not on the
// path, could not be reached; it returns that upstream's name.
func finishUnreachable(w destination, address string) string {
	switch w := w.(type) {
	case singleUpstream:
		w.call.Unreachable()
	case enginePath:
		at := max(0, w.run.Path().At(address))
		w.run.Unreachable(at)
		return w.run.Path().Hops()[at].Upstream.Name
	}
	return w.first().Name
}

// finishRefused releases a destination whose upstream at the address, or the first one if the address is not on the
// path, refused for lack of capacity; it returns that upstream's name.
func finishRefused(w destination, address string) string {
	switch w := w.(type) {
	case singleUpstream:
		w.call.Refused()
	case enginePath:
		at := max(0, w.run.Path().At(address))
		w.run.Refused(at)
		return w.run.Path().Hops()[at].Upstream.Name
	}
	return w.first().Name
}

// finishFailed releases a destination whose first upstream failed and returns that upstream's name.
func finishFailed(w destination) string {
	switch w := w.(type) {
	case singleUpstream:
		w.call.Failed()
	case enginePath:
		w.run.Failed(0)
	}
	return w.first().Name
}
