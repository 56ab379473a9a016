package ferryforward

import (
	"math"
	"sync"
	"time"
)

const (
	// drainWaitShare is the part of the drain time for which a run stays on a draining engine, since many runs
	// end meanwhile and a replacement of the engine may come.
	drainWaitShare = 0.35
	// moveInterval is the interval between moves off draining engines in one failure domain, over all entries.
	// New engines read a moved run's tokens between the steps of the runs that they have.
	moveInterval = 20 * time.Millisecond
	// moveRetryDelay is the delay after a move that the engines refused. They do so while they are busy with the
	// run.
	moveRetryDelay = 250 * time.Millisecond
	// defaultDrainTime applies if the configuration sets none.
	defaultDrainTime = 2 * time.Second
	// durationWeight is the inverse weight of the newest stream in the mean duration.
	durationWeight = 16
)

// drainMoves spreads the moves of one service off draining engines over time.
type drainMoves struct {
	mu   sync.Mutex
	next time.Time
	// duration is the mean time between the first and the last event of a complete stream.
	duration time.Duration
}

// reserve returns when the next move may start. The entries of a failure domain share its moves evenly.
func (m *drainMoves) reserve(now time.Time, entries int) time.Time {
	m.mu.Lock()
	defer m.mu.Unlock()
	at := now
	if m.next.After(now) {
		at = m.next
	}
	m.next = at.Add(moveInterval * time.Duration(max(1, entries)))
	return at
}

// recordDuration adds a complete stream to the mean duration.
func (m *drainMoves) recordDuration(d time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.duration == 0 {
		m.duration = d
	}
	m.duration += (d - m.duration) / durationWeight
}

// remaining estimates how long a stream goes on that has run for the given time; before the first complete stream
// the estimate has no bound.
func (m *drainMoves) remaining(ran time.Duration) time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.duration == 0 {
		return math.MaxInt64
	}
	// Of the streams that last longer than the mean, little is known.
	return max(m.duration-ran, m.duration/4)
}

// drainMove is the planned move of one run off draining engines.
type drainMove struct {
	*watchdog
	// deadline is when the engines may end.
	deadline time.Time
}

// planDrainMove plans a move for a run whose path has draining engines, unless one is planned already.
func (d *watchdog) planDrainMove() {
	if len(d.run.Leaving()) == 0 || d.movePlanned.Swap(true) {
		return
	}
	m := &drainMove{watchdog: d, deadline: d.cfg.Clock.Now().Add(d.cfg.DrainTime)}
	m.after(shareOf(d.cfg.DrainTime, drainWaitShare))
}

// after reserves a time for the move, at the earliest after a delay.
func (m *drainMove) after(delay time.Duration) {
	now := m.cfg.Clock.Now()
	at := m.r.service.moves.reserve(now.Add(delay), m.r.service.domainEntries())
	m.cfg.Clock.AfterFunc(at.Sub(now), func() {
		_ = m.guard.Run("drain move", string(m.r.ID), m.try)
	})
}

// try moves the run if that is still needed, and plans another try if the engines refuse. After the deadline
// the watchdog notices when an engine ends.
func (m *drainMove) try() {
	leaving := m.run.Leaving()
	now := m.cfg.Clock.Now()
	if len(leaving) == 0 || m.hasStopped() || !now.Before(m.deadline) {
		m.movePlanned.Store(false)
		return
	}
	left := m.deadline.Sub(now)
	if m.started.Load() && m.r.service.moves.remaining(now.Sub(m.began)) < left {
		m.after(left / 2)
		return
	}
	if m.reroute(leaving, false) {
		m.movePlanned.Store(false)
		return
	}
	m.after(moveRetryDelay)
}
