package ferryqueue

import (
	"math"
	"time"

	"cactusferry.dev/ferry/ferryid"
	"cactusferry.dev/ferry/ferryservice"
)

const (
	// demandDecay is the time constant with which the tracked demand of a class decays.
	demandDecay = 30 * time.Second
	// demandMargin is the limit of a class's reserved slots, relative to its recent demand.
	demandMargin = 1.25
	// slotRateWeight is the weight of one finished item in the moving average of a slot's rate.
	slotRateWeight = 1.0 / 64
	// slotFallWeight is the weight of an item slower than the average. It is larger, since an overestimated rate
	// admits work that then misses its deadline.
	slotFallWeight = 1.0 / 16
)

// classQueue holds the waiting work of one class; customers share it by start-time fair queueing.
type classQueue struct {
	class         ferryservice.Class
	virtualTime   float64
	flows         map[ferryid.CustomerName]*flow
	active        flowHeap
	activeWeight  float64
	waiting       int
	backlog       ferryid.Tokens
	running       int
	demand        float64
	demandAt      time.Time
	slotRate      float64
	refusedTokens ferryid.Tokens
	refusedAt     time.Time
}

func newClassQueue(c ferryservice.Class) *classQueue {
	return &classQueue{class: c, flows: map[ferryid.CustomerName]*flow{}}
}

func (l *classQueue) add(f *flow, e *entry) {
	e.flow, e.classQueue = f, l
	f.pushBack(e)
	l.onAdded(f, e)
}

// addFront adds work that has already run in part before the customer's other work.
func (l *classQueue) addFront(f *flow, e *entry) {
	e.flow, e.classQueue = f, l
	f.pushFront(e)
	l.onAdded(f, e)
}

func (l *classQueue) onAdded(f *flow, e *entry) {
	l.waiting++
	l.backlog += e.Predicted
	if f.n == 1 {
		f.start = max(l.virtualTime, f.start)
		l.active.add(f)
		l.activeWeight += f.weight
	}
}

func (l *classQueue) remove(e *entry) {
	f := e.flow
	f.remove(e)
	l.waiting--
	l.backlog -= e.Predicted
	if f.n == 0 {
		l.active.remove(f)
		l.activeWeight -= f.weight
	}
	if len(l.active) == 0 {
		l.activeWeight = 0
	}
}

// head returns the next item in virtual time, or nil.
func (l *classQueue) head() *entry {
	if len(l.active) == 0 {
		return nil
	}
	return l.active[0].head
}

// dispatch removes the item and charges its customer with the predicted work.
func (l *classQueue) dispatch(e *entry, now time.Time) {
	f := e.flow
	l.virtualTime = max(l.virtualTime, f.start)
	l.remove(e)
	e.running, e.started, e.charged = true, now, e.Predicted
	l.running++
	f.running++
	l.charge(f, e.Predicted)
}

// charge advances a flow's virtual start time by the work charged.
func (l *classQueue) charge(f *flow, n ferryid.Tokens) {
	f.start += float64(n) / f.weight
	if f.n > 0 {
		l.active.update(f)
	}
}

// observe updates the rate of a slot from a finished item.
func (l *classQueue) observe(n ferryid.Tokens, d time.Duration) {
	if n <= 0 || d <= 0 {
		return
	}
	r := float64(n) / d.Seconds()
	if l.slotRate == 0 {
		l.slotRate = r
		return
	}
	w := slotRateWeight
	if r < l.slotRate {
		w = slotFallWeight
	}
	l.slotRate += w * (r - l.slotRate)
}

func (l *classQueue) trackDemand(now time.Time) {
	dt := now.Sub(l.demandAt)
	if dt > 0 {
		l.demand *= math.Exp(-dt.Seconds() / demandDecay.Seconds())
		l.demandAt = now
	}
	l.demand = max(l.demand, float64(l.running+l.waiting))
}

// reserved returns how many slots are reserved for the class: its share, limited by its recent demand,
// so that slots it has not needed recently are free for other classes.
func (l *classQueue) reserved(capacity int) int {
	share := math.Ceil(l.class.ReservedShare * float64(capacity))
	return int(min(share, math.Ceil(demandMargin*l.demand)))
}

// serviceTime returns how long work of n tokens takes once started, 0 while the rate is unknown.
func (l *classQueue) serviceTime(n ferryid.Tokens) time.Duration {
	if l.slotRate <= 0 {
		return 0
	}
	return seconds(float64(n) / l.slotRate)
}

func seconds(s float64) time.Duration {
	return time.Duration(min(s, maxSeconds) * float64(time.Second))
}

const maxSeconds = 1e9
