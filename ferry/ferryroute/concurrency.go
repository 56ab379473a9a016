package ferryroute

import (
	"math"
	"time"
)

const (
	// curveWeight is the weight of one observation in the measured curve.
	curveWeight = 1.0 / 256
	// minCurveSamples is how many observations a limit below the stated slots needs.
	minCurveSamples = 64
	// minCurveSpread is the least variance of the number of streams that says anything about the slope.
	minCurveSpread = 0.25
	// lowerBelow and raiseAbove bound the share of its own speed that one more stream still adds to the throughput.
	lowerBelow = 0.1
	raiseAbove = 0.15
	limitStep  = 0.07
	limitEvery = 500 * time.Millisecond
	// minLimitShare is the part of the stated slots that is always used.
	minLimitShare = 0.25
	// nearLimit is how full an upstream must be for its limit to be judged too high.
	nearLimit = 0.9
)

// curve learns how the time for one token grows with the number of streams on an upstream, as a line t = a + b*k, and
// limits the streams to those that still add throughput: engines that are busy with fewer only slow each stream down.
type curve struct {
	n     int
	k     float64
	t     float64
	kk    float64
	kt    float64
	limit float64
	next  time.Time
}

// observe takes the time for one token, in seconds, beside k streams in all.
func (c *curve) observe(k, t float64) {
	c.n++
	w := max(curveWeight, 1/float64(c.n))
	dk, dt := k-c.k, t-c.t
	c.k += w * dk
	c.t += w * dt
	c.kk = (1 - w) * (c.kk + w*dk*dk)
	c.kt = (1 - w) * (c.kt + w*dk*dt)
}

// gain is the share of its own speed that one more stream beside k adds to the throughput: a/(a+b*k).
func (c *curve) gain(k float64) (float64, bool) {
	if c.n < minCurveSamples || c.kk < minCurveSpread {
		return 0, false
	}
	b := max(0, c.kt/c.kk)
	a := max(0, c.t-b*c.k)
	return a / (a + b*k), a+b*k > 0
}

// adjust moves the limit a step and reports whether the number of slots changed.
func (c *curve) adjust(k float64, slots int, now time.Time) bool {
	if now.Before(c.next) {
		return false
	}
	c.next = now.Add(limitEvery)
	before := c.slots(slots)
	if c.limit == 0 {
		c.limit = float64(slots)
	}
	g, ok := c.gain(k)
	switch {
	case !ok:
	case g < lowerBelow && k >= nearLimit*c.limit:
		c.limit = max(math.Ceil(minLimitShare*float64(slots)), c.limit*(1-limitStep))
	case g > raiseAbove:
		c.limit = min(float64(slots), c.limit*(1+limitStep))
	}
	return c.slots(slots) != before
}

// slots is the number of streams to run, at most the stated slots.
func (c *curve) slots(stated int) int {
	if c.limit == 0 {
		return stated
	}
	return max(1, min(stated, int(math.Round(c.limit))))
}
