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
func (b *limiter) Sample(zerolog.Level) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if now := b.cfg.Clock.Now(); now.Sub(b.windowStart) >= window {
		b.startWindow(now)
	}
	b.lines++
	if b.lines <= b.cfg.PerSecond {
		return true
	}
	b.droppedInWindow++
	b.dropped.Inc(1)
	return false
}

// startWindow starts a new window and logs how many lines the last one dropped; the caller must hold the lock.
func (b *limiter) startWindow(now time.Time) {
	if b.droppedInWindow > 0 {
		b.cfg.Log.Warn().Int("Lines", b.droppedInWindow).Int("PerSecond", b.cfg.PerSecond).Msg("log lines left out")
	}
	b.windowStart, b.lines, b.droppedInWindow = now, 0, 0
}
