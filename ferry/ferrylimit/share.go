package ferrylimit

import (
	"math"
	"time"
)

const (
	// AskInterval is the interval between an entry's asks.
	AskInterval = 50 * time.Millisecond
	// overdraftTime sets the maximum overdraft of an entry: the units that the rate yields in this time.
	overdraftTime = 30 * time.Millisecond
	// maxAskDelay is how long an ask for an overdraft may be delayed while more can be admitted.
	maxAskDelay = 500 * time.Millisecond
	// answerTimeout is how long an entry waits for the answer to an Ask before it takes an even share.
	answerTimeout = 500 * time.Millisecond
	idleAfter     = 2 * AskInterval
)

// share is the allowance of one customer at one entry.
type share struct {
	balance         Units
	demand          Units // admitted or refused since the last Ask
	lastUse         time.Time
	useInterval     time.Duration // interval between the last two uses
	demandSince     time.Time     // time of the oldest demand not yet asked for
	askedAt         time.Time     // time of the last unanswered Ask, or zero
	unansweredSince time.Time     // time of the first unanswered Ask, or zero
	evenShareAt     time.Time     // time of the last even share taken without an answer
}

// Shares is the state of an entry that admits work. It does no I/O and never waits for an answer;
// it must not be used concurrently.
type Shares struct {
	rate   Rate
	shares map[Key]*share
	active map[Key]*share // shares with units to ask for or to return
}

// NewShares returns an empty Shares that takes limits from r.
func NewShares(r Rate) *Shares {
	return &Shares{rate: r, shares: map[Key]*share{}, active: map[Key]*share{}}
}

// Allow admits work of the given cost, or returns how long to wait before the next try.
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
		sh.demandSince = now
	}
	sh.useInterval = now.Sub(sh.lastUse)
	sh.lastUse = now
	sh.demand += cost
	overdraft := maxOverdraft(rate)
	if sh.balance+overdraft < cost && sh.balance < 0 || sh.balance <= -overdraft {
		return false, retryAfter(cost-sh.balance, rate)
	}
	sh.balance -= cost
	return true, 0
}

// maxOverdraft returns how much an entry may admit before it is granted any units.
func maxOverdraft(rate Units) Units {
	return max(1, rate*Units(overdraftTime.Seconds()))
}

func retryAfter(lack, rate Units) time.Duration {
	d := time.Duration(float64(lack) / float64(rate) * float64(time.Second))
	return min(max(d, AskInterval), time.Minute)
}

// Idle reports whether there is nothing to ask for or to return until the next Allow.
func (s *Shares) Idle() bool {
	return len(s.active) == 0
}

// Asks returns the asks to send to the counting entries. It must be called at most once per AskInterval,
// and need not be called while Idle.
func (s *Shares) Asks(now time.Time) []Ask {
	var out []Ask
	for k, sh := range s.active {
		rate := s.rate(k)
		if rate <= 0 {
			delete(s.active, k)
			delete(s.shares, k)
			continue
		}
		if !sh.askedAt.IsZero() && now.Sub(sh.askedAt) < answerTimeout {
			continue
		}
		want := sh.askAmount(rate, now)
		if want == 0 {
			s.deactivateIfIdle(k, sh, now)
			continue
		}
		if want < 0 {
			sh.balance += want
		} else {
			sh.askedAt = now
			if sh.unansweredSince.IsZero() {
				sh.unansweredSince = now
			}
		}
		sh.demand = 0
		out = append(out, Ask{k, want})
	}
	return out
}

// askAmount returns how much to ask for now. If the customer calls in every interval, or its maximum
// overdraft is one call, that is the overdrawn amount plus the demand since the last Ask. Otherwise it is
// the overdrawn amount alone, asked for later if more can be admitted. An idle entry returns its balance,
// as a negative amount.
func (sh *share) askAmount(rate Units, now time.Time) Units {
	switch {
	case sh.balance >= 0 && now.Sub(sh.lastUse) >= idleAfter:
		return -sh.balance
	case sh.useInterval < idleAfter || maxOverdraft(rate) <= 1:
		return max(0, sh.demand-sh.balance)
	case sh.balance+maxOverdraft(rate) >= max(1, sh.demand) && now.Sub(sh.demandSince) < maxAskDelay:
		return 0
	}
	return max(0, -sh.balance)
}

// deactivateIfIdle removes a share from the active ones if there is nothing left to ask for or to return.
func (s *Shares) deactivateIfIdle(k Key, sh *share, now time.Time) {
	if sh.balance == 0 && sh.askedAt.IsZero() && now.Sub(sh.lastUse) >= idleAfter {
		sh.demand = 0
		delete(s.active, k)
	}
}

// PurgeIdle deletes the shares of idle customers.
func (s *Shares) PurgeIdle(now time.Time) {
	for k, sh := range s.shares {
		if s.active[k] == nil && now.Sub(sh.lastUse) >= idleRetention {
			delete(s.shares, k)
		}
	}
}

// Granted adds the units of a counting entry's answer.
func (s *Shares) Granted(g Grant) {
	sh, ok := s.shares[g.Key]
	if !ok || math.IsNaN(float64(g.Got)) || g.Got < 0 {
		return
	}
	sh.askedAt = time.Time{}
	sh.unansweredSince = time.Time{}
	sh.balance += g.Got
}

// AddEvenShares adds, for each customer whose counting entry does not answer, an even share of the limit
// among the live entries.
func (s *Shares) AddEvenShares(live int, now time.Time) {
	for k, sh := range s.active {
		if sh.unansweredSince.IsZero() || now.Sub(sh.unansweredSince) < answerTimeout {
			continue
		}
		if now.Sub(sh.evenShareAt) > 2*answerTimeout {
			sh.evenShareAt = now.Add(-AskInterval)
		}
		got := s.rate(k) / Units(max(1, live)) * Units(now.Sub(sh.evenShareAt).Seconds())
		sh.balance = min(sh.balance+got, max(1, s.rate(k)/Units(max(1, live))*Units(burstTime.Seconds())))
		sh.evenShareAt = now
	}
}
