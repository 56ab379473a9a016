package ferrysteer

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"cactusferry.dev/ferry/ferryid"
	"cactusferry.dev/ferry/ferrypeer"
)

const (
	leastShard      = 16
	leastShardShare = 2.0 / 3
	shardPerShare   = 4
	shortLifetime   = 20 * time.Second
	longLifetime    = 30 * time.Second
	idlePermille    = 100
	maxLoadFactor   = 3
)

// Target is one entry that a caller may use.
type Target struct {
	Name          ferryid.EntryName  `json:"Name"`
	Address       string             `json:"Address"`
	FailureDomain ferryid.DomainName `json:"FailureDomain"`
}

// Answer is the list of entries to try, in order, and how long it should be kept.
type Answer struct {
	Targets  []Target      `json:"Targets"`
	Lifetime time.Duration `json:"Lifetime"`
}

// Customer is what steering needs to know of one customer.
type Customer struct {
	Service ferryid.ServiceName
	Name    ferryid.CustomerName
	// Share is the customer's share of the work, and Shares the sum over all customers of the service.
	Share  float64
	Shares float64
}

// Choose returns the entries of the customer's shuffle shard that are ready, in an order drawn for this one call.
//
// The draw prefers less loaded entries, and the entries of one failure domain do not follow one another
// while there are others. The key distinguishes calls, for example a request id: callers that hold
// answers from different calls spread over the shard also when all answers are a minute old.
func Choose(ms ferrypeer.Members, c Customer, key string) Answer {
	return Order(Shard(ms, c), key)
}

// Order returns the answer for one call from a shard, which may be kept for as long as the members and their states stay the same.
func Order(shard []ferrypeer.MemberInfo, key string) Answer {
	drawn := draw(shard, key)
	spread := time.Duration(unit(xxhash.Sum64String(key)) * float64(longLifetime-shortLifetime))
	a := Answer{Targets: make([]Target, 0, len(drawn)), Lifetime: shortLifetime + spread.Truncate(time.Millisecond)}
	for _, m := range apart(drawn) {
		a.Targets = append(a.Targets, Target{Name: m.Name, Address: m.CallerAddress, FailureDomain: m.FailureDomain})
	}
	return a
}

// Shard returns the ready entries that serve the customer: two thirds of them up to 16, spread over the failure domains, and more for a larger share.
func Shard(ms ferrypeer.Members, c Customer) []ferrypeer.MemberInfo {
	key := xxhash.Sum64String(string(c.Service) + "\x00" + string(c.Name))
	all := make([]scored, 0, len(ms.List))
	for i := range ms.List {
		if m := &ms.List[i]; m.Usable() {
			all = append(all, scored{MemberInfo: m, score: float64(^mix(key ^ xxhash.Sum64String(string(m.Name))))})
		}
	}
	sortScored(all)
	return values(apart(all)[:shardSize(len(all), c)])
}

// scored is a member with its place in an order; the lowest score comes first.
type scored struct {
	*ferrypeer.MemberInfo
	score float64
}

func sortScored(ms []scored) {
	slices.SortFunc(ms, func(a, b scored) int {
		return cmp.Or(cmp.Compare(a.score, b.score), cmp.Compare(a.Name, b.Name))
	})
}

func values(ms []scored) []ferrypeer.MemberInfo {
	out := make([]ferrypeer.MemberInfo, len(ms))
	for i, m := range ms {
		out[i] = *m.MemberInfo
	}
	return out
}

// shardSize is large enough to keep the entries' load even when some customers' load rises while callers hold old answers, and grows with the customer's share.
func shardSize(n int, c Customer) int {
	part := 0.0
	if c.Shares > 0 && c.Share > 0 {
		part = min(1, c.Share/c.Shares)
	}
	least := min(leastShard, int(math.Ceil(leastShardShare*float64(n))))
	return min(n, max(least, int(math.Ceil(shardPerShare*part*float64(n)))))
}

// draw orders members by a weighted draw without replacement; the weight falls with the load.
func draw(ms []ferrypeer.MemberInfo, key string) []scored {
	mean := meanLoad(ms)
	call := xxhash.Sum64String(key)
	out := make([]scored, len(ms))
	for i := range ms {
		m := &ms[i]
		u := unit(call ^ xxhash.Sum64String(string(m.Name)))
		out[i] = scored{MemberInfo: m, score: -math.Log(u) / room(m.Load, mean)}
	}
	sortScored(out)
	return out
}

// unit returns a number in (0, 1) that is the same each time for one hash.
func unit(h uint64) float64 {
	return (float64(mix(h)>>11) + 0.5) / (1 << 53)
}

func mix(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xBF58476D1CE4E5B9
	x ^= x >> 27
	x *= 0x94D049BB133111EB
	return x ^ x>>31
}

// room is the weight of a member: the square of the mean load over its own, within bounds that keep late reports from swinging everybody to one entry.
func room(l ferrypeer.Load, mean float64) float64 {
	ratio := (mean + idlePermille) / (float64(l.Permille) + idlePermille)
	return min(maxLoadFactor, max(1.0/maxLoadFactor, ratio*ratio))
}

func meanLoad(ms []ferrypeer.MemberInfo) float64 {
	sum := 0.0
	for _, m := range ms {
		sum += float64(m.Load.Permille)
	}
	return sum / float64(max(1, len(ms)))
}

// apart keeps the order but takes one member of each failure domain before a second of any.
func apart(ms []scored) []scored {
	seen := map[ferryid.DomainName]int{}
	rounds := make([]int, len(ms))
	last := 0
	for i, m := range ms {
		rounds[i] = seen[m.FailureDomain]
		seen[m.FailureDomain]++
		last = max(last, rounds[i])
	}
	starts := make([]int, last+2)
	for _, r := range rounds {
		starts[r+1]++
	}
	for r := range last {
		starts[r+1] += starts[r]
	}
	out := make([]scored, len(ms))
	for i, m := range ms {
		out[starts[rounds[i]]] = m
		starts[rounds[i]]++
	}
	return out
}
