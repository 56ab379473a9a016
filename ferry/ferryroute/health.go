package ferryroute

import (
	"slices"
	"time"

	"cactusferry.dev/ferry/ferryid"
)

const (
	// recentWeight is the weight of one measurement in the moving average of the recent speed.
	recentWeight = 1.0 / 8
	// riseWeight is the weight of one measurement in the speed over all slots if it is above the average.
	riseWeight = 1.0 / 2
	// baselineWeight is the weight of one measurement in the baseline, which is the expected speed of an
	// upstream without a configured rate.
	baselineWeight = 1.0 / 256
	minSamples     = 8
	// slowShare is the fraction of the median speed below which an upstream is slow.
	slowShare = 0.5
	// maxSlowShare is the maximum fraction of upstreams that are excluded as slow at once.
	maxSlowShare   = 1.0 / 3
	failuresToDown = 3
	probesToLive   = 3
	minExclusion   = 2 * time.Second
	maxExclusion   = 30 * time.Second
)

// speed is the speed of one slot of an upstream in tokens/s.
//
// allSlots is the speed over all occupied slots. It follows the faster streams, since slower ones
// may wait for another stage.
type speed struct {
	expected float64
	baseline float64
	recent   float64
	allSlots float64
	samples  int
}

func (s *speed) observe(r float64, running int) {
	s.samples++
	total := r * float64(max(1, running))
	if s.samples == 1 {
		s.recent, s.allSlots = r, total
	}
	s.recent += recentWeight * (r - s.recent)
	w := recentWeight
	if total > s.allSlots {
		w = riseWeight
	}
	s.allSlots += w * (total - s.allSlots)
	if s.baseline == 0 {
		s.baseline = r
	}
	s.baseline += baselineWeight * (r - s.baseline)
}

func (s *speed) restart() {
	s.samples, s.recent, s.allSlots = 0, 0, 0
}

// relative returns the recent speed of one slot and of all slots, each divided by the expected one.
func (u *upstream) relative() (slot, allSlots float64, ok bool) {
	s := &u.speed
	want := s.expected
	if want <= 0 {
		want = s.baseline
	}
	if s.samples < minSamples || want <= 0 {
		return 0, 0, false
	}
	return s.recent / want, s.allSlots / (want * float64(max(1, u.row.slots))), true
}

// health is the failure and slowness state of an upstream.
type health struct {
	state         State
	excludedUntil time.Time
	exclusion     time.Duration
	fails         int
	probes        int
}

func (h *health) due(now time.Time) bool {
	return (h.state == StateSlow || h.state == StateDown) && !now.Before(h.excludedUntil)
}

// exclude takes an upstream out of selection for twice as long as the last time, up to maxExclusion.
func (h *health) exclude(s State, now time.Time) {
	h.exclusion = min(max(2*h.exclusion, minExclusion), maxExclusion)
	h.state, h.excludedUntil, h.probes = s, now.Add(h.exclusion), 0
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
	if t.isSlow(u) {
		u.health.exclude(StateSlow, now)
		t.publish()
	}
}

// isSlow compares an upstream's relative speed with the median of all, so that high load excludes no upstream.
//
// Both the speed of a slot and that of all slots must be low, so that the number of streams alone
// makes no upstream slow. An upstream with the expected speed per slot is never slow, however fast
// the others are at low load.
func (t *Table) isSlow(u *upstream) bool {
	own, ownAllSlots, ok := u.relative()
	if !ok {
		return false
	}
	excluded := 0
	all := make([]float64, 0, len(t.upstreams))
	allSlots := make([]float64, 0, len(t.upstreams))
	for _, o := range t.upstreams {
		if o.health.state == StateSlow {
			excluded++
		}
		if r, otherAllSlots, ok := o.relative(); ok {
			all, allSlots = append(all, r), append(allSlots, otherAllSlots)
		}
	}
	if len(all) < 3 || float64(excluded+1) > maxSlowShare*float64(len(t.upstreams)) {
		return false
	}
	slices.Sort(all)
	slices.Sort(allSlots)
	return own < slowShare*min(1, all[len(all)/2]) && ownAllSlots < slowShare*allSlots[len(allSlots)/2]
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
	u.health.exclude(StateDown, now)
	t.publish()
}
