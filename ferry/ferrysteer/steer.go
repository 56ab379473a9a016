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
	minShardSize     = 16
	minShardFraction = 2.0 / 3
	// shardFactor is the ratio of a large customer's fraction of the entries to its fraction of the work.
	shardFactor = 4
	minLifetime = 20 * time.Second
	maxLifetime = 30 * time.Second
	// idlePermille is added to all loads, so that small differences between nearly idle entries hardly matter.
	idlePermille = 100
	// maxLoadFactor is the highest weight of a member, and its inverse the lowest.
	maxLoadFactor = 3
)

// Target is one entry that a caller may use.
type Target struct {
	Name          ferryid.EntryName  `json:"Name"`
	Address       string             `json:"Address"`
	FailureDomain ferryid.DomainName `json:"FailureDomain"`
}

// Answer is the ordered list of entries to try and its lifetime.
type Answer struct {
	Targets  []Target      `json:"Targets"`
	Lifetime time.Duration `json:"Lifetime"`
}

// Customer identifies a customer and its share of the work.
type Customer struct {
	Service ferryid.ServiceName
	Name    ferryid.CustomerName
	// Share is the customer's share of the work, and Shares the sum over all customers of the service.
	Share  float64
	Shares float64
}

// Choose returns the usable entries of the customer's shuffle shard in a pseudo-random order for one call.
//
// Less loaded entries are preferred, and consecutive entries are from different failure domains if possible.
// The key distinguishes calls, for example a request ID. Callers with answers for different keys spread over the
// shard even if all answers are a minute old.
func Choose(ms ferrypeer.Members, c Customer, key string) Answer {
	return Order(Shard(ms, c), key)
}

// Order returns the answer for one call from a shard.
// The shard may be cached until the members or their states change.
func Order(shard []ferrypeer.MemberInfo, key string) Answer {
	drawn := draw(shard, key)
	spread := time.Duration(unit(xxhash.Sum64String(key)) * float64(maxLifetime-minLifetime))
	a := Answer{Targets: make([]Target, 0, len(drawn)), Lifetime: minLifetime + spread.Truncate(time.Millisecond)}
	for _, m := range interleaveDomains(drawn) {
		a.Targets = append(a.Targets, Target{Name: m.Name, Address: m.CallerAddress, FailureDomain: m.FailureDomain})
	}
	return a
}

// Shard returns the customer's shuffle shard of the usable entries, spread over the failure domains.
// Its size is two thirds of the entries, at most 16, and more for customers with a large share.
func Shard(ms ferrypeer.Members, c Customer) []ferrypeer.MemberInfo {
	key := xxhash.Sum64String(string(c.Service) + "\x00" + string(c.Name))
	all := make([]scored, 0, len(ms.List))
	for i := range ms.List {
		if m := &ms.List[i]; m.Usable() {
			all = append(all, scored{MemberInfo: m, score: float64(^mix(key ^ xxhash.Sum64String(string(m.Name))))})
		}
	}
	sortScored(all)
	return toMembers(interleaveDomains(all)[:shardSize(len(all), c)])
}

// scored is a member with a sort score; the lowest score comes first.
type scored struct {
	*ferrypeer.MemberInfo
	score float64
}

func sortScored(ms []scored) {
	slices.SortFunc(ms, func(a, b scored) int {
		return cmp.Or(cmp.Compare(a.score, b.score), cmp.Compare(a.Name, b.Name))
	})
}

func toMembers(ms []scored) []ferrypeer.MemberInfo {
	out := make([]ferrypeer.MemberInfo, len(ms))
	for i, m := range ms {
		out[i] = *m.MemberInfo
	}
	return out
}

// shardSize returns the size of the customer's shard, which grows with its share.
// It keeps the entries evenly loaded even if some customers' load rises while callers still use old answers.
func shardSize(n int, c Customer) int {
	fraction := 0.0
	if c.Shares > 0 && c.Share > 0 {
		fraction = min(1, c.Share/c.Shares)
	}
	minSize := min(minShardSize, int(math.Ceil(minShardFraction*float64(n))))
	return min(n, max(minSize, int(math.Ceil(shardFactor*fraction*float64(n)))))
}

// draw orders members by weighted random sampling without replacement; the weight falls with the load.
func draw(ms []ferrypeer.MemberInfo, key string) []scored {
	mean := meanLoad(ms)
	call := xxhash.Sum64String(key)
	out := make([]scored, len(ms))
	for i := range ms {
		m := &ms[i]
		u := unit(call ^ xxhash.Sum64String(string(m.Name)))
		out[i] = scored{MemberInfo: m, score: -math.Log(u) / loadWeight(m.Load, mean)}
	}
	sortScored(out)
	return out
}

// unit maps a hash to a number in (0, 1).
func unit(h uint64) float64 {
	return (float64(mix(h)>>11) + 0.5) / (1 << 53)
}

// mix is the finalizer of the SplitMix64 generator.
func mix(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xBF58476D1CE4E5B9
	x ^= x >> 27
	x *= 0x94D049BB133111EB
	return x ^ x>>31
}

// loadWeight returns the weight of a member: the squared ratio of the mean load to its own load.
// The weight is bounded, so that stale load reports do not direct all callers to one entry.
func loadWeight(l ferrypeer.Load, mean float64) float64 {
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

// interleaveDomains keeps the order but takes one member of each failure domain before a second one of any.
func interleaveDomains(ms []scored) []scored {
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
