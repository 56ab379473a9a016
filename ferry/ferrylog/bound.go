package ferrylog

import (
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"
)

// window is the time in which lines are counted.
const window = time.Second

// Config sets up a bounded logger.
type Config struct {
	// Log writes the lines that are kept.
	Log zerolog.Logger
	// Clock must not follow jumps of the time of day, which would open or shut the bound.
	Clock clockwork.Clock
	// PerSecond is the most lines in a second.
	PerSecond int
	// Scope counts the lines that are left out.
	Scope tally.Scope
}

// New returns a logger that writes a bounded number of lines a second, and one more that says how many it left out.
func New(cfg Config) zerolog.Logger {
	return cfg.Log.Sample(&bound{cfg: cfg, began: cfg.Clock.Now(), leftOut: cfg.Scope.Counter("log_lines_left_out")})
}

// bound implements zerolog.Sampler.
type bound struct {
	cfg     Config
	leftOut tally.Counter

	mu     sync.Mutex
	began  time.Time
	lines  int
	missed int
}

// Sample reports whether a line is written.
func (b *bound) Sample(zerolog.Level) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if now := b.cfg.Clock.Now(); now.Sub(b.began) >= window {
		b.next(now)
	}
	b.lines++
	if b.lines <= b.cfg.PerSecond {
		return true
	}
	b.missed++
	b.leftOut.Inc(1)
	return false
}

// next begins a window; the caller holds the lock.
func (b *bound) next(now time.Time) {
	if b.missed > 0 {
		b.cfg.Log.Warn().Int("Lines", b.missed).Int("PerSecond", b.cfg.PerSecond).Msg("log lines left out")
	}
	b.began, b.lines, b.missed = now, 0, 0
}
