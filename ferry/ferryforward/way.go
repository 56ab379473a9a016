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

// way is where a stream is sent: to one upstream, or over a path of engines.
type way interface {
	// first is the upstream that the request goes to.
	first() *ferrydiscovery.Upstream
	isWay()
}

// alone is a way to one upstream that does all by itself.
type alone struct{ call *ferrybalance.Call }

// chain is a way over engines that hand the work on by themselves.
type chain struct{ run *ferrypath.Run }

func (w alone) first() *ferrydiscovery.Upstream { return w.call.Upstream }
func (w chain) first() *ferrydiscovery.Upstream { return w.run.Path().First() }
func (alone) isWay()                            {}
func (chain) isWay()                            {}

// pickWay chooses where a stream goes, or returns the problem that there is nowhere.
func (f *Forwarder) pickWay(r *request) (way, *ferryoutcome.Problem) {
	if r.service.chooser == nil {
		if c := r.service.balancer.Pick(slices.Concat(r.avoid, r.full), r.repeatable()); c != nil {
			return alone{c}, nil
		}
		return nil, ferryoutcome.New(ferryoutcome.KindUnavailable, ferryoutcome.NotRun, "No upstream of the service takes work.").After(afterNobody)
	}
	run, err := r.service.chooser.Pick(ferrypath.Work{Prompt: r.Prompt, Answer: r.expected(), Avoid: slices.Concat(r.avoid, r.full)})
	switch {
	case errors.Is(err, ferrypath.ErrNoRoom):
		r.service.congestion.refused(f.cfg.Clock.Now())
		return nil, f.noRoom(r, err)
	case err != nil:
		return nil, ferryoutcome.New(ferryoutcome.KindUnavailable, ferryoutcome.NotRun, "No engines hold the whole model now.").After(afterNobody).Because(err)
	}
	return chain{run}, nil
}

// expected is how many tokens the answer will probably have.
func (r *request) expected() ferryid.Tokens {
	if r.AnswerHint > 0 {
		return min(r.AnswerHint, r.Answer)
	}
	return r.Answer
}

// done ends a way whose stream came whole.
func done(w way) {
	switch w := w.(type) {
	case alone:
		w.call.Done(nil)
	case chain:
		w.run.Done()
	}
}

// cancelled ends a way that was given up for reasons of the caller's or this entry's.
func cancelled(w way) {
	switch w := w.(type) {
	case alone:
		w.call.Cancelled()
	case chain:
		w.run.Cancelled()
	}
}

// unreachable ends a way whose upstream at the address, or the first one, could not be reached; it returns that upstream's name.
func unreachable(w way, address string) string {
	switch w := w.(type) {
	case alone:
		w.call.Unreachable()
	case chain:
		at := max(0, w.run.Path().At(address))
		w.run.Unreachable(at)
		return w.run.Path().Hops()[at].Upstream.Name
	}
	return w.first().Name
}

// refusedBy ends a way whose upstream at the address, or the first one, had no room; it returns that upstream's name.
func refusedBy(w way, address string) string {
	switch w := w.(type) {
	case alone:
		w.call.Refused()
	case chain:
		at := max(0, w.run.Path().At(address))
		w.run.Refused(at)
		return w.run.Path().Hops()[at].Upstream.Name
	}
	return w.first().Name
}

// failedAt ends a way whose first upstream broke off.
func failedAt(w way) string {
	switch w := w.(type) {
	case alone:
		w.call.Failed()
	case chain:
		w.run.Failed(0)
	}
	return w.first().Name
}
