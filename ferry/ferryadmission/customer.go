package ferryadmission

import (
	"math"
	"time"

	"cactusferry.dev/ferry/ferryid"
)

const (
	// decayTime is the time in which an arrival's weight falls to 1/e. An entry of a large fleet has about 3
	// requests per second, so a shorter time would compare customers by single requests.
	decayTime = 10 * time.Second
	// idleTime is the time after which a customer without requests is forgotten. Its weight is then 1/400.
	idleTime = time.Minute
	// maxCustomers is the number of customers of a rank that are counted, the supported number of customers.
	maxCustomers = 4500
	// sampled is the number of recent arrivals from which the level of a rank is computed.
	sampled = 128
	// levelArrivals is the number of arrivals after which the level is computed again while the share stays the
	// same.
	levelArrivals = 16
	// customerFloor is the least share of a customer as a part of the share of its rank.
	customerFloor = 0.25
)

// decayed is a count of arrivals whose weight decays with time.
type decayed struct {
	value float64
	at    time.Time
}

// count returns the count at a time.
func (d *decayed) count(now time.Time) float64 {
	return d.value * math.Exp(-float64(max(0, now.Sub(d.at)))/float64(decayTime))
}

// valueAt returns the count at a later time.
func (d *decayed) valueAt(now time.Time) float64 {
	return d.value * math.Exp(-float64(max(0, now.Sub(d.at)))/float64(decayTime))
}

// add counts one arrival and returns the count.
func (d *decayed) add(now time.Time) float64 {
	d.value, d.at = d.count(now)+1, now
	return d.value
}

// customer is the state of one customer in one rank.
type customer struct {
	counts   Counts
	arrivals decayed
}

// customers holds the customers of one rank and the level up to which they are admitted.
//
// The level is solved over the customers' parts of the decayed arrivals of the rank as they were at the last
// arrivals. Solving over the current counts of all customers instead would admit too little, since a customer's
// count is highest when its request arrives. Parts rather than rates leave the level valid while the load of
// all customers rises.
type customers struct {
	byName map[ferryid.CustomerName]*customer
	unused []*customer
	swept  time.Time
	total  decayed

	// inverse holds the inverses of the parts of the last arrivals.
	inverse [sampled]float64
	arrived int
	level   float64
	share   float64
	solved  int
}

// get returns the state of a customer, or nil if too many customers are known.
func (cs *customers) get(name ferryid.CustomerName, now time.Time) *customer {
	if c := cs.byName[name]; c != nil {
		return c
	}
	if now.Sub(cs.swept) > idleTime/2 {
		cs.forgetIdle(now)
	}
	if len(cs.byName) >= maxCustomers {
		return nil
	}
	c := &customer{}
	if n := len(cs.unused); n > 0 {
		c, cs.unused = cs.unused[n-1], cs.unused[:n-1]
	}
	*c = customer{arrivals: decayed{at: now}}
	cs.byName[name] = c
	return c
}

func (cs *customers) forgetIdle(now time.Time) {
	cs.swept = now
	for name, c := range cs.byName {
		if now.Sub(c.arrivals.at) > idleTime {
			delete(cs.byName, name)
			cs.unused = append(cs.unused, c)
		}
	}
}

// arrive counts a request of the customer and returns the customer's part of the arrivals of the rank.
func (cs *customers) arrive(c *customer, now time.Time) float64 {
	part := c.arrivals.add(now) / cs.total.add(now)
	cs.inverse[cs.arrived%sampled] = 1 / part
	cs.arrived++
	return part
}

// admitted returns the share of a customer with the given part of the arrivals, when the whole rank is admitted at
// share.
func (cs *customers) admitted(part, share float64) float64 {
	if share <= 0 || share >= 1 {
		return share
	}
	if share != cs.share || cs.arrived-cs.solved >= levelArrivals || cs.solved == 0 {
		cs.level = level(cs.inverse[:min(cs.arrived, sampled)], share)
		cs.share, cs.solved = share, cs.arrived
	}
	return max(customerFloor*share, min(1, cs.level/part))
}

// level returns the level at which the mean of max(customerFloor*share, min(1, level/part)) is share, over parts
// given by their inverses.
func level(inverse []float64, share float64) float64 {
	low, high := 0.0, 1.0
	for range levelSteps {
		mid := (low + high) / 2
		sum := 0.0
		for _, x := range inverse {
			sum += max(customerFloor*share, min(1, mid*x))
		}
		if sum < share*float64(len(inverse)) {
			low = mid
		} else {
			high = mid
		}
	}
	return high
}

// levelSteps is the number of bisections of the level, whose error is at most 2^-levelSteps.
const levelSteps = 24
