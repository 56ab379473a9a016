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
	class       ferryservice.Class
	virtualTime float64
	flows       map[ferryid.CustomerName]*flow
	active      flowHeap
	// activeWeight is the sum of the weights of the active flows.
	activeWeight float64
	waiting      int
	backlog      ferryid.Tokens
	running      int
	// demand is the decaying maximum of the running and waiting items, as of demandAt.
	demand   float64
	demandAt time.Time
	// slotRate is the moving average of the rate of one slot in tokens/s, 0 while unknown.
	slotRate float64
	// refusedTokens is the refused work less what could have been served since, as of refusedAt.
	refusedTokens ferryid.Tokens
	refusedAt     time.Time
}

func newClassQueue(c ferryservice.Class) *classQueue {
	return &classQueue{class: c, flows: map[ferryid.CustomerName]*flow{}}
}

func (cq *classQueue) add(f *flow, e *queueItem) {
	e.flow, e.classQueue = f, cq
	f.pushBack(e)
	cq.onAdded(f, e)
}

// addFront adds work that has already run in part before the customer's other work.
func (cq *classQueue) addFront(f *flow, e *queueItem) {
	e.flow, e.classQueue = f, cq
	f.pushFront(e)
	cq.onAdded(f, e)
}

func (cq *classQueue) onAdded(f *flow, e *queueItem) {
	cq.waiting++
	cq.backlog += e.Predicted
	if f.n == 1 {
		f.start = max(cq.virtualTime, f.start)
		cq.active.add(f)
		cq.activeWeight += f.weight
	}
}

func (cq *classQueue) remove(e *queueItem) {
	f := e.flow
	f.remove(e)
	cq.waiting--
	cq.backlog -= e.Predicted
	if f.n == 0 {
		cq.active.remove(f)
		cq.activeWeight -= f.weight
	}
	if len(cq.active) == 0 {
		cq.activeWeight = 0
	}
}

// head returns the next item in virtual time, or nil.
func (cq *classQueue) head() *queueItem {
	if len(cq.active) == 0 {
		return nil
	}
	return cq.active[0].head
}

// dispatch removes the item and charges its customer with the predicted work.
func (cq *classQueue) dispatch(e *queueItem, now time.Time) {
	f := e.flow
	cq.virtualTime = max(cq.virtualTime, f.start)
	cq.remove(e)
	e.running, e.started, e.charged = true, now, e.Predicted
	cq.running++
	f.running++
	cq.charge(f, e.Predicted)
}

// charge advances a flow's virtual start time by the work charged.
func (cq *classQueue) charge(f *flow, n ferryid.Tokens) {
	f.start += float64(n) / f.weight
	if f.n > 0 {
		cq.active.update(f)
	}
}

// observe updates the rate of a slot from a finished item.
func (cq *classQueue) observe(n ferryid.Tokens, d time.Duration) {
	if n <= 0 || d <= 0 {
		return
	}
	r := float64(n) / d.Seconds()
	if cq.slotRate == 0 {
		cq.slotRate = r
		return
	}
	w := slotRateWeight
	if r < cq.slotRate {
		w = slotFallWeight
	}
	cq.slotRate += w * (r - cq.slotRate)
}

func (cq *classQueue) trackDemand(now time.Time) {
	dt := now.Sub(cq.demandAt)
	if dt > 0 {
		cq.demand *= math.Exp(-dt.Seconds() / demandDecay.Seconds())
		cq.demandAt = now
	}
	cq.demand = max(cq.demand, float64(cq.running+cq.waiting))
}

// reserved returns how many slots are reserved for the class: its share, limited by its recent demand,
// so that slots it has not needed recently are free for other classes.
func (cq *classQueue) reserved(capacity int) int {
	share := math.Ceil(cq.class.ReservedShare * float64(capacity))
	return int(min(share, math.Ceil(demandMargin*cq.demand)))
}

// serviceTime returns how long work of n tokens takes once started, 0 while the rate is unknown.
func (cq *classQueue) serviceTime(n ferryid.Tokens) time.Duration {
	if cq.slotRate <= 0 {
		return 0
	}
	return seconds(float64(n) / cq.slotRate)
}

func seconds(s float64) time.Duration {
	return time.Duration(min(s, maxSeconds) * float64(time.Second))
}

const maxSeconds = 1e9
