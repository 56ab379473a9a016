package ferrybudget

import (
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
)

const (
	buckets = 10
	// safety is the part of the budget that is used, since the windows of the entries differ a little.
	safety = 0.95
	// leastHearing is how long what one entry has spent takes at least until all others know it.
	leastHearing = 300 * time.Millisecond
	// untoldShare is the part of the allowance that entries of a large fleet may use without telling the others, which take it for used. In
	// fleets of up to smallFleet entries it would be missed where one failure domain needs most of the budget, and telling costs little.
	untoldShare = 0.3
	smallFleet  = 16
	// leastEntries is how many entries are assumed until more are known.
	leastEntries = 3
)

// Config says how much may be repeated: in any window, Ratio of the requests and Allowance more, over all entries.
type Config struct {
	Clock     clockwork.Clock
	Window    time.Duration
	Ratio     float64
	Allowance float64
	// Resumed says that earlier processes may have spent the allowance, so that it counts again only once a window has passed.
	Resumed bool
}

// Budget is this entry's part of a service's budget.
type Budget struct {
	cfg Config

	mu      sync.Mutex
	began   time.Time
	entries int
	hearing time.Duration
	others  Spent
	heard   time.Time
	// fresh are the times of the repetitions that the others may not know of yet.
	fresh    []time.Time
	at       time.Time
	requests [buckets]int
	repeats  [buckets]int
	head     int
}

// New returns a budget with nothing spent.
func New(cfg Config) *Budget {
	if cfg.Clock == nil {
		cfg.Clock = clockwork.NewRealClock()
	}
	return &Budget{cfg: cfg, entries: leastEntries, hearing: leastHearing, at: cfg.Clock.Now(), began: cfg.Clock.Now()}
}

// SetEntries says among how many entries the budget is divided, and how long they take to hear of each other.
func (b *Budget) SetEntries(n int, hearing time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.entries, b.hearing = max(leastEntries, n), max(leastHearing, hearing)
}

// Spent is what one or more entries have counted in the last window.
type Spent struct {
	Requests int
	Repeats  int
}

// Own is what this entry has counted in the last window.
func (b *Budget) Own() Spent {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.advance()
	return Spent{Requests: sum(b.requests), Repeats: sum(b.repeats)}
}

// Untold is how many repetitions in a window this entry need not tell the others of.
func (b *Budget) Untold() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.untold()
}

func (b *Budget) untold() int {
	if b.entries <= smallFleet {
		return 0
	}
	return int(untoldShare * b.allowance() / float64(b.entries))
}

// SetOthers says what other entries have told, as far as this one has heard; it is called several times a second. Entries that tell
// nothing may have used what they need not tell.
func (b *Budget) SetOthers(told []Spent) {
	b.mu.Lock()
	defer b.mu.Unlock()
	untold := b.untold()
	sum := Spent{Repeats: untold * max(0, b.entries-1-len(told))}
	for _, s := range told {
		sum.Requests += s.Requests
		sum.Repeats += max(untold, s.Repeats)
	}
	b.others, b.heard = sum, b.cfg.Clock.Now()
}

// Request counts a caller's request.
func (b *Budget) Request() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.advance()
	b.requests[b.head]++
}

// Repeat takes one repetition from the budget and reports whether there was one.
func (b *Budget) Repeat() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.advance()
	if b.left() < 1 {
		return false
	}
	b.repeats[b.head]++
	b.fresh = append(b.fresh, b.cfg.Clock.Now())
	return true
}

// Left is the number of repetitions that are left now.
func (b *Budget) Left() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.advance()
	return max(0, int(b.left()))
}

// heardFor is how long what the others told is taken as current.
const heardFor = time.Second

// left is how many repetitions this entry may make now. While it hears of the others, all entries together may use no more than what is
// left before they hear of each other again: an upstream's loss meets the entries of one failure domain, which then need more than
// an even part of the whole. Otherwise an entry keeps to its even part.
func (b *Budget) left() float64 {
	spent := float64(sum(b.repeats))
	if b.heard.IsZero() || b.cfg.Clock.Since(b.heard) > max(heardFor, b.hearing) {
		return safety*(b.cfg.Ratio*float64(sum(b.requests))+b.allowance()/float64(b.entries)) - spent
	}
	all := safety*(b.cfg.Ratio*float64(sum(b.requests)+b.others.Requests)+b.allowance()) - max(spent, float64(b.untold())) - float64(b.others.Repeats)
	fresh := float64(b.forget())
	return max(min((all+fresh)/b.caution()/float64(b.entries)-fresh, all), float64(b.untold())-spent)
}

// caution divides what all entries together may use before they hear of each other; it covers that they hear at different moments. In small
// fleets, where a few entries that hear late would spend a large part again, it is larger.
func (b *Budget) caution() float64 {
	if b.entries > smallFleet {
		return 1.3
	}
	return 2
}

// allowance is what may be sent again beside the share of the requests.
func (b *Budget) allowance() float64 {
	if b.cfg.Resumed && b.cfg.Clock.Since(b.began) < b.cfg.Window {
		return 0
	}
	return b.cfg.Allowance
}

// forget drops the repetitions that all others have heard of, and returns the number of those left.
func (b *Budget) forget() int {
	now := b.cfg.Clock.Now()
	known := 0
	for known < len(b.fresh) && now.Sub(b.fresh[known]) >= b.hearing {
		known++
	}
	b.fresh = b.fresh[known:]
	return len(b.fresh)
}

// advance moves the window on by whole buckets.
func (b *Budget) advance() {
	// The newest bucket is not full yet, so the others have to cover the window.
	step := b.cfg.Window / (buckets - 1)
	if step <= 0 {
		return
	}
	passed := int(b.cfg.Clock.Since(b.at) / step)
	if passed <= 0 {
		return
	}
	b.at = b.at.Add(time.Duration(passed) * step)
	for range min(passed, buckets) {
		b.head = (b.head + 1) % buckets
		b.requests[b.head], b.repeats[b.head] = 0, 0
	}
}

func sum(counts [buckets]int) int {
	n := 0
	for _, c := range counts {
		n += c
	}
	return n
}
