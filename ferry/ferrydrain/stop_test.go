package ferrydrain

import (
	"context"
	"errors"
	"fmt"
	"os"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/jonboulle/clockwork"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"
	"pgregory.net/rapid"
)

var errDown = errors.New("platform away")

// simulate runs a stop in steps of one second and returns a log of its actions.
func simulate(cfg StopConfig, open func(second int) Open, fails func(Task) bool, signals ...int) string {
	var out strings.Builder
	now := time.Unix(1_800_000_000, 0)
	s := NewStop(cfg)
	for second := range 3600 {
		var acts []StopAction
		for _, at := range signals {
			if at == second {
				acts = append(acts, s.Signal(now, open(second))...)
			}
		}
		acts = append(acts, s.Next(now, open(second))...)
		for _, a := range acts {
			fmt.Fprintf(&out, "%4d s %-8s %T %v\n", second, s.Stage(), a, a)
			if t, ok := a.(RunTask); ok {
				var err error
				if fails(t.Task) {
					err = errDown
				}
				s.Done(now, err)
			}
			if _, ok := a.(Exit); ok {
				return out.String()
			}
		}
		now = now.Add(time.Second)
	}
	return out.String() + "still running\n"
}

func TestPlannedStops(t *testing.T) {
	never := func(Task) bool { return false }
	straggler := func(second int) Open {
		if second < 900 {
			return Open{Streams: 1}
		}
		return Open{}
	}
	var out strings.Builder
	for _, tc := range []struct {
		name    string
		cfg     StopConfig
		open    func(int) Open
		fails   func(Task) bool
		signals []int
	}{
		{"nothing open", StopConfig{Grace: 15 * time.Second}, func(int) Open { return Open{} }, never, []int{1}},
		{"a straggler of 15 minutes, second signal", StopConfig{Grace: 15 * time.Second}, straggler, never, []int{1, 60}},
		{"platform away", StopConfig{Grace: 15 * time.Second}, func(int) Open { return Open{} }, func(t Task) bool { return t != TaskHandOver }, []int{1}},
		{"operator's limit", StopConfig{Grace: 15 * time.Second, Limit: time.Minute}, straggler, never, []int{1}},
	} {
		fmt.Fprintf(&out, "%s\n%s\n", tc.name, simulate(tc.cfg, tc.open, tc.fails, tc.signals...))
	}
	golden.Assert(t, out.String(), "stops.golden")
}

func TestStopWaitsForOpenWorkAndEnds(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		s := NewStop(StopConfig{Grace: time.Duration(rapid.IntRange(0, 20).Draw(rt, "grace")) * time.Second})
		now := time.Unix(1_800_000_000, 0)
		open, refusing, exited := Open{}, false, false
		execute := func(acts []StopAction) {
			for _, a := range acts {
				switch a.(type) {
				case RefuseNew:
					// A call may arrive between the count and the refusal.
					open.Streams += rapid.IntRange(0, 1).Draw(rt, "late arrival")
					refusing = true
				case RunTask:
					if !refusing || open != (Open{}) {
						rt.Fatalf("task run before draining ended, with %+v open", open)
					}
				case Exit:
					exited = true
				}
			}
		}
		rt.Repeat(map[string]func(*rapid.T){
			"arrive": func(*rapid.T) {
				if !refusing {
					open.Streams++
				}
			},
			"finish": func(*rapid.T) { open.Streams = max(0, open.Streams-1) },
			"signal": func(*rapid.T) { execute(s.Signal(now, open)) },
			"next":   func(*rapid.T) { execute(s.Next(now, open)) },
			"fail": func(*rapid.T) {
				if s.running {
					s.Done(now, errDown)
				}
			},
			"time": func(*rapid.T) { now = now.Add(time.Second) },
		})
		s.Signal(now, open)
		for range 100 {
			now = now.Add(time.Second)
			open = Open{}
			execute(s.Next(now, open))
			if s.running {
				s.Done(now, errDown)
			}
		}
		assert.Assert(rt, exited)
	})
}

func TestStopperWithUnresponsivePlatform(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var steps atomic.Int32
		hang := func(ctx context.Context) error {
			<-ctx.Done()
			return ctx.Err()
		}
		st := &Stopper{Clock: clockwork.NewRealClock(), Stop: NewStop(StopConfig{}), Hooks: Hooks{
			Open: func() Open { return Open{} }, LeaveSteering: func() { steps.Add(1) }, RefuseNew: func() { steps.Add(1) },
			ReportOpen: func(Open) {}, Tasks: map[Task]func(context.Context) error{TaskFlush: hang},
		}}
		signals := make(chan os.Signal, 1)
		signals <- syscall.SIGTERM
		ctx, cancel := context.WithTimeout(t.Context(), 1000*time.Second)
		defer cancel()
		left, err := st.Run(ctx, signals)
		assert.NilError(t, err, "the stop did not end within 1000 s")
		assert.Equal(t, steps.Load(), int32(2))
		assert.Equal(t, left.String(), "calls 0, streams 0, Flush: context deadline exceeded")
	})
}
