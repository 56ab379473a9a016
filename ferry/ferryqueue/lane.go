package ferryqueue

import (
	"math"
	"time"

	"cactusferry.dev/ferry/ferryid"
	"cactusferry.dev/ferry/ferryservice"
)

const (
	// demandDecay is the time constant with which the demand of a class is forgotten.
	demandDecay = 30 * time.Second
	// demandMargin is how much more than its recent demand a class may keep reserved.
	demandMargin = 1.25
	// slotRateWeight is the weight of one finished item in the measured rate of a slot.
	slotRateWeight = 1.0 / 64
	// slotFallWeight is that of one slower than the rate, since a rate taken for too high admits work that will be late.
	slotFallWeight = 1.0 / 16
)

// lane is the waiting work of one class; its customers share it by start-time fair queueing.
type lane struct {
	class    ferryservice.Class
	virtual  float64
	flows    map[ferryid.CustomerName]*flow
	active   flowHeap
	weights  float64
	waiting  int
	backlog  ferryid.Tokens
	running  int
	demand   float64
	demandAt time.Time
	slotRate float64
	missed   ferryid.Tokens
	missedAt time.Time
}

func newLane(c ferryservice.Class) *lane {
	return &lane{class: c, flows: map[ferryid.CustomerName]*flow{}}
}

func (l *lane) add(f *flow, e *entry) {
	e.flow, e.lane = f, l
	f.pushBack(e)
	l.entered(f, e)
}

// addFront puts work that had already begun before the customer's other work.
func (l *lane) addFront(f *flow, e *entry) {
	e.flow, e.lane = f, l
	f.pushFront(e)
	l.entered(f, e)
}

func (l *lane) entered(f *flow, e *entry) {
	l.waiting++
	l.backlog += e.Predicted
	if f.n == 1 {
		f.start = max(l.virtual, f.start)
		l.active.add(f)
		l.weights += f.weight
	}
}

func (l *lane) remove(e *entry) {
	f := e.flow
	f.remove(e)
	l.waiting--
	l.backlog -= e.Predicted
	if f.n == 0 {
		l.active.drop(f)
		l.weights -= f.weight
	}
	if len(l.active) == 0 {
		l.weights = 0
	}
}

// head is the item that is served next, or nil.
func (l *lane) head() *entry {
	if len(l.active) == 0 {
		return nil
	}
	return l.active[0].head
}

// dispatch takes the head out and charges its customer with the predicted work.
func (l *lane) dispatch(e *entry, now time.Time) {
	f := e.flow
	l.virtual = max(l.virtual, f.start)
	l.remove(e)
	e.running, e.started, e.charged = true, now, e.Predicted
	l.running++
	f.running++
	l.charge(f, e.Predicted)
}

// charge moves a customer's place by the work it has had.
func (l *lane) charge(f *flow, n ferryid.Tokens) {
	f.start += float64(n) / f.weight
	if f.n > 0 {
		l.active.update(f)
	}
}

// observe learns what one slot serves, from a finished item.
func (l *lane) observe(n ferryid.Tokens, d time.Duration) {
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

func (l *lane) trackDemand(now time.Time) {
	dt := now.Sub(l.demandAt)
	if dt > 0 {
		l.demand *= math.Exp(-dt.Seconds() / demandDecay.Seconds())
		l.demandAt = now
	}
	l.demand = max(l.demand, float64(l.running+l.waiting))
}

// reserved is how many slots are kept for the class; what it has not needed of late is free for others.
func (l *lane) reserved(capacity int) int {
	share := math.Ceil(l.class.ReservedShare * float64(capacity))
	return int(min(share, math.Ceil(demandMargin*l.demand)))
}

// service is how long work of n tokens takes once started, zero while unknown.
func (l *lane) service(n ferryid.Tokens) time.Duration {
	if l.slotRate <= 0 {
		return 0
	}
	return seconds(float64(n) / l.slotRate)
}

func seconds(s float64) time.Duration {
	return time.Duration(min(s, maxSeconds) * float64(time.Second))
}

const maxSeconds = 1e9
