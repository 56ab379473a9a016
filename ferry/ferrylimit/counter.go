package ferrylimit

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"cactusferry.dev/ferry/ferryid"
)

// Units is an amount of what a limit counts: requests or tokens.
type Units float64

const (
	// burstTime sets the burst size of a bucket: the units that its rate yields in this time.
	burstTime = 100 * time.Millisecond
	minBurst  = 1
	// idleRetention is how long an idle customer's bucket or share is kept; a bucket fills up much sooner.
	idleRetention = time.Minute
)

// Key identifies one customer of one service.
type Key struct {
	Service  ferryid.ServiceName  `cbor:"1,keyasint"`
	Customer ferryid.CustomerName `cbor:"2,keyasint"`
}

// Ask requests units for a customer; a negative Want returns units.
type Ask struct {
	Key  Key   `cbor:"1,keyasint"`
	Want Units `cbor:"2,keyasint"`
}

// Grant is the counting entry's reply to one Ask.
type Grant struct {
	Key Key   `cbor:"1,keyasint"`
	Got Units `cbor:"2,keyasint"`
}

// Rate returns a customer's limit in units per second; 0 means no limit.
type Rate func(Key) Units

// bucket is one customer's token bucket.
type bucket struct {
	tokens  Units
	updated time.Time
}

// Counter is the state of the entry that counts for a customer.
// It does no I/O and must not be used concurrently.
type Counter struct {
	rate    Rate
	buckets map[Key]*bucket
}

// NewCounter returns a counter without buckets that takes limits from r.
func NewCounter(r Rate) *Counter {
	return &Counter{rate: r, buckets: map[Key]*bucket{}}
}

// Answer grants what the limits allow. A new bucket starts empty, since another entry may have counted for the
// customer until now.
func (c *Counter) Answer(asks []Ask, now time.Time) []Grant {
	out := make([]Grant, 0, len(asks))
	for _, a := range asks {
		out = append(out, Grant{a.Key, c.grant(a, now)})
	}
	return out
}

func (c *Counter) grant(a Ask, now time.Time) Units {
	rate := c.rate(a.Key)
	if rate <= 0 || !(a.Want < 1e12 && a.Want > -1e12) {
		return 0
	}
	b, ok := c.buckets[a.Key]
	if !ok {
		b = &bucket{updated: now}
		c.buckets[a.Key] = b
	}
	burst := max(minBurst, rate*Units(burstTime.Seconds()))
	b.tokens = min(burst, b.tokens+rate*Units(now.Sub(b.updated).Seconds()))
	b.updated = now
	got := min(a.Want, max(0, b.tokens))
	b.tokens = min(burst, b.tokens-got)
	return got
}

// PurgeIdle deletes the buckets of idle customers.
func (c *Counter) PurgeIdle(now time.Time) {
	for k, b := range c.buckets {
		if now.Sub(b.updated) >= idleRetention {
			delete(c.buckets, k)
		}
	}
}

// CounterOf returns the live entry that counts for a customer, by rendezvous hashing.
func CounterOf(k Key, live []ferryid.Incarnation) ferryid.Incarnation {
	if len(live) == 0 {
		return ""
	}
	return slices.MaxFunc(live, func(a, b ferryid.Incarnation) int {
		return cmp.Or(cmp.Compare(score(k, a), score(k, b)), cmp.Compare(a, b))
	})
}

func score(k Key, id ferryid.Incarnation) uint64 {
	return xxhash.Sum64String(string(k.Service) + "\x00" + string(k.Customer) + "\x00" + string(id))
}
