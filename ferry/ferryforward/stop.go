package ferryforward

import (
	"time"

	"github.com/rs/zerolog"

	"cactusferry.dev/ferry/ferryoutcome"
)

// stopping is the schedule of a planned stop.
type stopping struct {
	// began is when the stop began.
	began time.Time
	// acceptUntil is when the last request is accepted whose time limit is later than end.
	acceptUntil time.Time
	// end is when the last answer must be complete.
	end time.Time
}

// Stop begins a planned stop, in which answers must be complete at end. Requests whose time limit is later are refused
// from now on if they may not be run again, unless they are streams that will very probably be complete by then, and
// from acceptUntil on in any case.
func (f *Forwarder) Stop(acceptUntil, end time.Time) {
	f.stopping.Store(&stopping{began: f.cfg.Clock.Now(), acceptUntil: acceptUntil, end: end})
}

// stopEnds reports whether the time for the last answers of a planned stop is over.
func (f *Forwarder) stopEnds() bool {
	s := f.stopping.Load()
	return s != nil && !f.cfg.Clock.Now().Before(s.end)
}

// addLogFields adds the admission data of the request to a log event, and during a planned stop when the request was
// accepted: AfterStop is the time since the stop began, negative before it.
func (f *Forwarder) addLogFields(ev *zerolog.Event, r *request) *zerolog.Event {
	ev = r.addLogFields(ev)
	if s := f.stopping.Load(); s != nil {
		ev.Int64("AfterStop", r.call.At.Sub(s.began).Milliseconds())
	}
	return ev
}

// refuseLate returns the problem of a request that this entry may not live to answer, or nil.
func (f *Forwarder) refuseLate(r *request, now time.Time) *ferryoutcome.Problem {
	s := f.stopping.Load()
	if s == nil || !r.deadline.After(s.end) || (now.Before(s.acceptUntil) && (r.repeatable() || r.endsWithin(s.end.Sub(now)))) {
		return nil
	}
	left := max(0, s.end.Sub(now)).Round(time.Millisecond)
	return ferryoutcome.New(ferryoutcome.KindDraining, ferryoutcome.NotRun, "This entry stops in %s, the request may take %s.", left, r.remaining(now).Round(time.Millisecond)).WithRetryAfter(retryAfterStopping)
}

// endsWithin reports whether the request is a stream that will very probably be complete within the time left. What is
// missing of a resumed stream is not known.
func (r *request) endsWithin(left time.Duration) bool {
	return r.service != nil && r.route.Streaming && r.After == "" && r.service.times.endWithin(left, r.hintedTokens())
}
