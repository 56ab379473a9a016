package ferryforward

import (
	"context"
	"errors"
	"slices"
	"strings"
	"sync"
	"time"

	"cactusferry.dev/ferry/ferryid"
	"cactusferry.dev/ferry/ferrypath"
)

const (
	// rerouteTimeout is the timeout of one reroute order.
	rerouteTimeout = 300 * time.Millisecond
	// maxDetours is the maximum number of paths tried in one reroute; if the answers name no engine it is 2, since the
	// engine left out next is a guess.
	maxDetours = 3
	// maxRefusedOrders is the number of refused orders after which a run is no longer moved off the same engines: where
	// that many have no room, each further order costs the engines time and hardly ever succeeds.
	maxRefusedOrders = 6
	// notRunningDelay is the delay after an order for a run that its first engine did not know. It may not have begun
	// yet, but has probably ended.
	notRunningDelay = 500 * time.Millisecond
)

// Rerouter moves a run in progress to another path that starts with the same engine.
type Rerouter interface {
	// Reroute sends one order. It returns a *BlockedError if an engine of the path refused the run, a *NotRunningError
	// if the first engine does not run it, and another error if the outcome is unknown.
	Reroute(ctx context.Context, id ferryid.RequestID, p *ferrypath.Path) error
}

// BlockedError reports the engine of a path that prevents a run from being moved to that path.
type BlockedError struct {
	// Address is empty if the answer named no engine.
	Address string
	Err     error
}

func (e *BlockedError) Error() string {
	if e.Address == "" {
		return "reroute blocked: " + e.Err.Error()
	}
	return "reroute blocked by engine at " + e.Address + ": " + e.Err.Error()
}

// Unwrap returns the error of the blocking engine.
func (e *BlockedError) Unwrap() error { return e.Err }

// NotRunningError reports that the first engine of a path does not run the request, since it has not begun or has ended.
type NotRunningError struct{ Err error }

func (e *NotRunningError) Error() string { return "request not running: " + e.Err.Error() }

// Unwrap returns the error of the first engine.
func (e *NotRunningError) Unwrap() error { return e.Err }

// rerouteResult is the result of a reroute order.
type rerouteResult string

// The results of reroute orders. The outcome of a failed one may be unknown.
const (
	rerouteMoved      rerouteResult = "Moved"
	rerouteBlocked    rerouteResult = "Blocked"
	rerouteUnnamed    rerouteResult = "BlockedUnnamed"
	rerouteNotRunning rerouteResult = "NotRunning"
	rerouteFailed     rerouteResult = "Failed"
)

// rerouteSkip is the reason for which no order was sent.
type rerouteSkip string

const (
	skipNoPath          rerouteSkip = "NoPath"
	skipFirstEngineDown rerouteSkip = "FirstEngineDown"
	skipNotRunning      rerouteSkip = "NotRunning"
	skipRefused         rerouteSkip = "RefusedTooOften"
)

// rerouteOrders are the reroute orders of one run. At most one is in progress.
type rerouteOrders struct {
	mu sync.Mutex
	// refused counts the refused and failed orders since the run was last moved, by the engines that it was to be moved off, and
	// engines are those of the present order.
	refused map[string]int
	engines []ferryid.UpstreamName
	// notRunningAt is when the first engine last did not know the run, and progressThen the watchdog's last then.
	notRunningAt time.Time
	progressThen int64
}

// key identifies the engines of the present order.
func (o *rerouteOrders) key() string { return strings.Join(names(o.engines), " ") }

// reroute moves the run to a path without the named engines and reports whether it succeeded. It may instead
// start a replacement in another failure domain, which counts as success.
func (d *watchdog) reroute(engines []ferryid.UpstreamName, engineLost bool) bool {
	o := &d.orders
	o.mu.Lock()
	defer o.mu.Unlock()
	o.engines = engines
	var blocked []ferryid.UpstreamName
	for range maxDetours {
		if d.hasStopped() || !d.run.Uses(engines) {
			return true
		}
		if why := d.mustNotOrder(); why != "" {
			d.metrics.rerouteSkipped(d.r.service.name, why)
			return false
		}
		m, err := d.run.PlanMove(engines, blocked)
		if err != nil {
			d.metrics.rerouteSkipped(d.r.service.name, skipNoPath)
			d.logNotRerouted(blocked, nil, err)
			return false
		}
		if engineLost && m.Path().Crossings() > d.run.Path().Crossings() && d.canReplace() {
			// A move would transfer all computed state between domains; a new run recomputes it faster.
			m.Cancelled()
			d.replaceRun(errRestartElsewhere)
			return true
		}
		result, blocking := d.order(m, blocked)
		if result == rerouteMoved {
			return true
		}
		if blocking == "" || (result == rerouteUnnamed && len(blocked) > 0) {
			return false
		}
		blocked = append(blocked, blocking)
	}
	return false
}

// mustNotOrder returns why an order would be refused or come too late, or an empty string.
func (d *watchdog) mustNotOrder() rerouteSkip {
	o := &d.orders
	switch {
	case d.run.Chooser().IsDown(d.run.Path().First().Name):
		return skipFirstEngineDown
	case !o.notRunningAt.IsZero() && d.last.Load() == o.progressThen && d.cfg.Clock.Since(o.notRunningAt) < notRunningDelay:
		return skipNotRunning
	case o.refused[o.key()] >= maxRefusedOrders:
		return skipRefused
	}
	return ""
}

// order sends the order for a planned move. If an engine of the new path but the first refused it, it returns its name.
func (d *watchdog) order(m *ferrypath.Move, blocked []ferryid.UpstreamName) (rerouteResult, ferryid.UpstreamName) {
	from, to := formatDestination(d.dest), m.Path()
	err := d.sendOrder(m)
	result, blocking := d.recordOrder(m, err)
	d.metrics.rerouteOrdered(d.r.service.name, result)
	if result == rerouteMoved {
		d.metrics.retried(d.r.service.name, "Moved")
		d.log.Info().Str("Request", string(d.r.ID)).Str("From", from).Str("Path", formatPath(to)).Msg("run rerouted")
	} else {
		d.logNotRerouted(blocked, to, err)
	}
	return result, blocking
}

// recordOrder ends a planned move according to the answer to its order.
func (d *watchdog) recordOrder(m *ferrypath.Move, err error) (rerouteResult, ferryid.UpstreamName) {
	o := &d.orders
	if err == nil {
		m.Done()
		clear(o.refused)
		// The new engines first compute the run's state again.
		d.last.Store(int64(d.cfg.Clock.Since(d.began)))
		return rerouteMoved, ""
	}
	var notRunning *NotRunningError
	if errors.As(err, &notRunning) {
		m.Cancelled()
		// It tells nothing about the room of engines, so it doesn't count as refused.
		o.notRunningAt, o.progressThen = d.cfg.Clock.Now(), d.last.Load()
		return rerouteNotRunning, ""
	}
	if o.refused == nil {
		o.refused = map[string]int{}
	}
	o.refused[o.key()]++
	var blocked *BlockedError
	if errors.As(err, &blocked) {
		result := rerouteBlocked
		if m.Path().At(blocked.Address) < 0 {
			result = rerouteUnnamed
		}
		return result, m.Refused(blocked.Address)
	}
	m.Cancelled()
	return rerouteFailed, ""
}

// sendOrder sends the order for a planned move, which it cancels if the rerouter panics.
func (d *watchdog) sendOrder(m *ferrypath.Move) error {
	ctx, cancel := context.WithTimeout(context.Background(), rerouteTimeout)
	defer cancel()
	returned := false
	defer func() {
		if !returned {
			m.Cancelled()
		}
	}()
	err := d.cfg.Rerouter.Reroute(ctx, d.r.ID, m.Path())
	returned = true
	return err
}

func (d *watchdog) logNotRerouted(blocked []ferryid.UpstreamName, to *ferrypath.Path, err error) {
	without := names(slices.Concat(d.orders.engines, blocked))
	d.log.Warn().Str("Request", string(d.r.ID)).Strs("Without", without).Str("Path", formatDestination(d.dest)).Str("To", formatPath(to)).Err(err).Msg("could not reroute the run")
}
