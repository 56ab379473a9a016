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

// progressStep is the number of tokens that a stream produces between two events.
const progressStep = 8

// unit is a simulated runner or pipeline with continuous batching. Its running streams share its rate
// equally, and served is the cumulative number of tokens that each of them was served.
type unit struct {
	spec        ferryworkload.Unit
	index       int
	alive       bool
	factor      float64
	served      float64
	lastAdvance time.Duration
	jobs        jobHeap
	queue       []*job
	version     int
	prefixes    []uint64
}

// job is one call on a unit. next is the value of unit.served at the next milestone; heapIndex is its index
// in the heap, or -1.
type job struct {
	call      *call
	unit      *unit
	priority  int
	prefill   bool
	step      float64
	next      float64
	heapIndex int
}

type jobHeap []*job

func (h jobHeap) Len() int           { return len(h) }
func (h jobHeap) Less(i, j int) bool { return h[i].next < h[j].next }

func (h jobHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].heapIndex, h[j].heapIndex = i, j
}

// Push adds a job.
func (h *jobHeap) Push(x any) {
	j := x.(*job)
	j.heapIndex = len(*h)
	*h = append(*h, j)
}

// Pop removes the last job.
func (h *jobHeap) Pop() any {
	last := len(*h) - 1
	j := (*h)[last]
	*h = (*h)[:last]
	j.heapIndex = -1
	return j
}

// speed returns the rate of each running stream in tokens/s.
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
	u.served += u.speed() * (now - u.lastAdvance).Seconds()
	u.lastAdvance = now
}

// nextMilestone returns the time of the next milestone.
func (u *unit) nextMilestone(now time.Duration) time.Duration {
	left := max(0, u.jobs[0].next-u.served)
	return now + time.Duration(math.Ceil(left/u.speed()*float64(time.Second)))
}

// add starts a job, or queues it by priority if all slots are in use.
func (u *unit) add(j *job) {
	if len(u.jobs) < u.spec.Slots {
		u.begin(j)
		return
	}
	j.heapIndex = -1
	i, _ := slices.BinarySearchFunc(u.queue, j, func(a, b *job) int {
		return cmp.Or(cmp.Compare(a.priority, b.priority), -1)
	})
	u.queue = slices.Insert(u.queue, i, j)
}

func (u *unit) begin(j *job) {
	j.prefill = true
	j.step = ferryworkload.PrefillShare * float64(u.prefillTokens(j.call))
	j.next = u.served + j.step
	heap.Push(&u.jobs, j)
}

// prefillTokens returns the number of tokens to prefill: the prompt and the produced tokens, less a cached
// prompt prefix. It marks the prefix as the most recently used.
func (u *unit) prefillTokens(c *call) ferryid.Tokens {
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

// remove removes a running or queued job and starts the next queued job in a slot that becomes free.
func (u *unit) remove(j *job) {
	if j.heapIndex < 0 {
		if i := slices.Index(u.queue, j); i >= 0 {
			u.queue = slices.Delete(u.queue, i, i+1)
		}
		return
	}
	heap.Remove(&u.jobs, j.heapIndex)
	j.heapIndex = -1
	if len(u.queue) > 0 && len(u.jobs) < u.spec.Slots {
		next := u.queue[0]
		u.queue = u.queue[1:]
		u.begin(next)
	}
}

// outstanding returns the unit's load report: the predicted remaining tokens and the number of streams.
func (u *unit) outstanding() (tokens float64, streams int) {
	for _, j := range u.jobs {
		tokens += j.call.remaining()
	}
	for _, j := range u.queue {
		tokens += j.call.remaining()
	}
	return tokens, len(u.jobs) + len(u.queue)
}
