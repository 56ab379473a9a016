package ferryqueue

import (
	"cmp"
	"math/rand/v2"
	"time"

	"cactusferry.dev/ferry/ferryid"
	"cactusferry.dev/ferry/ferryoutcome"
	"cactusferry.dev/ferry/ferryservice"
)

const (
	// DefaultMaxWait is the predicted wait above which work of the first class is refused.
	DefaultMaxWait = 500 * time.Millisecond
	// maxWaitShare is the same limit for the other classes, as a share of their deadline.
	maxWaitShare = 0.25
	// minBacklog is how many items of a class may wait at any predicted wait, so that a few slots don't run idle.
	minBacklog = 2
	// agingAfter is how long an item of a lower class waits before it takes precedence over higher classes.
	agingAfter = 2 * time.Second
	// lateServiceShare is the share of the predicted service time that must fit before the deadline at the start.
	lateServiceShare   = 0.5
	defaultQueueLength = 1000
)

// Config configures a Queue; most of it comes from the service document.
type Config struct {
	Policy   ferryservice.QueuePolicy
	Classes  ferryservice.Classes
	Shares   map[ferryid.CustomerName]float64
	Length   int
	Capacity int
	// ExcessShare is the part of the slots that work beyond customers' shares may occupy; 0 means all.
	ExcessShare float64
	MaxWait     time.Duration
	Seed        uint64
}

// ConfigOf returns the configuration given by a service document.
func ConfigOf(d *ferryservice.Document) Config {
	cfg := Config{Policy: d.Policy.Queue, Classes: d.Classes, Length: d.Limits.QueueLength, ExcessShare: d.Policy.ExcessShare}
	cfg.Shares = make(map[ferryid.CustomerName]float64, len(d.Customers))
	for _, cu := range d.Customers {
		cfg.Shares[cu.Name] = cu.Share
	}
	for _, u := range d.Upstreams {
		cfg.Capacity += cmp.Or(u.Slots, ferryservice.DefaultSlots)
	}
	return cfg
}

func (c *Config) setDefaults() {
	if c.Policy == "" {
		c.Policy = ferryservice.QueueFair
	}
	if len(c.Classes) == 0 || c.Policy == ferryservice.QueueFifo {
		c.Classes = ferryservice.Classes{{Name: "all"}}
	}
	if c.Length <= 0 {
		c.Length = defaultQueueLength
	}
	if c.ExcessShare <= 0 || c.Policy == ferryservice.QueueFifo {
		c.ExcessShare = 1
	}
	if c.MaxWait <= 0 {
		c.MaxWait = DefaultMaxWait
	}
}

// Counts are totals since the queue's creation.
// Repeated is the work done again because running items were cancelled and requeued.
type Counts struct {
	Enqueued     uint64         `json:"Enqueued"`
	Started      uint64         `json:"Started"`
	Finished     uint64         `json:"Finished"`
	Refused      uint64         `json:"Refused"`
	Evicted      uint64         `json:"Evicted"`
	Expired      uint64         `json:"Expired"`
	Reclassified uint64         `json:"Reclassified"`
	Requeued     uint64         `json:"Requeued"`
	Served       ferryid.Tokens `json:"Served"`
	Repeated     ferryid.Tokens `json:"Thrown"`
}

// Queue implements admission without I/O, clock or goroutines; it must not be used concurrently.
type Queue struct {
	cfg          Config
	classQueues  []*classQueue
	items        map[ferryid.RequestID]*queueItem
	customers    map[ferryid.CustomerName]*customerState
	totalShares  float64
	usage        usage
	excess       int
	waiting      int
	running      int
	dropped      []Refusal
	freeList     *queueItem
	runningItems []*queueItem
	rng          *rand.Rand
	counts       Counts
}

// New returns an empty queue.
func New(cfg Config) *Queue {
	cfg.setDefaults()
	q := &Queue{
		cfg:       cfg,
		items:     map[ferryid.RequestID]*queueItem{},
		customers: map[ferryid.CustomerName]*customerState{},
		rng:       rand.New(rand.NewPCG(cfg.Seed, 1)),
	}
	q.totalShares = cfg.totalShares()
	q.makeClassQueues()
	return q
}

func (q *Queue) makeClassQueues() {
	q.classQueues = nil
	for _, c := range q.cfg.Classes {
		q.classQueues = append(q.classQueues, newClassQueue(c))
	}
}

// SetCapacity sets how many items may run at once.
func (q *Queue) SetCapacity(n int) {
	q.cfg.Capacity = max(0, n)
}

// FreeSlots returns how many more items may start.
func (q *Queue) FreeSlots() int {
	return q.cfg.Capacity - q.running
}

// Waiting returns how many items wait.
func (q *Queue) Waiting() int {
	return q.waiting
}

// Counts returns the totals since the queue's creation.
func (q *Queue) Counts() Counts {
	return q.counts
}

// Enqueue adds an item, or returns its refusal and leaves the item out of the queue.
func (q *Queue) Enqueue(it Item, now time.Time) *Refusal {
	if it.Predicted <= 0 {
		it.Predicted = 1
	}
	cq := q.classQueueOf(&it)
	if r := q.checkAdmission(&it, cq, now); r != nil {
		q.counts.Refused++
		return r
	}
	if q.waiting >= q.cfg.Length && !it.Resumed {
		if r := q.evictFor(&it, cq, now); r != nil {
			q.counts.Refused++
			return r
		}
	}
	e := q.newItem(it)
	cq.add(q.flowOf(cq, it.Customer), e)
	q.items[it.ID] = e
	q.customer(it.Customer).waiting++
	q.waiting++
	q.counts.Enqueued++
	cq.trackDemand(now)
	return nil
}

// Next removes and returns the item to start now; it returns false if none may start on the free slots.
func (q *Queue) Next(now time.Time, free int) (Item, bool) {
	for free > 0 && q.waiting > 0 {
		cq := q.pickClass(now, free)
		if cq == nil {
			return Item{}, false
		}
		e := q.nextOf(cq, now)
		if q.tooLate(e, now) {
			q.expire(e, now)
			continue
		}
		q.countStart(e, now)
		cq.dispatch(e, now)
		q.leaveWaiting(e)
		q.startRunning(e)
		q.counts.Started++
		return e.Item, true
	}
	return Item{}, false
}

// Cancel removes a waiting or running item and reports whether it existed.
func (q *Queue) Cancel(id ferryid.RequestID) bool {
	e, ok := q.items[id]
	if !ok {
		return false
	}
	if e.running {
		q.stopRunning(e)
		e.classQueue.charge(e.flow, e.tokens-e.charged)
	} else {
		e.classQueue.remove(e)
		q.leaveWaiting(e)
	}
	q.removeItem(e)
	return true
}

// Done ends a running item, which produced the given tokens in total, and reports whether it was running.
func (q *Queue) Done(id ferryid.RequestID, tokens ferryid.Tokens, now time.Time) bool {
	e, ok := q.items[id]
	if !ok || !e.running {
		return false
	}
	tokens = max(tokens, e.tokens)
	e.classQueue.observe(tokens-e.priorTokens, now.Sub(e.started))
	e.classQueue.charge(e.flow, tokens-e.priorTokens-e.charged)
	q.counts.Finished++
	q.counts.Served += tokens
	q.stopRunning(e)
	q.removeItem(e)
	return true
}

// Dropped returns the items refused after they were enqueued, since the last call.
func (q *Queue) Dropped() []Refusal {
	out := q.dropped
	q.dropped = nil
	return out
}

// Expire drops items past their deadline from the front of each customer's queue.
func (q *Queue) Expire(now time.Time) {
	for _, cq := range q.classQueues {
		for i := 0; i < len(cq.active); {
			e := cq.active[i].head
			if e.Deadline.IsZero() || now.Before(e.Deadline) {
				i++
				continue
			}
			q.expire(e, now)
			i = 0
		}
	}
}

// pickClass returns the class to serve: the first that may start, unless a lower one has waited too long.
func (q *Queue) pickClass(now time.Time, free int) *classQueue {
	var best *classQueue
	var oldest time.Duration
	for _, cq := range q.classQueues {
		e := q.nextOf(cq, now)
		if e == nil || !q.mayStart(cq, free, now) {
			continue
		}
		age := now.Sub(e.Arrived)
		switch {
		case best == nil:
			best, oldest = cq, age
		case age > agingAfter && age > oldest:
			best, oldest = cq, age
		}
	}
	return best
}

// mayStart reports whether a slot is free for the class beside those reserved for others.
func (q *Queue) mayStart(cq *classQueue, free int, now time.Time) bool {
	cq.trackDemand(now)
	if cq.running < cq.reserved(q.cfg.Capacity) {
		return true
	}
	reservedForOthers := 0
	for _, o := range q.classQueues {
		if o == cq {
			continue
		}
		o.trackDemand(now)
		reservedForOthers += max(0, o.reserved(q.cfg.Capacity)-o.running)
	}
	return free > reservedForOthers || q.running == 0
}

func (q *Queue) tooLate(e *queueItem, now time.Time) bool {
	if e.Deadline.IsZero() {
		return false
	}
	need := seconds(lateServiceShare * e.classQueue.serviceTime(e.Predicted).Seconds())
	if q.cfg.Policy == ferryservice.QueueFifo {
		need = 0
	}
	return now.Add(need).After(e.Deadline)
}

func (q *Queue) expire(e *queueItem, now time.Time) {
	e.classQueue.remove(e)
	q.leaveWaiting(e)
	q.counts.Expired++
	q.dropped = append(q.dropped, *q.refuse(&e.Item, e.classQueue, now, ferryoutcome.KindTimeout, "the call waited until it could not be in time"))
	q.removeItem(e)
}

func (q *Queue) leaveWaiting(e *queueItem) {
	q.waiting--
	q.customers[e.Customer].waiting--
}

func (q *Queue) startRunning(e *queueItem) {
	e.index = len(q.runningItems)
	q.runningItems = append(q.runningItems, e)
	q.running++
}

func (q *Queue) stopRunning(e *queueItem) {
	last := q.runningItems[len(q.runningItems)-1]
	q.runningItems[e.index], last.index = last, e.index
	q.runningItems[len(q.runningItems)-1] = nil
	q.runningItems = q.runningItems[:len(q.runningItems)-1]
	q.countEnd(e)
	e.running = false
	e.classQueue.running--
	e.flow.running--
	q.running--
}

func (q *Queue) removeItem(e *queueItem) {
	delete(q.items, e.ID)
	*e = queueItem{next: q.freeList}
	q.freeList = e
}

func (q *Queue) newItem(it Item) *queueItem {
	e := q.freeList
	if e == nil {
		return &queueItem{Item: it}
	}
	q.freeList = e.next
	*e = queueItem{Item: it}
	return e
}

func (q *Queue) classQueueOf(it *Item) *classQueue {
	for _, cq := range q.classQueues {
		if it.Class != "" && cq.class.Name == it.Class {
			return cq
		}
	}
	it.Class = q.cfg.Classes.ForTokens(it.Predicted).Name
	for _, cq := range q.classQueues {
		if cq.class.Name == it.Class {
			return cq
		}
	}
	return q.classQueues[0]
}
