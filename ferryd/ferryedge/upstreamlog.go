package ferryedge

import (
	"context"
	"slices"
	"sync"
	"time"

	"cactusferry.dev/ferry/ferrydiscovery"
)

const (
	// unloggedInterval and unloggedLines bound the rate of the lines written later to 50 a second, so that the states
	// of 1,600 upstreams are written within 32 s.
	unloggedInterval = 200 * time.Millisecond
	unloggedLines    = 10
	// maxUnlogged is the number of upstreams whose states are kept for later lines, 2.5 times the largest fleet.
	maxUnlogged = 4096
)

// unlogged holds the newest state of each upstream whose last change has no log line yet, so that the last line of
// each upstream tells its state in the end. The zero value is empty.
//
// The caller locks mu until the lines are written, so that an older state's line never follows a newer one's.
type unlogged struct {
	mu sync.Mutex
	// changes maps the names to the newest change, and order is the order in which they were added.
	changes map[string]*unloggedChange
	order   []string
	// left counts the changes that exceeded maxUnlogged since the last lines.
	left int
}

// unloggedChange is a change without a log line; done is set if it has got one meanwhile.
type unloggedChange struct {
	ferrydiscovery.Change
	at   time.Time
	done bool
}

// add replaces the unlogged change of an upstream, whose place in the order is kept.
func (l *unlogged) add(c ferrydiscovery.Change, now time.Time) {
	name := c.Upstream.Name
	if old := l.changes[name]; old != nil {
		*old = unloggedChange{Change: c, at: now}
		return
	}
	if len(l.order) >= maxUnlogged {
		l.left++
		return
	}
	if l.changes == nil {
		l.changes = map[string]*unloggedChange{}
	}
	l.changes[name] = &unloggedChange{Change: c, at: now}
	l.order = append(l.order, name)
}

// logged records that an upstream's newest state has got a line.
func (l *unlogged) logged(name string) {
	if c := l.changes[name]; c != nil {
		c.done = true
	}
}

// take removes and returns up to unloggedLines changes, and the number of changes that were left out.
func (l *unlogged) take() (list []*unloggedChange, left int) {
	n := 0
	for n < len(l.order) && len(list) < unloggedLines {
		c := l.changes[l.order[n]]
		delete(l.changes, l.order[n])
		n++
		if !c.done {
			list = append(list, c)
		}
	}
	l.order = slices.Delete(l.order, 0, n)
	left, l.left = l.left, 0
	return list, left
}

// writeUnlogged writes the lines of upstreams whose changes were left out before.
func (e *Edge) writeUnlogged(ctx context.Context) {
	for e.pause(ctx, unloggedInterval) {
		e.writeUnloggedOnce()
	}
}

func (e *Edge) writeUnloggedOnce() {
	e.unlogged.mu.Lock()
	defer e.unlogged.mu.Unlock()
	list, left := e.unlogged.take()
	for _, c := range list {
		ev := e.cfg.Log.Info().Dur("Late", e.cfg.Clock.Since(c.at))
		logChange(ev, c.Change)
	}
	if left > 0 {
		e.cfg.Log.Warn().Int("Upstreams", left).Msg("changes of upstreams left out: too many without a line")
	}
}

// logDifferences has the differences of two views logged later.
func (e *Edge) logDifferences(before, after *ferrydiscovery.View) {
	if before == after {
		return
	}
	now := e.cfg.Clock.Now()
	e.unlogged.mu.Lock()
	defer e.unlogged.mu.Unlock()
	for u := range after.All() {
		if old := before.Get(u.Name); old == nil || old.Instance != u.Instance {
			e.unlogged.add(ferrydiscovery.Change{Upstream: *u}, now)
		}
	}
	for u := range before.All() {
		if after.Get(u.Name) == nil {
			e.unlogged.add(ferrydiscovery.Change{Upstream: *u, Removed: true}, now)
		}
	}
}
