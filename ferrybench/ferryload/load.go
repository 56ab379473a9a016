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

// breakBackoff is the backoff after a broken stream, multiplied by the number of breaks of the call.
const breakBackoff = 100 * time.Millisecond

// Config configures a load. Each customer has Callers callers, or one if 0. They keep a steering answer for
// MinLifetime or its lifetime, whichever is longer. At most MaxOpen calls are open at a time.
type Config struct {
	Entries     []string
	Model       ferryid.ServiceName
	Plain       ferryid.ServiceName
	Keys        map[ferryid.CustomerName]string
	MaxOpen     int
	Callers     int
	MinLifetime time.Duration
	Clock       clockwork.Clock
	Client      *http.Client
}

// Load is the state of a running load.
type Load struct {
	cfg      Config
	workload *ferryworkload.Workload
	start    time.Time
	mu       sync.Mutex
	summary  Summary
	steering *steeringCache
}

// Summary holds the results of a load.
type Summary struct {
	Result *ferryexperiment.Result `json:"Result"`
	// Unsent is the number of arrivals not sent because MaxOpen calls were open. Unknown is the number of
	// failed calls that may have run.
	Unsent  int `json:"Unsent"`
	Unknown int `json:"Unknown"`
	// Resumed is the number of streams that were resumed after a break, RefusedResumes the number of refused
	// attempts to resume.
	Resumed        int `json:"Resumed"`
	RefusedResumes int `json:"RefusedResumes"`
	// Uneven is the number of streams that ended without an error but with a token count other than the
	// requested one.
	Uneven int `json:"Uneven"`
	// Failures counts failed calls by the last failure of each.
	Failures map[string]int `json:"Failures"`
	// Sent is the number of tries by entry and second.
	Sent map[string][]int `json:"Sent"`
}

// Run sends every arrival at its time without waiting for earlier calls, and returns when all calls have
// ended.
func Run(ctx context.Context, cfg Config, w *ferryworkload.Workload, arrivals []ferryworkload.Arrival) *Summary {
	l := &Load{cfg: cfg, workload: w, start: cfg.Clock.Now(), steering: newSteeringCache(cfg)}
	l.summary = Summary{
		Result:   ferryexperiment.NewResult(w, ferryexperiment.Policy{Name: "live"}),
		Failures: map[string]int{}, Sent: map[string][]int{},
	}
	open := make(chan struct{}, max(1, cfg.MaxOpen))
	var wg sync.WaitGroup
	for i := range arrivals {
		a := &arrivals[i]
		if !l.waitUntil(ctx, a.At) {
			break
		}
		l.recordArrival(a)
		select {
		case open <- struct{}{}:
		default:
			l.recordUnsent(a)
			continue
		}
		wg.Go(func() {
			defer func() { <-open }()
			l.run(ctx, l.newCall(a, i))
		})
	}
	wg.Wait()
	l.summary.Result.Close()
	return &l.summary
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

func (l *Load) recordArrival(a *ferryworkload.Arrival) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.summary.Result.Offer(a)
}

func (l *Load) recordUnsent(a *ferryworkload.Arrival) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.summary.Unsent++
	l.summary.Result.Record(&ferryexperiment.Sample{Arrival: a, Outcome: ferryexperiment.Failed})
}

// run sends a call until it succeeds, the caller's patience runs out, or the call may not be retried.
func (l *Load) run(ctx context.Context, c *call) {
	for l.try(ctx, c) {
		c.tries++
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if c.Outcome == ferryexperiment.Failed {
		l.summary.Failures[c.failure]++
	}
	l.summary.Result.Record(c.Sample)
}

// try sends a call once and reports whether to send it again.
func (l *Load) try(ctx context.Context, c *call) bool {
	if c.First == 0 {
		c.Submitted = l.now()
	}
	sent := l.now()
	result := l.send(ctx, c)
	c.End = l.now()
	switch {
	case result.ok:
		c.Outcome = inTime(c.Sample)
		l.recordSuccess(c)
		return false
	case result.notRun:
		return l.onNotRun(ctx, c, result, l.now()-sent)
	}
	return l.onBreak(ctx, c, result)
}

// onNotRun handles a try that did not run: it waits for the requested delay and reports whether to retry. A
// stream that has begun counts as failed if it cannot be resumed.
func (l *Load) onNotRun(ctx context.Context, c *call, result tryResult, after time.Duration) bool {
	c.failure = result.text
	if !result.noResponse {
		l.recordRefusal(c, after)
	}
	if l.waitToRetry(ctx, c, result.retryAfter) {
		return true
	}
	c.Outcome = ferryexperiment.Refused
	if c.lastEventID != "" {
		c.Outcome = ferryexperiment.Failed
	}
	return false
}

// onBreak handles a broken try: it waits for the backoff and reports whether to retry. A stream resumes after
// its last event; other calls are sent with the same idempotency key.
func (l *Load) onBreak(ctx context.Context, c *call, result tryResult) bool {
	c.failure = result.text
	c.breaks++
	if c.breaks <= l.workload.Retry.Attempts && l.waitUntil(ctx, l.now()+time.Duration(c.breaks)*breakBackoff) {
		return true
	}
	c.Outcome = ferryexperiment.Failed
	l.recordUnknown(result)
	return false
}

// recordSuccess records a successful call.
func (l *Load) recordSuccess(c *call) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if c.resumed {
		l.summary.Resumed++
	}
	if c.Arrival.Kind.Path == "" && c.received != c.Arrival.Tokens {
		l.summary.Uneven++
	}
}

func inTime(x *ferryexperiment.Sample) ferryexperiment.Outcome {
	d := time.Duration(x.Arrival.Kind.Deadline)
	if d > 0 && x.End-x.Arrival.At > d {
		return ferryexperiment.Late
	}
	return ferryexperiment.InTime
}

func (l *Load) recordUnknown(result tryResult) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !result.ran {
		l.summary.Unknown++
	}
}

func (l *Load) recordRefusal(c *call, after time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.summary.Result.Refuse(c.Arrival, after)
	if c.lastEventID != "" {
		l.summary.RefusedResumes++
	}
}

// waitToRetry waits for the requested delay and reports whether the caller retries within its patience.
func (l *Load) waitToRetry(ctx context.Context, c *call, after time.Duration) bool {
	if c.tries >= l.workload.Retry.Attempts+c.breaks || after <= 0 {
		return false
	}
	retryAt := l.now() + after
	if c.lastEventID == "" && retryAt > c.Arrival.At+time.Duration(l.workload.Retry.Patience) {
		return false
	}
	return l.waitUntil(ctx, retryAt)
}

func (l *Load) recordWork(c *call, tokens float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.now()
	l.summary.Result.Serve(now, tokens)
	c.Serve(now, tokens)
}

// countTry counts a try by entry and second.
func (l *Load) countTry(address string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	at := int(l.now() / time.Second)
	for len(l.summary.Sent[address]) <= at {
		l.summary.Sent[address] = append(l.summary.Sent[address], 0)
	}
	l.summary.Sent[address][at]++
}
