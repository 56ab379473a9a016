package ferrydrain

import (
	"context"
	"os"
	"time"

	"github.com/jonboulle/clockwork"
)

const stopInterval = 50 * time.Millisecond

// Hooks are the functions by which a Stopper controls its entry. All are required except
// tasks; a nil task is skipped.
type Hooks struct {
	// Open must count work before it is decided whether to refuse it, so that no work is missed.
	Open          func() Open
	LeaveSteering func()
	RefuseNew     func()
	ReportOpen    func(Open)
	Tasks         map[Task]func(context.Context) error
}

// Stopper executes a planned stop.
type Stopper struct {
	Clock clockwork.Clock
	Stop  *Stop
	Hooks Hooks
}

// Run waits for the first signal, then stops the entry and returns what was left. It returns
// early if the context ends.
func (s *Stopper) Run(ctx context.Context, signals <-chan os.Signal) (Left, error) {
	tick := s.Clock.NewTicker(stopInterval)
	defer tick.Stop()
	for {
		var acts []StopAction
		select {
		case <-ctx.Done():
			return Left{}, ctx.Err()
		case <-signals:
			acts = s.Stop.Signal(s.Clock.Now(), s.Hooks.Open())
		case <-tick.Chan():
			acts = s.Stop.Next(s.Clock.Now(), s.Hooks.Open())
		}
		for _, a := range acts {
			if e, ok := a.(Exit); ok {
				return e.Left, nil
			}
			s.do(ctx, a)
		}
	}
}

func (s *Stopper) do(ctx context.Context, a StopAction) {
	switch a := a.(type) {
	case LeaveSteering:
		s.Hooks.LeaveSteering()
	case RefuseNew:
		s.Hooks.RefuseNew()
	case ReportOpen:
		s.Hooks.ReportOpen(a.Open)
	case RunTask:
		s.Stop.Done(s.Clock.Now(), s.run(ctx, a))
	}
}

func (s *Stopper) run(ctx context.Context, a RunTask) error {
	fn := s.Hooks.Tasks[a.Task]
	if fn == nil {
		return nil
	}
	ctx, cancel := clockwork.WithTimeout(ctx, s.Clock, a.Timeout)
	defer cancel()
	return fn(ctx)
}
