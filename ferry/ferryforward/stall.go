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
	suspectNext  = 70 * time.Millisecond
	// lookAgain is the pause between two looks at a run that stays silent.
	lookAgain = 200 * time.Millisecond
	// giveUpFirst and giveUpNext are how long a run may be silent while all its engines answer: callers leave after 2 s.
	giveUpFirst = 1300 * time.Millisecond
	giveUpNext  = 1200 * time.Millisecond
	// rerouteTime bounds one order to move a run.
	rerouteTime = 300 * time.Millisecond
	// usualGaps is how many usual pauses of a run its silence must exceed to be suspect.
	usualGaps = 4
)

// errDead says that the engine that holds the connection does not answer any more.
var errDead = errors.New("the first engine of the path does not answer")

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

	// last is when the run last made progress, since began; gap is its usual pause; events says that its first event has come.
	last   atomic.Int64
	gap    atomic.Int64
	events atomic.Bool

	mu   sync.Mutex
	over bool
}

func (s *streaming) watch(run *ferrypath.Run, cancel context.CancelCauseFunc) *watchdog {
	d := &watchdog{streaming: s, run: run, cancel: cancel, began: s.cfg.Clock.Now()}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.timer = s.cfg.Clock.AfterFunc(suspectFirst, d.look)
	return d
}

// gapWeight is the weight of the newest pause in the usual one.
const gapWeight = 8

// progress notes that events came.
func (d *watchdog) progress() {
	if d == nil {
		return
	}
	now := int64(d.cfg.Clock.Since(d.began))
	if d.events.Swap(true) {
		pause := now - d.last.Load()
		d.gap.Add((pause - d.gap.Load()) / gapWeight)
	}
	d.last.Store(now)
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
	if !d.events.Load() {
		return suspectFirst, giveUpFirst
	}
	return max(suspectNext, usualGaps*time.Duration(d.gap.Load())), giveUpNext
}

// look runs when the timer fires.
func (d *watchdog) look() {
	silent := d.cfg.Clock.Since(d.began) - time.Duration(d.last.Load())
	suspect, giveUp := d.limits()
	next := lookAgain
	switch {
	case silent < suspect:
		next = suspect - silent
	case silent >= giveUp:
		d.log.Warn().Str("Request", string(d.r.ID)).Dur("Silent", silent).Str("Path", pathOf(chain{d.run})).Msg("run given up")
		d.cancel(errStalled)
		return
	default:
		d.inspect(silent)
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.over {
		d.timer.Reset(next)
	}
}

// inspect finds the engines of the path that are gone and leads the run around them.
func (d *watchdog) inspect(silent time.Duration) {
	hops := d.run.Path().Hops()
	dead := d.prober.dead(hops)
	if len(dead) == 0 {
		return
	}
	var without []ferryid.UpstreamName
	for _, i := range dead {
		name := hops[i].Upstream.Name
		d.run.Chooser().Dead(name)
		without = append(without, ferryid.UpstreamName(name))
	}
	d.log.Warn().Str("Request", string(d.r.ID)).Dur("Silent", silent).Strs("Dead", names(without)).Int("Events", d.streaming.events).Msg("engines do not answer")
	if dead[0] == 0 {
		d.cancel(errDead)
		return
	}
	d.reroute(without)
}

// reroute moves the run to a path without the engines named.
func (d *watchdog) reroute(without []ferryid.UpstreamName) {
	to, err := d.run.Detour(without)
	if err == nil {
		ctx, cancel := context.WithTimeout(context.Background(), rerouteTime)
		defer cancel()
		err = d.cfg.Rerouter.Reroute(ctx, d.r.ID, to)
	}
	if err != nil {
		d.log.Warn().Str("Request", string(d.r.ID)).Err(err).Msg("run not moved")
		d.cancel(errStalled)
		return
	}
	d.run.Move(to)
	d.metrics.sentAgain(d.r.service.name, "Moved")
	d.log.Info().Str("Request", string(d.r.ID)).Str("Path", pathOf(chain{d.run})).Msg("run moved")
}

func names(list []ferryid.UpstreamName) []string {
	out := make([]string, len(list))
	for i, n := range list {
		out[i] = string(n)
	}
	return out
}
