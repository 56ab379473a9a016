package ferryorder

import "time"

const (
	// minInterval is the first interval between reads after an order; it doubles up to defaultInterval.
	minInterval = 250 * time.Millisecond
	// idleReadsPerSecond is the rate of engine reads of a service without pending orders, limited by maxIdleInterval.
	idleReadsPerSecond = 20
	maxIdleInterval    = 10 * time.Second
)

// idleInterval returns the interval between reads of an engine without a pending order.
func (c *Core) idleInterval() time.Duration {
	d := time.Duration(len(c.engines)) * time.Second / idleReadsPerSecond
	return min(max(d, defaultInterval), maxIdleInterval)
}

// schedule sets the next read of the engine: after a short backoff while an order is pending, else with its group.
func (c *Core) schedule(r *engineState, now time.Time) {
	if r.pending {
		r.interval = min(max(2*r.interval, minInterval), defaultInterval)
		r.nextRead = now.Add(r.interval)
		return
	}
	r.interval = 0
	r.nextRead = c.nextGroupRead(r.group, now)
}

// nextGroupRead returns the next read of a group without pending orders; the groups' reads are evenly spaced.
func (c *Core) nextGroupRead(group int, now time.Time) time.Time {
	interval := c.idleInterval()
	phase := interval * time.Duration(group) / time.Duration(max(1, c.wanted.groups()))
	past := time.Duration(now.UnixNano()-int64(phase)) % interval
	return now.Add(interval - past)
}

// Due returns the engines to read now, as one GroupAsk per group.
func (c *Core) Due(now time.Time) []GroupAsk {
	if c.fence == 0 {
		return nil
	}
	c.turn++
	var out []GroupAsk
	for g, sum := range c.groupChecksums() {
		a := GroupAsk{Service: c.wanted.Service, Group: g, Sum: sum, turn: c.turn}
		for i, w := range c.wanted.group(g) {
			if !now.Before(c.engines[w.Name].nextRead) {
				a.Engines |= 1 << i
			}
		}
		if a.Engines != 0 {
			out = append(out, a)
		}
	}
	return out
}

// NextRound returns the time of the next round, between minInterval and defaultInterval from now.
func (c *Core) NextRound(now time.Time) time.Time {
	at := now.Add(defaultInterval)
	for _, r := range c.engines {
		if r.nextRead.Before(at) {
			at = r.nextRead
		}
	}
	if soonest := now.Add(minInterval); at.Before(soonest) {
		return soonest
	}
	return at
}
