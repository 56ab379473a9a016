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
	// acceptUntil is when the last request that may be run again is accepted whose time limit is later than end.
	acceptUntil time.Time
	// end is when the last answer must be complete.
	end time.Time
}

// Stop begins a planned stop, in which answers must be complete at end. Requests whose time limit is later are refused
// from now on if they may not be run again, and from acceptUntil on in any case.
func (f *Forwarder) Stop(acceptUntil, end time.Time) {
	f.stopping.Store(&stopping{began: f.cfg.Clock.Now(), acceptUntil: acceptUntil, end: end})
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
	if s == nil || !r.deadline.After(s.end) || (r.repeatable() && now.Before(s.acceptUntil)) {
		return nil
	}
	left := max(0, s.end.Sub(now)).Round(time.Millisecond)
	return ferryoutcome.New(ferryoutcome.KindDraining, ferryoutcome.NotRun, "This entry stops in %s, the request may take %s.", left, r.remaining(now).Round(time.Millisecond)).WithRetryAfter(retryAfterStopping)
}
