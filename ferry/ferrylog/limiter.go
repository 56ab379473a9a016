package ferrylog

import (
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"
)

// window is the interval over which lines are counted.
const window = time.Second

// Config configures a rate-limited logger.
type Config struct {
	// Log is the logger for the lines within the limit.
	Log zerolog.Logger
	// Clock must ignore steps of the wall clock, which would lift the limit or block all lines.
	Clock clockwork.Clock
	// PerSecond is the maximum number of lines per second.
	PerSecond int
	// Scope is the metrics scope that counts dropped lines.
	Scope tally.Scope
	// Lifted reports whether all lines are written now; nil means never.
	Lifted func() bool
}

// New returns a logger that writes at most PerSecond lines per second, plus one with the number of lines
// dropped.
func New(cfg Config) zerolog.Logger {
	return cfg.Log.Sample(&limiter{cfg: cfg, windowStart: cfg.Clock.Now(), dropped: cfg.Scope.Counter("log_lines_left_out")})
}

// limiter implements zerolog.Sampler with a limit per window.
type limiter struct {
	cfg     Config
	dropped tally.Counter

	mu              sync.Mutex
	windowStart     time.Time
	lines           int
	droppedInWindow int
}

// Sample reports whether a line is written.
func (l *limiter) Sample(zerolog.Level) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if now := l.cfg.Clock.Now(); now.Sub(l.windowStart) >= window {
		l.startWindow(now)
	}
	l.lines++
	if l.lines <= l.cfg.PerSecond || l.cfg.Lifted != nil && l.cfg.Lifted() {
		return true
	}
	l.droppedInWindow++
	l.dropped.Inc(1)
	return false
}

// startWindow starts a new window and logs how many lines the last one dropped; the caller must
// hold the lock.
func (l *limiter) startWindow(now time.Time) {
	if l.droppedInWindow > 0 {
		l.cfg.Log.Warn().Int("Lines", l.droppedInWindow).Int("PerSecond", l.cfg.PerSecond).Msg("log lines left out")
	}
	l.windowStart, l.lines, l.droppedInWindow = now, 0, 0
}
