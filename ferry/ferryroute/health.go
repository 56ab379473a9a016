package ferryroute

import (
	"slices"
	"time"

	"cactusferry.dev/ferry/ferryid"
)

const (
	// recentWeight is the weight of one observation in an upstream's recent speed.
	recentWeight = 1.0 / 8
	// riseWeight is the weight of one that is above the recent speed of all slots.
	riseWeight = 1.0 / 2
	// baselineWeight is the weight of one observation in what is expected of an upstream without a stated rate.
	baselineWeight = 1.0 / 256
	minSamples     = 8
	// slowShare is the part of the usual speed below which an upstream is slow.
	slowShare = 0.5
	// maxSlowShare is the part of all upstreams that may be out for slowness at once.
	maxSlowShare   = 1.0 / 3
	failuresToDown = 3
	probesToLive   = 3
	minTimeOut     = 2 * time.Second
	maxTimeOut     = 30 * time.Second
)

// speed is what one slot of an upstream serves, in tokens/s; whole is the same over all slots that are taken, by the
// quicker streams, since others may wait for another stage.
type speed struct {
	expected float64
	baseline float64
	recent   float64
	whole    float64
	samples  int
}

func (s *speed) observe(r float64, running int) {
	s.samples++
	whole := r * float64(max(1, running))
	if s.samples == 1 {
		s.recent, s.whole = r, whole
	}
	s.recent += recentWeight * (r - s.recent)
	w := recentWeight
	if whole > s.whole {
		w = riseWeight
	}
	s.whole += w * (whole - s.whole)
	if s.baseline == 0 {
		s.baseline = r
	}
	s.baseline += baselineWeight * (r - s.baseline)
}

func (s *speed) restart() {
	s.samples, s.recent, s.whole = 0, 0, 0
}

// relative is the recent speed of a slot, and that of all slots together, over the expected one.
func (u *upstream) relative() (slot, whole float64, ok bool) {
	s := &u.speed
	want := s.expected
	if want <= 0 {
		want = s.baseline
	}
	if s.samples < minSamples || want <= 0 {
		return 0, 0, false
	}
	return s.recent / want, s.whole / (want * float64(max(1, u.row.slots))), true
}

// health is whether an upstream is out, and for how long.
type health struct {
	state   State
	until   time.Time
	timeOut time.Duration
	fails   int
	probes  int
}

func (h *health) due(now time.Time) bool {
	return (h.state == StateSlow || h.state == StateDown) && !now.Before(h.until)
}

// takeOut doubles the time out with each repetition.
func (h *health) takeOut(s State, now time.Time) {
	h.timeOut = min(max(2*h.timeOut, minTimeOut), maxTimeOut)
	h.state, h.until, h.probes = s, now.Add(h.timeOut), 0
}

func (t *Table) observe(u *upstream, n ferryid.Tokens, d time.Duration, now time.Time) {
	if n <= 0 || d <= 0 {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	u.speed.observe(float64(n)/d.Seconds(), u.row.load.running())
	u.setRate()
	if u.health.state != "" && u.health.state != StateProbing {
		return
	}
	if t.slow(u) {
		u.health.takeOut(StateSlow, now)
		t.publish()
	}
}

// slow compares an upstream's relative speed with the median of all, so that a busy hour takes nobody out; each slot must be slow
// and all of them together, so that nobody is out for having more streams than others, or fewer. One that serves its slots as
// expected is never slow, however quick the others are while they have little to do.
func (t *Table) slow(u *upstream) bool {
	mine, mineWhole, ok := u.relative()
	if !ok {
		return false
	}
	out := 0
	all := make([]float64, 0, len(t.upstreams))
	wholes := make([]float64, 0, len(t.upstreams))
	for _, o := range t.upstreams {
		if o.health.state == StateSlow {
			out++
		}
		if r, whole, ok := o.relative(); ok {
			all, wholes = append(all, r), append(wholes, whole)
		}
	}
	if len(all) < 3 || float64(out+1) > maxSlowShare*float64(len(t.upstreams)) {
		return false
	}
	slices.Sort(all)
	slices.Sort(wholes)
	return mine < slowShare*min(1, all[len(all)/2]) && mineWhole < slowShare*wholes[len(wholes)/2]
}

func (t *Table) succeeded(u *upstream) {
	t.mu.Lock()
	defer t.mu.Unlock()
	u.health.fails = 0
	if u.health.state != StateProbing {
		return
	}
	u.health.probes++
	if u.health.probes >= probesToLive {
		u.health = health{}
		t.publish()
	}
}

func (t *Table) failed(u *upstream, f Failure, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	u.health.fails++
	if f != FailureConnection && u.health.fails < failuresToDown && u.health.state != StateProbing {
		return
	}
	if u.health.state == StateDown {
		return
	}
	u.health.takeOut(StateDown, now)
	t.publish()
}
