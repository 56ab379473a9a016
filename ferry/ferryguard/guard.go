package ferryguard

import (
	"context"
	"fmt"
	"runtime/debug"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"
)

const (
	// restartDelay is the pause before a duty starts again after a panic.
	restartDelay = 500 * time.Millisecond
	// maxPanics is the number of panics of one duty within panicWindow after which it is not started again.
	maxPanics   = 5
	panicWindow = time.Minute
	// maxStackBytes bounds the stack in a log line.
	maxStackBytes = 4 << 10
)

// PanicError is a panic that was confined to one part of the process.
type PanicError struct {
	// Part is the part that panicked, such as a request or a duty.
	Part  string
	Value any
	Stack []byte
}

func (e *PanicError) Error() string { return fmt.Sprintf("panic in %s: %v", e.Part, e.Value) }

// Config configures a Guard; all fields are optional.
type Config struct {
	Log   *zerolog.Logger
	Scope tally.Scope
	Clock clockwork.Clock
}

// Guard runs parts of a process so that the panic of one leaves the others running.
type Guard struct{ cfg Config }

// New returns a Guard.
func New(cfg Config) *Guard {
	if cfg.Log == nil {
		nop := zerolog.Nop()
		cfg.Log = &nop
	}
	if cfg.Scope == nil {
		cfg.Scope = tally.NoopScope
	}
	if cfg.Clock == nil {
		cfg.Clock = clockwork.NewRealClock()
	}
	return &Guard{cfg: cfg}
}

// Run calls f. A panic is logged with its stack, counted and returned as a *PanicError; id names what the part
// was working on and may be empty.
func (g *Guard) Run(part, id string, f func()) (err error) {
	defer func() {
		v := recover()
		if v == nil {
			return
		}
		e := &PanicError{Part: part, Value: v, Stack: debug.Stack()}
		err = e
		g.cfg.Scope.Tagged(map[string]string{"part": part}).Counter("panics").Inc(1)
		g.cfg.Log.Error().Str("Part", part).Str("ID", id).Str("Stack", string(e.Stack[:min(len(e.Stack), maxStackBytes)])).Msg(e.Error())
	}()
	f()
	return nil
}

// Go calls f like Run in a goroutine.
func (g *Guard) Go(part, id string, f func()) {
	go func() { _ = g.Run(part, id, f) }()
}

// Loop calls f and starts it again after each panic. It returns nil once f returns or the context ends, and the
// last *PanicError if the duty panics again and again, since it would then run on in an unknown state.
func (g *Guard) Loop(ctx context.Context, part string, f func(context.Context)) error {
	var panics []time.Time
	for {
		err := g.Run(part, "", func() { f(ctx) })
		if err == nil || ctx.Err() != nil {
			return nil
		}
		now := g.cfg.Clock.Now()
		panics = append(panics, now)
		for now.Sub(panics[0]) > panicWindow {
			panics = panics[1:]
		}
		if len(panics) >= maxPanics {
			return err
		}
		select {
		case <-ctx.Done():
			return nil
		case <-g.cfg.Clock.After(restartDelay):
		}
	}
}
