package ferryadmission

import (
	"math"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"cactusferry.dev/ferry/ferryid"
	"cactusferry.dev/ferry/ferryroom"
)

// Rank is the position of a priority among those of a service; 0 is the most urgent rank.
type Rank int

// Request is what the decision depends on. Tokens is not considered, so that large requests are served as often as
// small ones.
type Request struct {
	Rank     Rank
	Customer ferryid.CustomerName
	Tokens   ferryid.Tokens
}

// Config configures a Core. Values that are not set or are out of range are replaced.
type Config struct {
	// Clock defaults to the real clock.
	Clock clockwork.Clock
	// Random defaults to a source with a random seed. The Core calls it from one goroutine at a time.
	Random rand.Source
	// Ranks is the number of ranks of the service; less than 1 counts as 1.
	Ranks int
	// Ramp defaults to DefaultRamp.
	Ramp Ramp
}

// minOthers is the number of recent arrivals of other ranks from which they are compared.
const minOthers = 1

// shortageGap is the time without decisions after which a shortage counts as a new one.
const shortageGap = 4 * time.Second

// Core decides for one service on one entry. It is safe for concurrent use.
type Core struct {
	clock clockwork.Clock
	ramp  Ramp

	mu     sync.Mutex
	random *rand.Rand
	ranks  []rankState
	last   time.Time
}

// rankState is the state of one rank.
type rankState struct {
	counts Counts
	// share is the share admitted at the last decision; since is the begin of the shortage while it is below 1.
	share     float64
	since     time.Time
	customers customers
	// recent is the decayed number of arrivals, and steps how many steps the ramp begins below that of rank 0.
	recent, steps float64
}

// New returns a Core without arrivals.
func New(cfg Config) *Core {
	if cfg.Clock == nil {
		cfg.Clock = clockwork.NewRealClock()
	}
	if cfg.Random == nil {
		cfg.Random = rand.NewPCG(rand.Uint64(), rand.Uint64())
	}
	cfg.Ranks = max(1, cfg.Ranks)
	c := &Core{clock: cfg.Clock, ramp: cfg.Ramp.bounded(cfg.Ranks), random: rand.New(cfg.Random), ranks: make([]rankState, cfg.Ranks)}
	for i := range c.ranks {
		c.ranks[i].share = 1
		c.ranks[i].customers.byName = map[ferryid.CustomerName]*customer{}
	}
	refusals()
	return c
}

// Decide decides on a request and counts it. A rank below 0 counts as 0 and one above the last as the last. If the
// room is unknown or its fill is not a number, the request is admitted.
func (c *Core) Decide(r Request, room ferryroom.Room) Decision {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.clock.Now()
	c.observe(room, now)
	rank := &c.ranks[min(max(0, int(r.Rank)), len(c.ranks)-1)]
	rank.counts.Arrived++
	share := rank.share
	cu := rank.customers.get(r.Customer, now)
	if cu != nil {
		cu.counts.Arrived++
		share = rank.customers.admitted(rank.customers.arrive(cu, now), share)
	}
	if share >= 1 || c.random.Float64() < share {
		rank.counts.Admitted++
		if cu != nil {
			cu.counts.Admitted++
		}
		return Admitted{}
	}
	rank.counts.Refused++
	if cu != nil {
		cu.counts.Refused++
	}
	return refused(c.retryAfter(now.Sub(rank.since)), share)
}

// observe sets the share of each rank and the beginnings of shortages. No rank is admitted at a higher share than
// a more urgent one.
func (c *Core) observe(room ferryroom.Room, now time.Time) {
	known := room.Known && !math.IsNaN(room.Fill)
	gap := now.Sub(c.last) > shortageGap
	c.last = now
	limit := 1.0
	c.updateSteps(now)
	for i := range c.ranks {
		r := &c.ranks[i]
		share := 1.0
		if known {
			share = min(limit, c.ramp.share(r.steps, room.Fill))
		}
		limit = share
		if share < 1 && (r.share >= 1 || gap) {
			r.since = now
		}
		r.share = share
	}
}

// retryAfter draws the retry time of a shortage that has lasted for d. A shortage is expected to last about as long
// again as it has lasted; the random part spreads the retries of callers that were refused together.
func (c *Core) retryAfter(d time.Duration) time.Duration {
	d = min(max(d, minRetryAfter), maxRetryAfter)
	return d + time.Duration(c.random.Float64()*float64(d))
}

// Ranks returns the number of ranks.
func (c *Core) Ranks() int { return len(c.ranks) }

// Urgency returns the part of the recent requests that are not more urgent than a rank, from 0 to 1. It is 1 for the most
// urgent rank and without requests.
//
// It does not follow from the rank's number: where a few customers have ranks of their own, most requests are of later
// ranks.
func (c *Core) Urgency(r Rank) float64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.clock.Now()
	all := c.updateRecent(now)
	above := 0.0
	for i := range min(max(0, int(r)), len(c.ranks)) {
		above += c.ranks[i].recent
	}
	if all <= 0 {
		return 1
	}
	return 1 - above/all
}

// updateRecent sets the recent arrivals of each rank and returns their sum.
func (c *Core) updateRecent(now time.Time) (all float64) {
	for i := range c.ranks {
		c.ranks[i].recent = c.ranks[i].customers.total.valueAt(now)
		all += c.ranks[i].recent
	}
	return all
}

// updateSteps sets where the ramp of each rank begins: by the part of the other ranks' recent arrivals that are more
// urgent, and by the number of the rank while there are no others.
func (c *Core) updateSteps(now time.Time) {
	all, above, last := c.updateRecent(now), 0.0, float64(len(c.ranks)-1)
	for i := range c.ranks {
		r := &c.ranks[i]
		r.steps = float64(i)
		if others := all - r.recent; others > minOthers {
			r.steps = last * min(1, above/others)
		}
		above += r.recent
	}
}
