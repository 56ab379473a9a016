package ferrylimit

import (
	"math"
	"time"
)

const (
	// Tick is how often an entry asks for its customers.
	Tick = 50 * time.Millisecond
	// debtTime is the part of a second's allowance that an entry may admit before it is granted.
	debtTime = 30 * time.Millisecond
	// lazyTime is how long a debt may wait to be asked for while more can be admitted.
	lazyTime = 500 * time.Millisecond
	// silence is how long an unanswered Ask is waited for, before an even share is taken instead.
	silence  = 500 * time.Millisecond
	idleTime = 2 * Tick
)

// share is one customer's allowance at one entry.
type share struct {
	balance Units
	demand  Units // since the last Ask
	used    time.Time
	gap     time.Duration // between the last two uses
	since   time.Time     // of the oldest demand that was not asked for
	asked   time.Time     // of the last unanswered Ask, or zero
	silent  time.Time     // of the first unanswered Ask, or zero
	filled  time.Time     // of the last even share taken without an answer
}

// Shares is the pure core of an entry that admits work; it never waits for an answer.
type Shares struct {
	rate   Rate
	shares map[Key]*share
	active map[Key]*share // those of which something may have to be asked or given back
}

// NewShares returns shares that take limits from the documents in force.
func NewShares(r Rate) *Shares {
	return &Shares{rate: r, shares: map[Key]*share{}, active: map[Key]*share{}}
}

// Allow admits work of the given cost, or returns how long to wait before it is worth another try.
func (s *Shares) Allow(k Key, cost Units, now time.Time) (bool, time.Duration) {
	rate := s.rate(k)
	if rate <= 0 {
		return true, 0
	}
	sh, ok := s.shares[k]
	if !ok {
		sh = &share{}
		s.shares[k] = sh
	}
	s.active[k] = sh
	if sh.demand == 0 {
		sh.since = now
	}
	sh.gap = now.Sub(sh.used)
	sh.used = now
	sh.demand += cost
	debt := debtOf(rate)
	if sh.balance+debt < cost && sh.balance < 0 || sh.balance <= -debt {
		return false, retryAfter(cost-sh.balance, rate)
	}
	sh.balance -= cost
	return true, 0
}

// debtOf is what an entry may admit before it is granted.
func debtOf(rate Units) Units {
	return max(1, rate*Units(debtTime.Seconds()))
}

func retryAfter(lack, rate Units) time.Duration {
	d := time.Duration(float64(lack) / float64(rate) * float64(time.Second))
	return min(max(d, Tick), time.Minute)
}

// Quiet reports whether there is nothing to ask for or to give back, until the next Allow.
func (s *Shares) Quiet() bool {
	return len(s.active) == 0
}

// Asks returns what to ask of the counting entries, at most once a Tick and while not Quiet.
func (s *Shares) Asks(now time.Time) []Ask {
	var out []Ask
	for k, sh := range s.active {
		rate := s.rate(k)
		if rate <= 0 {
			delete(s.active, k)
			delete(s.shares, k)
			continue
		}
		if !sh.asked.IsZero() && now.Sub(sh.asked) < silence {
			continue
		}
		want := sh.want(rate, now)
		if want == 0 {
			s.rest(k, sh, now)
			continue
		}
		if want < 0 {
			sh.balance += want
		} else {
			sh.asked = now
			if sh.silent.IsZero() {
				sh.silent = now
			}
		}
		sh.demand = 0
		out = append(out, Ask{k, want})
	}
	return out
}

// want is what to ask for now: of a customer that calls tick after tick, or that has room for one call only, the debt and the last tick's demand again;
// of another the debt alone, later if more can be admitted. An idle entry gives back.
func (sh *share) want(rate Units, now time.Time) Units {
	switch {
	case sh.balance >= 0 && now.Sub(sh.used) >= idleTime:
		return -sh.balance
	case sh.gap < idleTime || debtOf(rate) <= 1:
		return max(0, sh.demand-sh.balance)
	case sh.balance+debtOf(rate) >= max(1, sh.demand) && now.Sub(sh.since) < lazyTime:
		return 0
	}
	return max(0, -sh.balance)
}

// rest takes a share out of those to look at when nothing is left to ask for or to give back.
func (s *Shares) rest(k Key, sh *share, now time.Time) {
	if sh.balance == 0 && sh.asked.IsZero() && now.Sub(sh.used) >= idleTime {
		sh.demand = 0
		delete(s.active, k)
	}
}

// Sweep forgets customers that have been idle.
func (s *Shares) Sweep(now time.Time) {
	for k, sh := range s.shares {
		if s.active[k] == nil && now.Sub(sh.used) >= counterMemory {
			delete(s.shares, k)
		}
	}
}

// Granted takes a counting entry's answer.
func (s *Shares) Granted(g Grant) {
	sh, ok := s.shares[g.Key]
	if !ok || math.IsNaN(float64(g.Got)) || g.Got < 0 {
		return
	}
	sh.asked = time.Time{}
	sh.silent = time.Time{}
	sh.balance += g.Got
}

// Unanswered gives each customer whose counting entry is silent an even share of its limit among the live entries.
func (s *Shares) Unanswered(live int, now time.Time) {
	for k, sh := range s.active {
		if sh.silent.IsZero() || now.Sub(sh.silent) < silence {
			continue
		}
		if now.Sub(sh.filled) > 2*silence {
			sh.filled = now.Add(-Tick)
		}
		got := s.rate(k) / Units(max(1, live)) * Units(now.Sub(sh.filled).Seconds())
		sh.balance = min(sh.balance+got, max(1, s.rate(k)/Units(max(1, live))*Units(burstTime.Seconds())))
		sh.filled = now
	}
}
