package ferrybudget

import (
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
)

const (
	buckets = 10
	// safety is the fraction of the budget that may be used, since the windows of the entries are not aligned.
	safety = 0.95
	// minReportDelay is the lower bound of the delay with which an entry's usage reaches all others.
	minReportDelay = 300 * time.Millisecond
	// unreportedShare is the fraction of the allowance that entries of a large fleet may use without
	// reporting; the others count it as used. Fleets of up to smallFleet entries report everything: there
	// reports cost little, and the fraction would be missing where one failure domain needs most of the
	// budget.
	unreportedShare = 0.3
	smallFleet      = 16
	// minEntries is the number of entries assumed until more are known.
	minEntries = 3
)

// Config sets the limit for all entries together: Ratio times the requests plus Allowance retries in any
// Window.
type Config struct {
	Clock     clockwork.Clock
	Window    time.Duration
	Ratio     float64
	Allowance float64
	// Resumed is set if earlier processes may have used the allowance, which is then available only after one
	// window.
	Resumed bool
}

// Budget is this entry's part of the retry budget of one service.
type Budget struct {
	cfg Config

	mu          sync.Mutex
	began       time.Time
	entries     int
	reportDelay time.Duration
	others      Usage
	reportedAt  time.Time
	// recent holds the times of the retries that may not have reached the other entries yet.
	recent    []time.Time
	headStart time.Time
	requests  [buckets]int
	retries   [buckets]int
	head      int
}

// New returns an unused Budget.
func New(cfg Config) *Budget {
	if cfg.Clock == nil {
		cfg.Clock = clockwork.NewRealClock()
	}
	return &Budget{cfg: cfg, entries: minEntries, reportDelay: minReportDelay, headStart: cfg.Clock.Now(), began: cfg.Clock.Now()}
}

// SetEntries sets the number of entries that share the budget and the delay with which their reports reach
// each other.
func (b *Budget) SetEntries(n int, reportDelay time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.entries, b.reportDelay = max(minEntries, n), max(minReportDelay, reportDelay)
}

// Usage holds the numbers of requests and retries (Repeats) of one or more entries in the last window.
type Usage struct {
	Requests int
	Repeats  int
}

// Own returns this entry's usage in the last window.
func (b *Budget) Own() Usage {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.advance()
	return Usage{Requests: sum(b.requests), Repeats: sum(b.retries)}
}

// UnreportedLimit returns the number of retries per window up to which this entry need not report its usage.
func (b *Budget) UnreportedLimit() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.unreportedLimit()
}

func (b *Budget) unreportedLimit() int {
	if b.entries <= smallFleet {
		return 0
	}
	return int(unreportedShare * b.allowance() / float64(b.entries))
}

// SetReported sets the usage reported by other entries; it is called several times a second. Entries that
// report nothing are assumed to have used what they need not report.
func (b *Budget) SetReported(reports []Usage) {
	b.mu.Lock()
	defer b.mu.Unlock()
	limit := b.unreportedLimit()
	total := Usage{Repeats: limit * max(0, b.entries-1-len(reports))}
	for _, s := range reports {
		total.Requests += s.Requests
		total.Repeats += max(limit, s.Repeats)
	}
	b.others, b.reportedAt = total, b.cfg.Clock.Now()
}

// Request counts one caller's request.
func (b *Budget) Request() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.advance()
	b.requests[b.head]++
}

// TakeRetry takes one retry from the budget and reports whether one was left.
func (b *Budget) TakeRetry() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.advance()
	if b.remaining() < 1 {
		return false
	}
	b.retries[b.head]++
	b.recent = append(b.recent, b.cfg.Clock.Now())
	return true
}

// Remaining returns the number of retries that this entry may make now.
func (b *Budget) Remaining() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.advance()
	return max(0, int(b.remaining()))
}

// reportTTL is how long the reported usage counts as current, unless the report delay is longer.
const reportTTL = time.Second

// remaining returns how many retries this entry may make now. With current reports, all entries together may
// use no more than the rest of the budget before their next reports arrive. An entry may then exceed its even
// share, which the entries of one failure domain need when it loses an upstream. Without current reports it
// may not.
func (b *Budget) remaining() float64 {
	spent := float64(sum(b.retries))
	if b.reportedAt.IsZero() || b.cfg.Clock.Since(b.reportedAt) > max(reportTTL, b.reportDelay) {
		return safety*(b.cfg.Ratio*float64(sum(b.requests))+b.allowance()/float64(b.entries)) - spent
	}
	all := safety*(b.cfg.Ratio*float64(sum(b.requests)+b.others.Requests)+b.allowance()) - max(spent, float64(b.unreportedLimit())) - float64(b.others.Repeats)
	recent := float64(b.dropReported())
	return max(min((all+recent)/b.overshootDivisor()/float64(b.entries)-recent, all), float64(b.unreportedLimit())-spent)
}

// overshootDivisor divides the rest of the budget to cover reports that arrive at different times. It is
// larger in small fleets, where a few entries with late reports would use a large part of the budget twice.
func (b *Budget) overshootDivisor() float64 {
	if b.entries > smallFleet {
		return 1.3
	}
	return 2
}

// allowance returns the fixed number of retries permitted beside the ratio.
func (b *Budget) allowance() float64 {
	if b.cfg.Resumed && b.cfg.Clock.Since(b.began) < b.cfg.Window {
		return 0
	}
	return b.cfg.Allowance
}

// dropReported drops the retries that have reached all other entries and returns the number of the remaining
// ones.
func (b *Budget) dropReported() int {
	now := b.cfg.Clock.Now()
	reported := 0
	for reported < len(b.recent) && now.Sub(b.recent[reported]) >= b.reportDelay {
		reported++
	}
	b.recent = b.recent[reported:]
	return len(b.recent)
}

// advance moves the window forward by whole buckets.
func (b *Budget) advance() {
	// The newest bucket is incomplete, so the others have to cover the window.
	step := b.cfg.Window / (buckets - 1)
	if step <= 0 {
		return
	}
	passed := int(b.cfg.Clock.Since(b.headStart) / step)
	if passed <= 0 {
		return
	}
	b.headStart = b.headStart.Add(time.Duration(passed) * step)
	for range min(passed, buckets) {
		b.head = (b.head + 1) % buckets
		b.requests[b.head], b.retries[b.head] = 0, 0
	}
}

func sum(counts [buckets]int) int {
	n := 0
	for _, c := range counts {
		n += c
	}
	return n
}
