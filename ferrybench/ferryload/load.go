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

// breakPause is how long callers wait after a break, times the number of breaks.
const breakPause = 100 * time.Millisecond

// Config says where a load goes; each customer has Callers callers, one if 0, which keep a steering answer for Keep if that is
// longer than its lifetime.
type Config struct {
	Entries []string
	Model   ferryid.ServiceName
	Plain   ferryid.ServiceName
	Keys    map[ferryid.CustomerName]string
	MaxOpen int
	Callers int
	Keep    time.Duration
	Clock   clockwork.Clock
	Client  *http.Client
}

// Load is one load while it runs.
type Load struct {
	cfg     Config
	w       *ferryworkload.Workload
	start   time.Time
	mu      sync.Mutex
	sum     Summary
	entries *entries
}

// Summary is what a load gave.
type Summary struct {
	Result *ferryexperiment.Result `json:"Result"`
	// Unsent are the arrivals for which too many calls were open, Unknown the failures that may have run.
	Unsent  int `json:"Unsent"`
	Unknown int `json:"Unknown"`
	// Resumed are the streams that went on after a break, RefusedResumes the refusals that they met before.
	Resumed        int `json:"Resumed"`
	RefusedResumes int `json:"RefusedResumes"`
	// Uneven are the streams that ended as whole with more or fewer tokens than asked for.
	Uneven int `json:"Uneven"`
	// Failures counts what failed calls were answered with last.
	Failures map[string]int `json:"Failures"`
	// Sent is how many tries each entry got in each second.
	Sent map[string][]int `json:"Sent"`
}

// Run sends every arrival at its time, whatever became of those before, and returns when all have ended.
func Run(ctx context.Context, cfg Config, w *ferryworkload.Workload, arrivals []ferryworkload.Arrival) *Summary {
	l := &Load{cfg: cfg, w: w, start: cfg.Clock.Now(), entries: newEntries(cfg)}
	l.sum = Summary{
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
		l.offer(a)
		select {
		case open <- struct{}{}:
		default:
			l.leaveOut(a)
			continue
		}
		wg.Go(func() {
			defer func() { <-open }()
			l.run(ctx, l.newCall(a, i))
		})
	}
	wg.Wait()
	l.sum.Result.Close()
	return &l.sum
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
	l.sum.Result.Offer(a)
}

func (l *Load) leaveOut(a *ferryworkload.Arrival) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.sum.Unsent++
	l.sum.Result.Record(&ferryexperiment.Sample{Arrival: a, Outcome: ferryexperiment.Failed})
}

// run tries a call until it has run, its caller has lost patience, or it can't be repeated.
func (l *Load) run(ctx context.Context, c *call) {
	for l.try(ctx, c) {
		c.tries++
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if c.Outcome == ferryexperiment.Failed {
		l.sum.Failures[c.failure]++
	}
	l.sum.Result.Record(c.Sample)
}

// try sends a call once and reports whether it has to be sent again.
func (l *Load) try(ctx context.Context, c *call) bool {
	if c.First == 0 {
		c.Submitted = l.now()
	}
	sent := l.now()
	ans := l.send(ctx, c)
	c.End = l.now()
	switch {
	case ans.ok:
		c.Outcome = inTime(c.Sample)
		l.count(c)
		return false
	case ans.notRun:
		return l.turnedAway(ctx, c, ans, l.now()-sent)
	}
	return l.broke(ctx, c, ans)
}

// turnedAway waits as long as a refusal asked for; a stream that has begun is lost if it can't go on.
func (l *Load) turnedAway(ctx context.Context, c *call, ans answer, after time.Duration) bool {
	c.failure = ans.text
	if !ans.unreached {
		l.refuse(c, after)
	}
	if l.comeBack(ctx, c, ans.retryAfter) {
		return true
	}
	c.Outcome = ferryexperiment.Refused
	if c.last != "" {
		c.Outcome = ferryexperiment.Failed
	}
	return false
}

// broke sends a call that broke off again: a stream goes on after its last event, a change has the same key.
func (l *Load) broke(ctx context.Context, c *call, ans answer) bool {
	c.failure = ans.text
	c.breaks++
	if c.breaks <= l.w.Retry.Attempts && l.waitUntil(ctx, l.now()+time.Duration(c.breaks)*breakPause) {
		return true
	}
	c.Outcome = ferryexperiment.Failed
	l.countUnknown(ans)
	return false
}

// count notes how a call came to its end.
func (l *Load) count(c *call) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if c.resumed {
		l.sum.Resumed++
	}
	if c.Arrival.Kind.Path == "" && c.got != c.Arrival.Tokens {
		l.sum.Uneven++
	}
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
		l.sum.Unknown++
	}
}

func (l *Load) refuse(c *call, after time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.sum.Result.Refuse(c.Arrival, after)
	if c.last != "" {
		l.sum.RefusedResumes++
	}
}

// comeBack waits as long as the refusal asked for, and reports whether the caller still cares.
func (l *Load) comeBack(ctx context.Context, c *call, after time.Duration) bool {
	if c.tries >= l.w.Retry.Attempts+c.breaks || after <= 0 {
		return false
	}
	back := l.now() + after
	if c.last == "" && back > c.Arrival.At+time.Duration(l.w.Retry.Patience) {
		return false
	}
	return l.waitUntil(ctx, back)
}

func (l *Load) serve(c *call, tokens float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.now()
	l.sum.Result.Serve(now, tokens)
	c.Serve(now, tokens)
}

// sent counts a try.
func (l *Load) sent(address string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	at := int(l.now() / time.Second)
	for len(l.sum.Sent[address]) <= at {
		l.sum.Sent[address] = append(l.sum.Sent[address], 0)
	}
	l.sum.Sent[address][at]++
}
