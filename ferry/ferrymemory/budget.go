package ferrymemory

import (
	"fmt"
	"sync/atomic"

	"github.com/jonboulle/clockwork"
	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"
	"golang.org/x/sync/semaphore"

	"cactusferry.dev/ferry/ferrylog"
)

// Bytes is an amount of memory.
type Bytes int64

const (
	// FreeBytes is what each buffer may hold without the budget, so that usual messages always pass.
	FreeBytes Bytes = 4 << 10
	// defaultSize is the size of a budget of which the configuration says nothing.
	defaultSize Bytes = 32 << 20
	// deniedLinesPerSecond limits the log lines on an exhausted budget.
	deniedLinesPerSecond = 1
)

// Config configures a Budget; all fields are optional.
type Config struct {
	// Name says in logs and metrics what the budget is for.
	Name string
	// Size is the sum of what all holds may take, 32 MiB by default.
	Size  Bytes
	Log   zerolog.Logger
	Clock clockwork.Clock
	Scope tally.Scope
}

// Budget bounds the sum of what its holds take; it is safe for concurrent use.
type Budget struct {
	cfg    Config
	free   *semaphore.Weighted
	taken  atomic.Int64
	denied tally.Counter
	log    zerolog.Logger
}

// New returns a Budget of which nothing is taken.
func New(cfg Config) *Budget {
	if cfg.Size <= 0 {
		cfg.Size = defaultSize
	}
	if cfg.Clock == nil {
		cfg.Clock = clockwork.NewRealClock()
	}
	if cfg.Scope == nil {
		cfg.Scope = tally.NoopScope
	}
	return &Budget{
		cfg: cfg, free: semaphore.NewWeighted(int64(cfg.Size)),
		denied: cfg.Scope.Tagged(map[string]string{"budget": cfg.Name}).Counter("memory_denied"),
		log:    ferrylog.New(ferrylog.Config{Log: cfg.Log, Clock: cfg.Clock, PerSecond: deniedLinesPerSecond, Scope: cfg.Scope}),
	}
}

// Taken returns the sum of what the holds have taken.
func (b *Budget) Taken() Bytes { return Bytes(b.taken.Load()) }

// Hold returns a Hold that has taken nothing; that of a nil Budget is nil.
func (b *Budget) Hold() *Hold {
	if b == nil {
		return nil
	}
	return &Hold{budget: b}
}

// Hold is what one message has taken of a budget; it is safe for concurrent use, and a nil Hold has no bound.
type Hold struct {
	budget *Budget
	taken  atomic.Int64
}

// Take takes bytes, or reports false if the budget has fewer.
func (h *Hold) Take(n Bytes) bool {
	switch {
	case h == nil || n <= 0:
	case !h.budget.free.TryAcquire(int64(n)):
		h.budget.denied.Inc(1)
		h.budget.log.Warn().Str("Budget", h.budget.cfg.Name).Int64("Bytes", int64(n)).Int64("Taken", int64(h.budget.Taken())).
			Int64("Size", int64(h.budget.cfg.Size)).Msg("memory budget exhausted; a message is not buffered further")
		return false
	default:
		h.taken.Add(int64(n))
		h.budget.taken.Add(int64(n))
	}
	return true
}

// Release gives everything back that the hold has taken.
func (h *Hold) Release() {
	if h == nil {
		return
	}
	n := h.taken.Swap(0)
	h.budget.taken.Add(-n)
	h.budget.free.Release(n)
}

// ExhaustedError reports that a message needs more memory than the budget has left.
type ExhaustedError struct {
	// Part is the part of the message that was being read.
	Part string
}

func (e *ExhaustedError) Error() string { return fmt.Sprintf("no memory left for the %s", e.Part) }
