package ferryforward

import (
	"sync/atomic"
	"time"

	"cactusferry.dev/ferry/ferryid"
	"cactusferry.dev/ferry/ferryoutcome"
)

// leaving tells which streams would outlast a planned stop.
type leaving struct {
	// until is when the process ends, in nanoseconds of its clock, or zero while no stop is planned.
	until atomic.Int64
	// tokenTime is the usual time of a stream for each token that was expected of it, in nanoseconds, or zero while none is known.
	tokenTime atomic.Int64
}

// tokenTimeWeight is the weight of the newest stream in the usual time: about as many streams run at an entry at a time.
const tokenTimeWeight = 16

// took notes a stream that came whole.
func (l *leaving) took(d time.Duration, expected ferryid.Tokens) {
	if expected <= 0 {
		return
	}
	newest := int64(d) / int64(expected)
	if old := l.tokenTime.Load(); old > 0 {
		newest = old + (newest-old)/tokenTimeWeight
	}
	l.tokenTime.Store(newest)
}

// outlasts reports whether a stream that begins now will probably last longer than this process.
func (l *leaving) outlasts(now time.Time, expected ferryid.Tokens) bool {
	until := l.until.Load()
	return until > 0 && now.UnixNano()+int64(expected)*l.tokenTime.Load() > until
}

// Stop says when the process ends: streams that would last longer are refused from now on, so that their callers begin them elsewhere.
func (f *Forwarder) Stop(until time.Time) {
	f.leaving.until.Store(until.UnixNano())
}

// tooLong refuses a stream that this process would have to cut off, where another entry can serve it.
func (f *Forwarder) tooLong(r *request) *ferryoutcome.Problem {
	if !f.leaving.outlasts(f.cfg.Clock.Now(), r.expected()) || f.cfg.OthersServe == nil || !f.cfg.OthersServe() {
		return nil
	}
	r.call.CloseAfter()
	return ferryoutcome.New(ferryoutcome.KindDraining, ferryoutcome.NotRun, "This entry stops before the stream would end.").After(afterStale)
}
