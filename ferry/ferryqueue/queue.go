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
	// DefaultMaxWait is how long work of the first class may be expected to wait before it is refused.
	DefaultMaxWait = 500 * time.Millisecond
	// maxWaitShare is the part of its deadline that work of the other classes may be expected to wait.
	maxWaitShare = 0.25
	// minBacklog is how many items of a class may wait however long that is, so that few slots don't run empty.
	minBacklog = 2
	// agingAfter is how long an item of a lower class waits before it goes before the higher ones.
	agingAfter = 2 * time.Second
	// lateServiceShare is the part of the predicted service that must still fit before the deadline at the start.
	lateServiceShare = 0.5
	defaultLength    = 1000
)

// Config is what a queue is told by the service document and its shell.
type Config struct {
	Policy   ferryservice.QueuePolicy
	Classes  ferryservice.Classes
	Shares   map[ferryid.CustomerName]float64
	Length   int
	Capacity int
	// ExcessShare is the part of the slots that work beyond customers' shares may hold, all if 0.
	ExcessShare float64
	MaxWait     time.Duration
	Seed        uint64
}

// ConfigOf returns the configuration that a service document asks for.
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
		c.Length = defaultLength
	}
	if c.ExcessShare <= 0 || c.Policy == ferryservice.QueueFifo {
		c.ExcessShare = 1
	}
	if c.MaxWait <= 0 {
		c.MaxWait = DefaultMaxWait
	}
}

// Counts are the sums of a queue since its start; Thrown is work done twice because a running item was cancelled and requeued.
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
	Thrown       ferryid.Tokens `json:"Thrown"`
}

// Queue is the pure core of admission: it owns no clock and no goroutine.
type Queue struct {
	cfg     Config
	lanes   []*lane
	entries map[ferryid.RequestID]*entry
	held    map[ferryid.CustomerName]*holding
	shares  float64
	used    usage
	excess  int
	waiting int
	running int
	dropped []Refusal
	spare   *entry
	live    []*entry
	rng     *rand.Rand
	counts  Counts
}

// New returns an empty queue.
func New(cfg Config) *Queue {
	cfg.setDefaults()
	q := &Queue{
		cfg:     cfg,
		entries: map[ferryid.RequestID]*entry{},
		held:    map[ferryid.CustomerName]*holding{},
		rng:     rand.New(rand.NewPCG(cfg.Seed, 1)),
	}
	q.shares = cfg.shares()
	q.makeLanes()
	return q
}

func (q *Queue) makeLanes() {
	q.lanes = nil
	for _, c := range q.cfg.Classes {
		q.lanes = append(q.lanes, newLane(c))
	}
}

// SetCapacity sets how many items may run at once.
func (q *Queue) SetCapacity(n int) {
	q.cfg.Capacity = max(0, n)
}

// Free is how many more items may start.
func (q *Queue) Free() int {
	return q.cfg.Capacity - q.running
}

// Waiting is how many items wait.
func (q *Queue) Waiting() int {
	return q.waiting
}

// Counts returns the sums since the start.
func (q *Queue) Counts() Counts {
	return q.counts
}

// Enqueue takes an item to wait, or returns the refusal; the refusal is decided before anything is stored.
func (q *Queue) Enqueue(it Item, now time.Time) *Refusal {
	if it.Predicted <= 0 {
		it.Predicted = 1
	}
	l := q.laneOf(&it)
	if r := q.judge(&it, l, now); r != nil {
		q.counts.Refused++
		return r
	}
	if q.waiting >= q.cfg.Length && !it.Resumed {
		if r := q.makeRoom(&it, l, now); r != nil {
			q.counts.Refused++
			return r
		}
	}
	e := q.newEntry(it)
	l.add(q.flowOf(l, it.Customer), e)
	q.entries[it.ID] = e
	q.hold(it.Customer).waiting++
	q.waiting++
	q.counts.Enqueued++
	l.trackDemand(now)
	return nil
}

// Next takes out the item that starts now, if any may start on the free slots.
func (q *Queue) Next(now time.Time, free int) (Item, bool) {
	for free > 0 && q.waiting > 0 {
		l := q.pick(now, free)
		if l == nil {
			return Item{}, false
		}
		e := q.first(l, now)
		if q.late(e, now) {
			q.expire(e, now)
			continue
		}
		q.begin(e, now)
		l.dispatch(e, now)
		q.leaveWaiting(e)
		q.startRunning(e)
		q.counts.Started++
		return e.Item, true
	}
	return Item{}, false
}

// Cancel forgets an item, waiting or running, and reports whether it was known.
func (q *Queue) Cancel(id ferryid.RequestID) bool {
	e, ok := q.entries[id]
	if !ok {
		return false
	}
	if e.running {
		q.stop(e)
		e.lane.charge(e.flow, e.tokens-e.charged)
	} else {
		e.lane.remove(e)
		q.leaveWaiting(e)
	}
	q.forget(e)
	return true
}

// Done ends a running item that produced the given number of tokens in all.
func (q *Queue) Done(id ferryid.RequestID, tokens ferryid.Tokens, now time.Time) bool {
	e, ok := q.entries[id]
	if !ok || !e.running {
		return false
	}
	tokens = max(tokens, e.tokens)
	e.lane.observe(tokens-e.done, now.Sub(e.started))
	e.lane.charge(e.flow, tokens-e.done-e.charged)
	q.counts.Finished++
	q.counts.Served += tokens
	q.stop(e)
	q.forget(e)
	return true
}

// Dropped returns the items refused since the last call though they had been enqueued.
func (q *Queue) Dropped() []Refusal {
	out := q.dropped
	q.dropped = nil
	return out
}

// Expire drops the first waiting items of each customer whose deadline has passed.
func (q *Queue) Expire(now time.Time) {
	for _, l := range q.lanes {
		for i := 0; i < len(l.active); {
			e := l.active[i].head
			if e.Deadline.IsZero() || now.Before(e.Deadline) {
				i++
				continue
			}
			q.expire(e, now)
			i = 0
		}
	}
}

// pick chooses the class to serve: the first that may start, unless a lower one has waited too long.
func (q *Queue) pick(now time.Time, free int) *lane {
	var best *lane
	var oldest time.Duration
	for _, l := range q.lanes {
		e := q.first(l, now)
		if e == nil || !q.mayStart(l, free, now) {
			continue
		}
		age := now.Sub(e.Arrived)
		switch {
		case best == nil:
			best, oldest = l, age
		case age > agingAfter && age > oldest:
			best, oldest = l, age
		}
	}
	return best
}

// mayStart reports whether a slot is left for the class beside what is reserved for the others.
func (q *Queue) mayStart(l *lane, free int, now time.Time) bool {
	l.trackDemand(now)
	if l.running < l.reserved(q.cfg.Capacity) {
		return true
	}
	kept := 0
	for _, o := range q.lanes {
		if o == l {
			continue
		}
		o.trackDemand(now)
		kept += max(0, o.reserved(q.cfg.Capacity)-o.running)
	}
	return free > kept || q.running == 0
}

func (q *Queue) late(e *entry, now time.Time) bool {
	if e.Deadline.IsZero() {
		return false
	}
	need := seconds(lateServiceShare * e.lane.service(e.Predicted).Seconds())
	if q.cfg.Policy == ferryservice.QueueFifo {
		need = 0
	}
	return now.Add(need).After(e.Deadline)
}

func (q *Queue) expire(e *entry, now time.Time) {
	e.lane.remove(e)
	q.leaveWaiting(e)
	q.counts.Expired++
	q.dropped = append(q.dropped, *q.refuse(&e.Item, e.lane, now, ferryoutcome.KindTimeout, "the call waited until it could not be in time"))
	q.forget(e)
}

func (q *Queue) leaveWaiting(e *entry) {
	q.waiting--
	q.held[e.Customer].waiting--
}

func (q *Queue) startRunning(e *entry) {
	e.at = len(q.live)
	q.live = append(q.live, e)
	q.running++
}

func (q *Queue) stop(e *entry) {
	last := q.live[len(q.live)-1]
	q.live[e.at], last.at = last, e.at
	q.live[len(q.live)-1] = nil
	q.live = q.live[:len(q.live)-1]
	q.end(e)
	e.running = false
	e.lane.running--
	e.flow.running--
	q.running--
}

func (q *Queue) forget(e *entry) {
	delete(q.entries, e.ID)
	*e = entry{next: q.spare}
	q.spare = e
}

func (q *Queue) newEntry(it Item) *entry {
	e := q.spare
	if e == nil {
		return &entry{Item: it}
	}
	q.spare = e.next
	*e = entry{Item: it}
	return e
}

func (q *Queue) laneOf(it *Item) *lane {
	for _, l := range q.lanes {
		if it.Class != "" && l.class.Name == it.Class {
			return l
		}
	}
	it.Class = q.cfg.Classes.Of(it.Predicted).Name
	for _, l := range q.lanes {
		if l.class.Name == it.Class {
			return l
		}
	}
	return q.lanes[0]
}
