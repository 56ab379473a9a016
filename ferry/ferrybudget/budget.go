package ferrybudget

import (
	"math"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"cactusferry.dev/ferry/ferryid"
)

const (
	buckets = 10
	// safety is the fraction of the budget that may be used, since the windows of the entries are not aligned.
	safety = 0.95
	// minReportDelay is the lower bound of the delay with which an entry's usage reaches all others.
	minReportDelay = 300 * time.Millisecond
	// ReportInterval is the interval at which the entries of a small fleet report their usage while any of them
	// uses the shared part of the allowance.
	ReportInterval = 200 * time.Millisecond
	// reportTTL is how long a report counts as current in a small fleet.
	reportTTL = 3 * ReportInterval
	// smallFleet is the number of entries up to which all of them report while one uses the shared part. More
	// reports would cost a larger fleet too much.
	smallFleet = 16
	// ownShare and ownShareOfLargeFleet are the parts of the allowance that the entries have to themselves, in
	// even shares. The rest is shared, since the entries of one failure domain may need most of the budget.
	ownShare             = 0.5
	ownShareOfLargeFleet = 0.3
	// overshootDivisor divides what is left of the shared part, so that entries which use it at the same time,
	// before they hear of each other, do not use more than is left. Above 1+1/entries they cannot.
	overshootDivisor = 1.5
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
	// ledger holds the last report of each process of the other entries, for one window.
	ledger map[ferryid.Incarnation]ledgerRow
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
	return &Budget{
		cfg: cfg, entries: minEntries, reportDelay: minReportDelay, headStart: cfg.Clock.Now(), began: cfg.Clock.Now(),
		ledger: map[ferryid.Incarnation]ledgerRow{},
	}
}

// SetEntries sets the number of entries that share the budget and the delay with which their reports reach
// each other.
func (b *Budget) SetEntries(n int, reportDelay time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.entries, b.reportDelay = max(minEntries, n), max(minReportDelay, reportDelay)
}

// Usage holds the numbers of an entry's requests and retries (Repeats) in the last window.
type Usage struct {
	Requests int
	Repeats  int
	// Shared is the number of retries beyond what the entry has to itself.
	Shared int
}

// Own returns this entry's usage in the last window.
func (b *Budget) Own() Usage {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.advance()
	spent := sum(b.retries)
	return Usage{Requests: sum(b.requests), Repeats: spent, Shared: max(0, spent-int(b.own()))}
}

// Request counts one caller's request.
func (b *Budget) Request() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.advance()
	b.requests[b.head]++
}

// TakeRetry takes one retry from the budget and reports whether one was left.
func (b *Budget) TakeRetry() bool { return b.TakeRetryAbove(0) }

// TakeRetryAbove is like TakeRetry, but leaves a part, from 0 to 1, of what the entry has to itself to other requests.
func (b *Budget) TakeRetryAbove(reserve float64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.advance()
	if b.remaining() < 1+reserve*b.own() {
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

// remaining returns how many retries this entry may make now: what is left of its own part, which consists of
// the ratio of its requests and an even share of the allowance, and what it may use of the shared part. It
// leaves some of the shared part to the entries that use it at the same time.
func (b *Budget) remaining() float64 {
	spent := float64(sum(b.retries))
	shared := b.sharedAllowance() - max(0, spent-b.own()) - b.sharedUsage()
	recent := min(float64(b.dropReported()), max(0, spent-b.own()))
	now := min((shared+recent)/(overshootDivisor*float64(b.entries))-recent, shared)
	return max(0, b.own()-spent) + max(0, now)
}

// own returns the number of retries per window that this entry may make without hearing from others.
func (b *Budget) own() float64 {
	return math.Floor(safety*b.cfg.Ratio*float64(b.creditedRequests()) + b.ownAllowance())
}

// creditedRequests counts the requests of the last half window. A window of retries may begin after requests
// that a whole window before the last retry would still count.
func (b *Budget) creditedRequests() int {
	n := 0
	for i := range buckets / 2 {
		n += b.requests[(b.head-i+buckets)%buckets]
	}
	return n
}

// ownAllowance returns the part of the allowance that each entry has to itself.
func (b *Budget) ownAllowance() float64 {
	share := ownShare
	if !b.small() {
		share = ownShareOfLargeFleet
	}
	return share * b.allowance() / float64(b.entries)
}

// sharedAllowance returns the part of the allowance that all entries share.
func (b *Budget) sharedAllowance() float64 {
	return safety*b.allowance() - b.ownAllowance()*float64(b.entries)
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
	now, delay := b.cfg.Clock.Now(), b.reportDelay
	if b.small() {
		delay += reportTTL
	}
	reported := 0
	for reported < len(b.recent) && now.Sub(b.recent[reported]) >= delay {
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
