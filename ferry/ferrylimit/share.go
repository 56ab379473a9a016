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
	// silence is how long an unanswered Ask is waited for, before an even share is taken instead.
	silence  = 500 * time.Millisecond
	idleTime = 2 * Tick
)

// share is one customer's allowance at one entry.
type share struct {
	balance Units
	demand  Units // since the last Ask
	used    time.Time
	asked   time.Time // of the last unanswered Ask, or zero
	silent  time.Time // of the first unanswered Ask, or zero
	filled  time.Time // of the last even share taken without an answer
}

// Shares is the pure core of an entry that admits work; it never waits for an answer.
type Shares struct {
	rate   Rate
	shares map[Key]*share
}

// NewShares returns shares that take limits from the documents in force.
func NewShares(r Rate) *Shares {
	return &Shares{rate: r, shares: map[Key]*share{}}
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
	sh.used = now
	sh.demand += cost
	debt := max(1, rate*Units(debtTime.Seconds()))
	if sh.balance+debt < cost && sh.balance < 0 || sh.balance <= -debt {
		return false, retryAfter(cost-sh.balance, rate)
	}
	sh.balance -= cost
	return true, 0
}

func retryAfter(lack, rate Units) time.Duration {
	d := time.Duration(float64(lack) / float64(rate) * float64(time.Second))
	return min(max(d, Tick), time.Minute)
}

// Asks returns what to ask of the counting entries, once a Tick.
func (s *Shares) Asks(now time.Time) []Ask {
	var out []Ask
	for k, sh := range s.shares {
		if !sh.asked.IsZero() && now.Sub(sh.asked) < silence {
			continue
		}
		want := sh.want(now)
		if want == 0 {
			s.drop(k, sh, now)
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

// want is the debt and the demand of the last tick again, less what is at hand; an idle entry gives back.
func (sh *share) want(now time.Time) Units {
	if now.Sub(sh.used) >= idleTime {
		return -sh.balance
	}
	return max(0, sh.demand-sh.balance)
}

func (s *Shares) drop(k Key, sh *share, now time.Time) {
	if sh.balance == 0 && now.Sub(sh.used) >= counterMemory {
		delete(s.shares, k)
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
	for k, sh := range s.shares {
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
