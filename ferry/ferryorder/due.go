package ferryorder

import "time"

const (
	// quickInterval is the first wait for an order to show; each further one doubles, up to defaultInterval.
	quickInterval = 250 * time.Millisecond
	// quietPerSecond is how many engines of a service are read a second while nothing is to be done, as far as slowest allows.
	quietPerSecond = 20
	slowest        = 10 * time.Second
)

// quiet is how often an engine is read that nothing is expected of.
func (c *Core) quiet() time.Duration {
	d := time.Duration(len(c.runners)) * time.Second / quietPerSecond
	return min(max(d, defaultInterval), slowest)
}

// schedule sets when the engine is read next: soon while an order is outstanding, else at its group's time.
func (c *Core) schedule(r *runner, now time.Time) {
	if r.pending {
		r.wait = min(max(2*r.wait, quickInterval), defaultInterval)
		r.due = now.Add(r.wait)
		return
	}
	r.wait = 0
	r.due = c.groupTime(r.group, now)
}

// groupTime is when a quiet group is read next; the groups' times lie evenly apart.
func (c *Core) groupTime(group int, now time.Time) time.Time {
	every := c.quiet()
	phase := every * time.Duration(group) / time.Duration(max(1, c.wanted.groups()))
	past := time.Duration(now.UnixNano()-int64(phase)) % every
	return now.Add(every - past)
}

// Due returns what to read now, one ask a group.
func (c *Core) Due(now time.Time) []GroupAsk {
	if c.fence == 0 {
		return nil
	}
	c.turn++
	var out []GroupAsk
	for g, sum := range c.groupSums() {
		a := GroupAsk{Service: c.wanted.Service, Group: g, Sum: sum, turn: c.turn}
		for i, w := range c.wanted.group(g) {
			if !now.Before(c.runners[w.Name].due) {
				a.Engines |= 1 << i
			}
		}
		if a.Engines != 0 {
			out = append(out, a)
		}
	}
	return out
}

// Wake is when something may be due, at most 2 s and at least 250 ms from now.
func (c *Core) Wake(now time.Time) time.Time {
	at := now.Add(defaultInterval)
	for _, r := range c.runners {
		if r.due.Before(at) {
			at = r.due
		}
	}
	if soonest := now.Add(quickInterval); at.Before(soonest) {
		return soonest
	}
	return at
}
