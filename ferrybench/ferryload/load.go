package ferryload

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"cactusferry.dev/ferry/ferryid"
	"cactusferry.dev/ferrybench/ferryexperiment"
	"cactusferry.dev/ferrybench/ferryworkload"
)

// Config says where a load goes.
type Config struct {
	Entries []string
	Model   ferryid.ServiceName
	Plain   ferryid.ServiceName
	Keys    map[ferryid.CustomerName]string
	MaxOpen int
	Clock   clockwork.Clock
	Client  *http.Client
}

// Load is one load while it runs.
type Load struct {
	cfg     Config
	w       *ferryworkload.Workload
	start   time.Time
	mu      sync.Mutex
	result  *ferryexperiment.Result
	unsent  int
	unknown int
	entries *entries
}

// Summary is what a load gave; Unsent are the arrivals for which too many calls were open, Unknown the failures that may have run.
type Summary struct {
	Result  *ferryexperiment.Result `json:"Result"`
	Unsent  int                     `json:"Unsent"`
	Unknown int                     `json:"Unknown"`
}

// Run sends every arrival at its time, whatever became of those before, and returns when all have ended.
func Run(ctx context.Context, cfg Config, w *ferryworkload.Workload, arrivals []ferryworkload.Arrival) *Summary {
	l := &Load{cfg: cfg, w: w, start: cfg.Clock.Now(), entries: newEntries(cfg)}
	l.result = ferryexperiment.NewResult(w, ferryexperiment.Policy{Name: "live"})
	open := make(chan struct{}, max(1, cfg.MaxOpen))
	var wg sync.WaitGroup
	for i := range arrivals {
		a := &arrivals[i]
		if !l.waitUntil(ctx, a.At) {
			break
		}
		l.offer(a)
		select {
		case open <- struct{}{}:
		default:
			l.leaveOut(a)
			continue
		}
		wg.Go(func() {
			defer func() { <-open }()
			l.call(ctx, a)
		})
	}
	wg.Wait()
	l.result.Close()
	return &Summary{Result: l.result, Unsent: l.unsent, Unknown: l.unknown}
}

func (l *Load) now() time.Duration {
	return l.cfg.Clock.Since(l.start)
}

func (l *Load) waitUntil(ctx context.Context, at time.Duration) bool {
	d := at - l.now()
	if d <= 0 {
		return ctx.Err() == nil
	}
	select {
	case <-ctx.Done():
		return false
	case <-l.cfg.Clock.After(d):
		return true
	}
}

func (l *Load) offer(a *ferryworkload.Arrival) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.result.Offer(a)
}

func (l *Load) leaveOut(a *ferryworkload.Arrival) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.unsent++
	l.result.Record(&ferryexperiment.Sample{Arrival: a, Outcome: ferryexperiment.Failed})
}

// call tries a call until it has run, its caller has lost patience, or it can't be repeated.
func (l *Load) call(ctx context.Context, a *ferryworkload.Arrival) {
	x := &ferryexperiment.Sample{Arrival: a}
	for try := 0; ; try++ {
		x.Submitted = l.now()
		ans := l.send(ctx, x)
		x.End = l.now()
		if ans.ok {
			x.Outcome = inTime(x)
			break
		}
		if !ans.notRun {
			x.Outcome = ferryexperiment.Failed
			l.countUnknown(ans)
			break
		}
		l.refuse(x)
		if !l.comeBack(ctx, a, try, ans.retryAfter) {
			x.Outcome = ferryexperiment.Refused
			break
		}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.result.Record(x)
}

func inTime(x *ferryexperiment.Sample) ferryexperiment.Outcome {
	d := time.Duration(x.Arrival.Kind.Deadline)
	if d > 0 && x.End-x.Arrival.At > d {
		return ferryexperiment.Late
	}
	return ferryexperiment.InTime
}

func (l *Load) countUnknown(ans answer) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !ans.ran {
		l.unknown++
	}
}

func (l *Load) refuse(x *ferryexperiment.Sample) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.result.Refuse(x.Arrival, l.now()-x.Submitted)
}

// comeBack waits as long as the refusal asked for, and reports whether the caller still cares.
func (l *Load) comeBack(ctx context.Context, a *ferryworkload.Arrival, try int, after time.Duration) bool {
	if try >= l.w.Retry.Attempts || after <= 0 {
		return false
	}
	back := l.now() + after
	if back > a.At+time.Duration(l.w.Retry.Patience) {
		return false
	}
	return l.waitUntil(ctx, back)
}

func (l *Load) serve(x *ferryexperiment.Sample, tokens float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.result.Serve(l.now(), tokens)
	x.Serve(l.now(), tokens)
}
