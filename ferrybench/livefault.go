package main

import (
	"context"
	"fmt"
	"maps"
	"os"
	"sync"
	"syscall"
	"time"

	"cactusferry.dev/ferry/ferryid"
	"cactusferry.dev/ferry/ferryplatform"
	"cactusferry.dev/ferry/ferryroute"
	"cactusferry.dev/ferrybench/ferryworkload"
	"cactusferry.dev/ferrystand/ferrydemo"
	"cactusferry.dev/ferrystand/ferrystandengine"
)

// statusInterval is the interval and timeout of status requests to the entries.
const statusInterval = 500 * time.Millisecond

// liveFleet is a fleet of processes into which the faults of a workload are injected. Runners of the workload
// correspond to engines.
type liveFleet struct {
	*ferrydemo.Fleet
	workload    *ferryworkload.Workload
	policy      livePolicy
	tenants     []ferrydemo.CustomerConfig
	mu          sync.Mutex
	slowFoundAt map[string]time.Duration
}

// capacity returns the capacity of the engines in tokens/s at a time, computed from their configured rates
// and the faults so far. Engines with even and odd indexes hold the two halves of the layers, and the slower
// half limits the capacity.
func (l *liveFleet) capacity(at time.Duration) float64 {
	rates := make([]float64, len(l.Engines))
	for i, e := range l.Engines {
		rates[i] = float64(e.TokensPerSecond)
	}
	for _, f := range l.workload.Faults {
		if time.Duration(f.At) > at {
			continue
		}
		for i := f.First; i < f.First+f.Count && i < len(rates); i++ {
			switch f.Kind {
			case ferryworkload.FaultKill, ferryworkload.FaultFreeze:
				rates[i] = 0
			case ferryworkload.FaultSlow:
				rates[i] = f.Factor * float64(l.Engines[i].TokensPerSecond)
			case ferryworkload.FaultHeal:
				rates[i] = float64(l.Engines[i].TokensPerSecond)
			}
		}
	}
	var halves [2]float64
	for i, r := range rates {
		halves[i%2] += r
	}
	return min(halves[0], halves[1])
}

// injectFaults injects the faults of the workload at their times.
func (l *liveFleet) injectFaults(ctx context.Context) {
	start := time.Now()
	for _, f := range l.workload.Faults {
		select {
		case <-ctx.Done():
			return
		case <-time.After(time.Duration(f.At) - time.Since(start)):
		}
		for i := f.First; i < f.First+f.Count; i++ {
			if err := l.inject(ctx, f, i); err != nil {
				fmt.Fprintf(os.Stderr, "inject fault %s into instance %d: %v\n", f.Kind, i, err)
			}
		}
	}
}

func (l *liveFleet) inject(ctx context.Context, f ferryworkload.Fault, i int) error {
	switch f.Kind {
	case ferryworkload.FaultKill:
		l.Engines[i].Process.Kill()
		return nil
	case ferryworkload.FaultFreeze:
		return l.Engines[i].Process.Signal(syscall.SIGSTOP)
	case ferryworkload.FaultSlow:
		rate := f.Factor * float64(l.Engines[i].TokensPerSecond)
		return l.setFaults(ctx, l.Engines[i], ferrystandengine.Faults{TokensPerSecond: ferryid.TokensPerSecond(rate)})
	case ferryworkload.FaultHeal:
		return l.heal(ctx, l.Engines[i])
	case ferryworkload.FaultKillEntry:
		l.Entries[i].Process.Kill()
		return nil
	case ferryworkload.FaultDrainEntry:
		return l.drain(ctx, l.Entries[i])
	}
	return fmt.Errorf("unknown kind of fault")
}

// heal restarts a dead engine. It resumes a live one and clears its faults.
func (l *liveFleet) heal(ctx context.Context, e *ferrydemo.Engine) error {
	if err := e.Process.Signal(syscall.SIGCONT); err != nil {
		return l.StartEngine(ctx, e)
	}
	return l.setFaults(ctx, e, ferrystandengine.Faults{})
}

func (l *liveFleet) setFaults(ctx context.Context, e *ferrydemo.Engine, f ferrystandengine.Faults) error {
	return l.PutJSON(ctx, "http://"+e.Address+"/admin/faults", f)
}

// drain removes an entry as the platform does: it registers the entry as leaving and then sends SIGTERM.
func (l *liveFleet) drain(ctx context.Context, e *ferrydemo.Entry) error {
	if err := l.Register(ctx, e, ferryplatform.StateLeaving); err != nil {
		return err
	}
	return e.Process.Signal(syscall.SIGTERM)
}

// pollStatus polls the entries and records when one first reports an engine as slow.
func (l *liveFleet) pollStatus(ctx context.Context) {
	start := time.Now()
	t := time.NewTicker(statusInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
		for _, e := range l.Entries {
			l.recordSlow(ctx, e, start)
		}
	}
}

func (l *liveFleet) recordSlow(ctx context.Context, e *ferrydemo.Entry, start time.Time) {
	ctx, cancel := context.WithTimeout(ctx, statusInterval)
	defer cancel()
	st, err := l.Admin(e).Status(ctx)
	if err != nil {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, sv := range st.Services {
		for _, u := range sv.Upstreams {
			if _, ok := l.slowFoundAt[string(u.Name)]; !ok && u.State == ferryroute.StateSlow {
				l.slowFoundAt[string(u.Name)] = time.Since(start)
			}
		}
	}
}

func (l *liveFleet) slowFound() map[string]time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return maps.Clone(l.slowFoundAt)
}
