package ferrylimit

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"cactusferry.dev/ferry/ferryid"
)

// Units counts what a limit is about: requests, or tokens.
type Units float64

const (
	// burstTime is the part of a second's allowance that may be granted at once.
	burstTime = 100 * time.Millisecond
	minBurst  = 1
	// counterMemory is how long an idle customer's bucket is kept; it is full again long before.
	counterMemory = time.Minute
)

// Key names one limited customer of one service.
type Key struct {
	Service  ferryid.ServiceName  `cbor:"1,keyasint"`
	Customer ferryid.CustomerName `cbor:"2,keyasint"`
}

// Ask is what an entry wants for a customer; a negative Want gives back.
type Ask struct {
	Key  Key   `cbor:"1,keyasint"`
	Want Units `cbor:"2,keyasint"`
}

// Grant is the counting entry's answer to one Ask.
type Grant struct {
	Key Key   `cbor:"1,keyasint"`
	Got Units `cbor:"2,keyasint"`
}

// Rate returns a customer's limit in units a second, 0 for none.
type Rate func(Key) Units

// bucket is one customer's token bucket.
type bucket struct {
	tokens Units
	at     time.Time
}

// Counter is the pure core of the entry that counts for a customer.
type Counter struct {
	rate    Rate
	buckets map[Key]*bucket
}

// NewCounter returns a counter that takes limits from the documents in force.
func NewCounter(r Rate) *Counter {
	return &Counter{rate: r, buckets: map[Key]*bucket{}}
}

// Answer grants what the limits have left; a bucket that is new here starts empty, since another entry may have counted until now.
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
		b = &bucket{at: now}
		c.buckets[a.Key] = b
	}
	burst := max(minBurst, rate*Units(burstTime.Seconds()))
	b.tokens = min(burst, b.tokens+rate*Units(now.Sub(b.at).Seconds()))
	b.at = now
	got := min(a.Want, max(0, b.tokens))
	b.tokens = min(burst, b.tokens-got)
	return got
}

// Sweep forgets customers that have been idle.
func (c *Counter) Sweep(now time.Time) {
	for k, b := range c.buckets {
		if now.Sub(b.at) >= counterMemory {
			delete(c.buckets, k)
		}
	}
}

// CounterOf is the live entry that counts for a customer.
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
