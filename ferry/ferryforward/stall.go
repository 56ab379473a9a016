package ferryforward

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"

	"cactusferry.dev/ferry/ferryid"
	"cactusferry.dev/ferry/ferrypath"
)

const (
	// firstEventSuspect and eventGapSuspect are the silence, before the first event and between events, after
	// which the engines of a run are probed.
	firstEventSuspect = 250 * time.Millisecond
	eventGapSuspect   = 60 * time.Millisecond
	// recheckInterval is the interval between probes while a run stays silent. It grows to recheckShare of the
	// silence, since engines that have just answered are probably alive.
	recheckInterval = 100 * time.Millisecond
	recheckShare    = 0.5
	// slowRerouteGap is the silence after which a run is moved off slow engines, and slowRerouteInterval the
	// interval between two such moves.
	slowRerouteGap      = 120 * time.Millisecond
	slowRerouteInterval = time.Second
	// firstEventShare and eventGapShare are the parts of the caller's patience after which a silent run gets a
	// replacement, before the first event and between events. The rest is for the replacement to start.
	firstEventShare = 0.55
	eventGapShare   = 0.5
	// livenessTTL is how long an event counts as proof that the engines of its path are alive.
	livenessTTL = 40 * time.Millisecond
	// hostOverloadFactor multiplies the suspect limits while this machine is overloaded.
	hostOverloadFactor = 4
	// suspectGapFactor is the multiple of a run's mean gap between events from which its silence is suspect.
	suspectGapFactor = 4
)

// errFirstEngineDead ends a run whose first engine, which holds the connection, is unreachable, or is the reason for
// its replacement.
var errFirstEngineDead = errors.New("run ended: first engine of the path does not answer")

// errRestartElsewhere ends a run that is better replaced by a new run in another failure domain.
var errRestartElsewhere = errors.New("run ended: failure domain no longer holds all layers")

// watchdog supervises one run. When events stop it replaces the run; over a path of engines it first probes the
// engines and reroutes the run around those that are unreachable or slow.
type watchdog struct {
	*callerStream
	ctx  context.Context
	dest destination
	// run is nil at a single upstream.
	run    *ferrypath.Run
	cancel context.CancelCauseFunc
	began  time.Time
	timer  clockwork.Timer
	// attempt is set for a replacement that has not been accepted yet, which is ended instead of being replaced.
	attempt bool
	// mayReplace is set if the request may be run once more elsewhere.
	mayReplace bool

	// last is the time of the last event or move as an offset from began, and meanGap the moving average of the time
	// between events, both in nanoseconds; started is set by the first event.
	last    atomic.Int64
	meanGap atomic.Int64
	started atomic.Bool
	// movePlanned is set while a move off draining engines is planned.
	movePlanned atomic.Bool

	mu      sync.Mutex
	stopped bool
	// lastSlowReroute is the time of the last move off slow engines. Only check uses it, and its calls never
	// overlap.
	lastSlowReroute time.Time
	// orders are the run's reroute orders.
	orders rerouteOrders
	// seenVersion is the version of the engines at the last drain check; only the forwarding goroutine uses it.
	seenVersion int64
}

// watch makes a run the present one and starts its watchdog. The context is that of the request; cancel ends
// the run.
func (s *callerStream) watch(ctx context.Context, dest destination, cancel context.CancelCauseFunc) *watchdog {
	s.beginRun(cancel)
	return s.supervise(ctx, dest, cancel, false)
}

// supervise starts the watchdog of a run, or of an attempt to replace one.
func (s *callerStream) supervise(ctx context.Context, dest destination, cancel context.CancelCauseFunc, attempt bool) *watchdog {
	d := &watchdog{callerStream: s, ctx: ctx, dest: dest, cancel: cancel, began: s.cfg.Clock.Now(), attempt: attempt, mayReplace: !attempt && s.mayRestart()}
	if c, ok := dest.(enginePath); ok {
		d.run, d.seenVersion = c.run, c.run.Chooser().Version()
	}
	suspect, _ := d.limits()
	d.mu.Lock()
	defer d.mu.Unlock()
	d.timer = s.cfg.Clock.AfterFunc(suspect, d.check)
	return d
}

// mayRestart reports whether the run that starts now may be replaced by another while its first engine is
// alive.
func (s *callerStream) mayRestart() bool {
	return s.r.repeatable() && s.r.ran+1 < max(1, s.r.route.MaxAttempts)
}

// gapWeight is the inverse weight of the newest gap in the moving average.
const gapWeight = 8

// recordProgress records that events arrived.
func (d *watchdog) recordProgress() {
	at := d.cfg.Clock.Now()
	if d.run != nil {
		d.run.Progress(at)
	}
	now := int64(at.Sub(d.began))
	if d.started.Swap(true) {
		pause := now - d.last.Load()
		d.meanGap.Add((pause - d.meanGap.Load()) / gapWeight)
	}
	d.last.Store(now)
	suspect, _ := d.limits()
	d.arm(suspect)
	if d.run == nil {
		return
	}
	if v := d.run.Chooser().Version(); v != d.seenVersion {
		d.seenVersion = v
		d.planDrainMove()
	}
}

// arm schedules the next check.
func (d *watchdog) arm(after time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.stopped {
		d.timer.Reset(after)
	}
}

// stop ends the supervision; a check in progress runs to its end.
func (d *watchdog) stop() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.stopped = true
	d.timer.Stop()
}

func (d *watchdog) hasStopped() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.stopped
}

// limits returns the silence after which the run is suspect and the idle timeout after which it is replaced.
func (d *watchdog) limits() (suspect, timeout time.Duration) {
	patience := d.patience()
	if d.run == nil {
		return shareOf(patience, firstEventShare), shareOf(patience, firstEventShare)
	}
	first, next := firstEventSuspect, eventGapSuspect
	if d.prober.hostOverloaded() {
		first, next = hostOverloadFactor*first, hostOverloadFactor*next
	}
	if !d.started.Load() {
		return first, shareOf(patience, firstEventShare)
	}
	return max(next, suspectGapFactor*time.Duration(d.meanGap.Load())), shareOf(patience, eventGapShare)
}

// check runs when the timer fires. A panic ends the run.
func (d *watchdog) check() {
	if err := d.guard.Run("watchdog", string(d.r.ID), d.checkProgress); err != nil {
		d.cancel(err)
	}
}

// checkProgress replaces a run that exceeded its idle timeout and probes one that is suspect.
func (d *watchdog) checkProgress() {
	silent := d.cfg.Clock.Since(d.began) - time.Duration(d.last.Load())
	suspect, timeout := d.limits()
	next := max(recheckInterval, shareOf(silent, recheckShare))
	if silent < timeout {
		next = min(next, timeout-silent)
	}
	switch {
	case silent < suspect:
		next = suspect - silent
	case silent >= timeout && d.attempt && d.presentGoesOn():
		d.cancel(errStalled)
	case silent >= timeout && d.canReplace() && !d.isReplacing():
		if d.run == nil {
			d.inspectSingle()
		}
		if d.run == nil || !d.inspect(silent) {
			d.interruptTrial()
			d.replaceRun(errStalled)
		}
	case d.run != nil:
		d.inspect(silent)
	}
	d.arm(next)
}

// replaceRun starts a replacement of the run.
func (d *watchdog) replaceRun(reason error) { d.replace(d.ctx, d.dest, reason) }

// inspect probes the engines of the path and reroutes the run around dead or slow ones. It reports whether some are dead.
func (d *watchdog) inspect(silent time.Duration) bool {
	hops := d.run.Path().Hops()
	dead := d.prober.deadHops(hops, d.run.WithoutProgress(d.cfg.Clock.Now().Add(-livenessTTL)), time.Time{})
	if len(dead) == 0 {
		if slow := d.run.Slow(); len(slow) > 0 && silent >= slowRerouteGap && d.cfg.Clock.Since(d.lastSlowReroute) >= slowRerouteInterval {
			d.lastSlowReroute = d.cfg.Clock.Now()
			d.log.Info().Str("Request", string(d.r.ID)).Dur("Silent", silent).Strs("Slow", names(slow)).Msg("engines slower than expected: rerouting the run")
			d.reroute(slow, false)
		}
		return false
	}
	deadNames := d.markDead(d.run, hops, dead)
	d.log.Warn().Str("Request", string(d.r.ID)).Dur("Silent", silent).Strs("Dead", names(deadNames)).Msg("engines failed the liveness probe")
	if d.mayCrashMore() {
		d.cancel(errNotMoved)
		return true
	}
	if dead[0] == 0 {
		d.leaveFirstEngine(silent)
		return true
	}
	if !d.reroute(deadNames, true) && d.canReplace() {
		d.replaceRun(errStalled)
	}
	return true
}

// inspectSingle probes the upstream of a run at a single one, which records its loss if it is dead.
func (d *watchdog) inspectSingle() {
	if u := d.dest.first(); d.prober.deadBeside(u.Address, d.others(u), time.Time{}) {
		d.recordLoss(u, d.cfg.Clock.Since(d.began))
	}
}

// leaveFirstEngine starts a replacement of a run whose first engine does not answer. The engine may be alive and
// continue, so the run goes on until the replacement is accepted; a run that has forwarded nothing ends in time for
// its caller to get an answer.
func (d *watchdog) leaveFirstEngine(silent time.Duration) {
	switch {
	case d.attempt:
		d.cancel(errFirstEngineDead)
	case !d.hasStarted() && silent >= shareOf(d.patience(), resumeShare):
		d.cancel(errFirstEngineDead)
	case d.r.repeatable() && d.r.service.budget.Remaining() > 0:
		d.replaceRun(errFirstEngineDead)
	}
}

// canReplace reports whether another run can replace this one now. The last permitted run is never replaced;
// the caller decides how long to wait for it.
func (d *watchdog) canReplace() bool {
	return d.mayReplace && d.r.service.budget.Remaining() > 0
}

func names(list []ferryid.UpstreamName) []string {
	out := make([]string, len(list))
	for i, n := range list {
		out[i] = string(n)
	}
	return out
}
