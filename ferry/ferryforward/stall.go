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
	// suspectFirst and suspectNext are how long a run may be silent, before its first event and between two, until its engines are looked at.
	suspectFirst = 250 * time.Millisecond
	suspectNext  = 60 * time.Millisecond
	// lookAgain is the pause between two looks at a run that stays silent.
	lookAgain = 100 * time.Millisecond
	// slowPause is the pause of a run from which it is moved off engines that are slow, and slowAgain the time between two tries.
	slowPause = 120 * time.Millisecond
	slowAgain = time.Second
	// giveUpFirst and giveUpNext are how long a run may be silent while all its engines answer: callers leave after 2 s.
	giveUpFirst = 1300 * time.Millisecond
	giveUpNext  = 1200 * time.Millisecond
	// workingAge is how long an event shows that the engines of its path work.
	workingAge = 40 * time.Millisecond
	// rerouteTime bounds one order to move a run.
	rerouteTime = 300 * time.Millisecond
	// leaveAfter is how long a run stays on an engine that leaves: most are done by then, and the engine serves at least twice as long.
	leaveAfter = time.Second
	// slowPatience is how many times longer a run may be silent while this machine is slow, before it is suspect.
	slowPatience = 4
	// usualGaps is how many usual pauses of a run its silence must exceed to be suspect.
	usualGaps = 4
)

// errDead says that the engine that holds the connection does not answer any more.
var errDead = errors.New("the first engine of the path does not answer")

// errElsewhere says that the stream goes on better by a new run in another failure domain.
var errElsewhere = errors.New("the failure domain lacks layers now")

// Rerouter moves a run that is under way to another path with the same first part.
type Rerouter interface {
	Reroute(ctx context.Context, id ferryid.RequestID, p *ferrypath.Path) error
}

// watchdog looks after one run over a path of engines: when events stay away it finds the engine that is gone and leads the run around it.
type watchdog struct {
	*streaming
	run    *ferrypath.Run
	cancel context.CancelCauseFunc
	began  time.Time
	timer  clockwork.Timer
	// mayRestart says that the request may be run once more elsewhere.
	mayRestart bool

	// last is when the run last made progress, since began; gap is its usual pause; events says that its first event has come.
	last   atomic.Int64
	gap    atomic.Int64
	events atomic.Bool

	mu   sync.Mutex
	over bool
	// slowTried is when the run was last to be moved off slow engines; it belongs to the looks, which follow one another.
	slowTried time.Time
	// seen is the version of the engines that the path was last compared with; it belongs to the goroutine that passes events on.
	seen int64
}

func (s *streaming) watch(run *ferrypath.Run, cancel context.CancelCauseFunc) *watchdog {
	d := &watchdog{streaming: s, run: run, cancel: cancel, began: s.cfg.Clock.Now(), seen: run.Chooser().Version(), mayRestart: s.mayRestart()}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.timer = s.cfg.Clock.AfterFunc(suspectFirst, d.look)
	return d
}

// mayRestart reports whether the run that begins now may be followed by another, though its first engine lives.
func (s *streaming) mayRestart() bool {
	return s.r.repeatable() && s.r.ran+1 < max(1, s.r.route.MaxAttempts)
}

// gapWeight is the weight of the newest pause in the usual one.
const gapWeight = 8

// progress notes that events came.
func (d *watchdog) progress() {
	if d == nil {
		return
	}
	at := d.cfg.Clock.Now()
	d.run.Progress(at)
	now := int64(at.Sub(d.began))
	if d.events.Swap(true) {
		pause := now - d.last.Load()
		d.gap.Add((pause - d.gap.Load()) / gapWeight)
	}
	d.last.Store(now)
	suspect, _ := d.limits()
	d.arm(suspect)
	if v := d.run.Chooser().Version(); v != d.seen {
		d.seen = v
		d.leave()
	}
}

// arm sets the time of the next look.
func (d *watchdog) arm(after time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.over {
		d.timer.Reset(after)
	}
}

// leave moves the run, if it still lasts a little later, off engines that leave.
func (d *watchdog) leave() {
	if len(d.run.Leaving()) == 0 {
		return
	}
	d.cfg.Clock.AfterFunc(leaveAfter, func() {
		d.mu.Lock()
		over := d.over
		d.mu.Unlock()
		if leaving := d.run.Leaving(); !over && len(leaving) > 0 {
			d.reroute(leaving, false)
		}
	})
}

// stop ends the watch; a look that is under way ends by itself.
func (d *watchdog) stop() {
	if d == nil {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.over = true
	d.timer.Stop()
}

// limits are how long the run may be silent until it is suspect, and until it is given up.
func (d *watchdog) limits() (suspect, giveUp time.Duration) {
	first, next := suspectFirst, suspectNext
	if d.prober.slow() {
		first, next = slowPatience*first, slowPatience*next
	}
	if !d.events.Load() {
		return first, giveUpFirst
	}
	return max(next, usualGaps*time.Duration(d.gap.Load())), giveUpNext
}

// look runs when the timer fires.
func (d *watchdog) look() {
	silent := d.cfg.Clock.Since(d.began) - time.Duration(d.last.Load())
	suspect, giveUp := d.limits()
	next := lookAgain
	switch {
	case silent < suspect:
		next = suspect - silent
	case silent >= giveUp && d.canRestart():
		d.log.Warn().Str("Request", string(d.r.ID)).Dur("Silent", silent).Str("Path", pathOf(chain{d.run})).Msg("run given up")
		d.cancel(errStalled)
		return
	default:
		d.inspect(silent)
	}
	d.arm(next)
}

// inspect finds the engines of the path that are gone, or much slower than they should be, and leads the run around them.
func (d *watchdog) inspect(silent time.Duration) {
	hops := d.run.Path().Hops()
	dead := d.prober.dead(hops, d.run.Quiet(d.cfg.Clock.Now().Add(-workingAge)))
	if len(dead) == 0 {
		if slow := d.run.Slow(); len(slow) > 0 && silent >= slowPause && d.cfg.Clock.Since(d.slowTried) >= slowAgain {
			d.slowTried = d.cfg.Clock.Now()
			d.log.Info().Str("Request", string(d.r.ID)).Dur("Silent", silent).Strs("Slow", names(slow)).Msg("engines are slow")
			d.reroute(slow, false)
		}
		return
	}
	var without []ferryid.UpstreamName
	for _, i := range dead {
		name := hops[i].Upstream.Name
		d.run.Chooser().Dead(name)
		without = append(without, ferryid.UpstreamName(name))
	}
	d.log.Warn().Str("Request", string(d.r.ID)).Dur("Silent", silent).Strs("Dead", names(without)).Msg("engines do not answer")
	if dead[0] == 0 {
		d.cancel(errDead)
		return
	}
	if !d.reroute(without, true) && d.canRestart() {
		d.cancel(errStalled)
	}
}

// canRestart reports whether another run can follow this one now. The last one is never given up for its silence: nothing better can come of
// that, and the caller decides how long to wait.
func (d *watchdog) canRestart() bool {
	return d.mayRestart && d.r.service.budget.Left() > 0
}

// BlockedError says that a run cannot be moved to a path because of one of its engines.
type BlockedError struct {
	Address string
	Err     error
}

func (e *BlockedError) Error() string {
	return "engine at " + e.Address + " is in the way: " + e.Err.Error()
}

// Unwrap returns the underlying error.
func (e *BlockedError) Unwrap() error { return e.Err }

// maxDetours is how many paths are tried for one run at a time.
const maxDetours = 3

// reroute moves the run to a path without the engines named and reports whether it did. A run that cannot go on as it is may also be
// given up for a new one elsewhere.
func (d *watchdog) reroute(without []ferryid.UpstreamName, lost bool) bool {
	for range maxDetours {
		to, err := d.run.Detour(without)
		if err == nil && lost && to.Crossings() > d.run.Path().Crossings() && d.canRestart() {
			// All that was read so far would have to pass between domains; it is read again faster where the new path begins.
			d.cancel(errElsewhere)
			return true
		}
		if err == nil {
			ctx, cancel := context.WithTimeout(context.Background(), rerouteTime)
			err = d.cfg.Rerouter.Reroute(ctx, d.r.ID, to)
			cancel()
		}
		if err == nil {
			d.run.Move(to)
			d.metrics.sentAgain(d.r.service.name, "Moved")
			d.log.Info().Str("Request", string(d.r.ID)).Str("Path", pathOf(chain{d.run})).Msg("run moved")
			return true
		}
		d.log.Warn().Str("Request", string(d.r.ID)).Err(err).Msg("run not moved")
		var blocked *BlockedError
		if !errors.As(err, &blocked) || to.At(blocked.Address) <= 0 {
			return false
		}
		without = append(without, ferryid.UpstreamName(to.Hops()[to.At(blocked.Address)].Upstream.Name))
	}
	return false
}

func names(list []ferryid.UpstreamName) []string {
	out := make([]string, len(list))
	for i, n := range list {
		out[i] = string(n)
	}
	return out
}
