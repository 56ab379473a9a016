package ferryexperiment

import (
	"cmp"
	"container/heap"
	"math"
	"slices"
	"time"

	"cactusferry.dev/ferry/ferryid"
	"cactusferry.dev/ferrybench/ferryworkload"
)

// progressStep is how many tokens a stream produces between two looks at it.
const progressStep = 8

// unit is a fake runner or pipeline: continuous batching in slots, whose streams share its rate equally.
type unit struct {
	spec     ferryworkload.Unit
	index    int
	alive    bool
	factor   float64
	served   float64
	last     time.Duration
	jobs     jobHeap
	queue    []*job
	version  int
	prefixes []uint64
}

// job is one call on a unit; next is the value of unit.served at which it reaches its next milestone.
type job struct {
	call     *call
	unit     *unit
	priority int
	prefill  bool
	step     float64
	next     float64
	at       int
}

type jobHeap []*job

func (h jobHeap) Len() int           { return len(h) }
func (h jobHeap) Less(i, j int) bool { return h[i].next < h[j].next }

func (h jobHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].at, h[j].at = i, j
}

// Push adds a job.
func (h *jobHeap) Push(x any) {
	j := x.(*job)
	j.at = len(*h)
	*h = append(*h, j)
}

// Pop removes the last job.
func (h *jobHeap) Pop() any {
	last := len(*h) - 1
	j := (*h)[last]
	*h = (*h)[:last]
	j.at = -1
	return j
}

// speed is what each running stream gets, in tokens/s.
func (u *unit) speed() float64 {
	k := float64(max(1, len(u.jobs)))
	alone := u.spec.StreamRate
	if u.spec.Curve == ferryworkload.CurveLine {
		perStream := max(0, 1/u.spec.Rate-1/(alone*float64(u.spec.Slots)))
		return u.factor / (1/alone + k*perStream)
	}
	return u.factor * min(alone, u.spec.Rate/k)
}

func (u *unit) advance(now time.Duration) {
	u.served += u.speed() * (now - u.last).Seconds()
	u.last = now
}

// due is when the first milestone is reached.
func (u *unit) due(now time.Duration) time.Duration {
	left := max(0, u.jobs[0].next-u.served)
	return now + time.Duration(math.Ceil(left/u.speed()*float64(time.Second)))
}

// add starts a job, or queues it by priority while all slots are taken.
func (u *unit) add(j *job) {
	if len(u.jobs) < u.spec.Slots {
		u.begin(j)
		return
	}
	j.at = -1
	i, _ := slices.BinarySearchFunc(u.queue, j, func(a, b *job) int {
		return cmp.Or(cmp.Compare(a.priority, b.priority), -1)
	})
	u.queue = slices.Insert(u.queue, i, j)
}

func (u *unit) begin(j *job) {
	j.prefill = true
	j.step = ferryworkload.PrefillShare * float64(u.unread(j.call))
	j.next = u.served + j.step
	heap.Push(&u.jobs, j)
}

// unread is how much of the history has to be read, less the prompt prefix the unit still holds.
func (u *unit) unread(c *call) ferryid.Tokens {
	n := c.Arrival.Prompt + ferryid.Tokens(c.produced)
	if u.spec.Prefixes == 0 || c.Arrival.Prefix == 0 {
		return n
	}
	p := c.Arrival.Prefix
	i := slices.Index(u.prefixes, p)
	if i >= 0 {
		u.prefixes = slices.Delete(u.prefixes, i, i+1)
		n -= c.Arrival.Kind.Shared
	} else if len(u.prefixes) >= u.spec.Prefixes {
		u.prefixes = u.prefixes[1:]
	}
	u.prefixes = append(u.prefixes, p)
	return max(0, n)
}

// remove takes a job off, running or queued, and starts the next in its slot.
func (u *unit) remove(j *job) {
	if j.at < 0 {
		if i := slices.Index(u.queue, j); i >= 0 {
			u.queue = slices.Delete(u.queue, i, i+1)
		}
		return
	}
	heap.Remove(&u.jobs, j.at)
	j.at = -1
	if len(u.queue) > 0 && len(u.jobs) < u.spec.Slots {
		next := u.queue[0]
		u.queue = u.queue[1:]
		u.begin(next)
	}
}

// outstanding is what the unit would report: the predicted rest of its work.
func (u *unit) outstanding() (tokens float64, streams int) {
	for _, j := range u.jobs {
		tokens += j.call.left()
	}
	for _, j := range u.queue {
		tokens += j.call.left()
	}
	return tokens, len(u.jobs) + len(u.queue)
}
