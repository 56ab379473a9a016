package ferryshortage

import (
	"container/heap"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/jonboulle/clockwork"

	"cactusferry.dev/ferry/ferryadmission"
	"cactusferry.dev/ferry/ferryid"
	"cactusferry.dev/ferry/ferryroom"
	"cactusferry.dev/ferrybench/ferryexperiment"
	"cactusferry.dev/ferrybench/ferryworkload"
)

const (
	// tokensPerLayer is the KV cache memory of an engine for each layer that it holds, as in the deployments of
	// design 0017.
	tokensPerLayer = 100_000
	// refusalDelay is the time after which an engine in the middle of a path refuses for lack of memory, measured in
	// those deployments. The call keeps its memory at the engines before it for that time.
	refusalDelay = 300 * time.Millisecond
	// prefillTime is the time from the last engine's acceptance to the first event.
	prefillTime = 150 * time.Millisecond
	// triesPerStage is the number of engines that an entry tries for one stage.
	triesPerStage = 2
	// engineRetryAfter is the Retry-After of calls that no engine had memory for.
	engineRetryAfter = time.Second
	// waitShare is the part of its remaining time up to which a caller honors Retry-After.
	waitShare = 1.0 / 3
)

// maxFirst is the time to the first event, by rank, after which a response is late.
var maxFirst = []time.Duration{500 * time.Millisecond, 500 * time.Millisecond, time.Second}

// Result holds the results of one run. A call is in time if its first event comes in time after the try that was
// served.
type Result struct {
	*ferryexperiment.Result
	// Sends is the number of requests that entries sent to engines, Full that of those refused for lack of memory.
	Sends, Full int
	// Large are the calls of the largest tenth, by prompt and response.
	Large ferryexperiment.Group
	// Used is the mean used fraction of the engines' memory.
	Used float64
}

// engine is a runner that holds one stage of the model.
type engine struct {
	ferryroom.Engine
	stage int
}

// entry holds the admission core of an entry, or nil, and the tokens that it has sent to each engine since the last
// reports.
type entry struct {
	core *ferryadmission.Core
	sent []int64
}

// call is the state of one arrival.
type call struct {
	ferryexperiment.Sample
	rank     ferryadmission.Rank
	entry    *entry
	attempts int
	large    bool
	// path are the engines whose memory the call holds; avoid is the last one that refused it.
	path  []*engine
	avoid *engine
	tries int
}

func (c *call) tokens() int64 { return int64(c.Arrival.Prompt + c.Arrival.Tokens) }

// simulation is the state of one run.
type simulation struct {
	workload *ferryworkload.Workload
	random   *rand.Rand
	clock    *clockwork.FakeClock
	engines  []*engine
	stages   int
	entries  []*entry
	events   eventHeap
	seq      int
	now      time.Duration
	open     int
	reads    int
	result   *Result

	// Of the last delivered reports: time, used memory, and the room computed from them.
	reportedAt time.Duration
	reported   []int64
	room       ferryroom.Room
}

// Run simulates the arrivals. The kinds of the workload are its ranks in order. A call holds memory for its prompt and
// response on one engine of each stage, from the time when that engine accepts it.
func Run(w *ferryworkload.Workload, arrivals []ferryworkload.Arrival, p ferryexperiment.Policy) *Result {
	s := newSimulation(w, arrivals, p)
	s.run()
	return s.result
}

func newSimulation(w *ferryworkload.Workload, arrivals []ferryworkload.Arrival, p ferryexperiment.Policy) *simulation {
	s := &simulation{
		workload: w, random: rand.New(rand.NewPCG(w.Seed, 3)), clock: clockwork.NewFakeClock(), open: len(arrivals),
		result: &Result{Result: ferryexperiment.NewResult(w, p)},
	}
	s.addEngines()
	for i := range w.Entries {
		e := &entry{sent: make([]int64, len(s.engines))}
		if p.Admission {
			e.core = ferryadmission.New(ferryadmission.Config{Clock: s.clock, Random: rand.NewPCG(w.Seed, uint64(100+i)), Ranks: len(w.Kinds)})
		}
		s.entries = append(s.entries, e)
	}
	s.addCalls(arrivals)
	return s
}

// run handles events until all calls have ended.
func (s *simulation) run() {
	s.after(0, read{})
	for len(s.events) > 0 {
		e := heap.Pop(&s.events).(event)
		s.clock.Advance(e.at - s.now)
		s.now = e.at
		s.handle(e.do)
	}
	s.result.Used /= float64(max(1, s.reads))
	s.result.Close()
}

// addEngines adds one engine for each stage of each pipeline of the workload. A call may combine engines of several
// pipelines.
func (s *simulation) addEngines() {
	for _, n := range s.workload.Layout.Stages {
		s.stages = n
		per := int(s.workload.Layout.Layers) / n
		for stage := range n {
			layers := ferryid.LayerRange{From: ferryid.Layer(stage * per), To: ferryid.Layer((stage + 1) * per)}
			s.engines = append(s.engines, &engine{stage: stage, Engine: ferryroom.Engine{Layers: layers, Room: tokensPerLayer * int64(per)}})
		}
	}
	s.reported = make([]int64, len(s.engines))
}

func (s *simulation) addCalls(arrivals []ferryworkload.Arrival) {
	threshold := largeTokens(arrivals)
	for i := range arrivals {
		a := &arrivals[i]
		c := &call{Sample: ferryexperiment.Sample{Arrival: a}, entry: s.entries[s.random.IntN(len(s.entries))]}
		for rank := range s.workload.Kinds {
			if a.Kind == &s.workload.Kinds[rank] {
				c.rank = ferryadmission.Rank(rank)
			}
		}
		c.large = c.tokens() >= threshold
		s.after(a.At, submit{call: c})
		s.result.Offer(a)
		if c.large && a.At >= time.Duration(s.workload.Warmup) {
			s.result.Large.Offered++
		}
	}
}

func (s *simulation) handle(a action) {
	switch a := a.(type) {
	case submit:
		s.submit(a.call)
	case send:
		s.send(a.call)
	case end:
		s.release(a.call)
		s.result.Serve(s.now, a.call.Arrival.Work())
		a.call.Serve(s.now, a.call.Arrival.Work())
		o := ferryexperiment.InTime
		if a.call.First-a.call.Submitted > maxFirst[min(int(a.call.rank), len(maxFirst)-1)] {
			o = ferryexperiment.Late
		}
		s.finish(a.call, o)
	case read:
		s.read()
	case deliver:
		s.deliver(a)
	}
}

// submit decides on a try of a call and sends it to the first stage.
func (s *simulation) submit(c *call) {
	c.attempts++
	c.Submitted = s.now
	if c.entry.core != nil {
		room := s.room
		room.Age = s.now - s.reportedAt
		r := ferryadmission.Request{Rank: c.rank, Customer: c.Arrival.Customer, Tokens: ferryid.Tokens(c.tokens())}
		if d, ok := c.entry.core.Decide(r, room).(ferryadmission.Refused); ok {
			s.refuse(c, d.RetryAfter)
			return
		}
	}
	c.Started, c.Admitted, c.tries = true, s.now, 0
	s.send(c)
}

// send asks engines for the memory of the remaining stages until one refuses, and starts the response after the last.
// The outcome of a refusal is known after refusalDelay: another engine is tried, or the try ends.
func (s *simulation) send(c *call) {
	if c.tries >= triesPerStage {
		s.release(c)
		s.refuse(c, engineRetryAfter)
		return
	}
	for len(c.path) < s.stages {
		e, i := s.choose(c)
		s.result.Sends++
		need := c.tokens() * int64(e.Layers.Len())
		if e.Used+need > e.Room {
			s.result.Full++
			c.avoid = e
			c.tries++
			s.after(refusalDelay, send{call: c})
			return
		}
		e.Used += need
		e.Running++
		c.entry.sent[i] += need
		c.path, c.avoid, c.tries = append(c.path, e), nil, 0
	}
	c.First = s.now + prefillTime
	rate := s.workload.Runners[0].StreamRate
	s.after(prefillTime+time.Duration(float64(c.Arrival.Tokens)/rate*float64(time.Second)), end{call: c})
}

// choose returns the engine of the call's next stage with the less used memory of two drawn at random, by the last
// reports and what the entry has sent since.
func (s *simulation) choose(c *call) (*engine, int) {
	best := -1
	for range 2 {
		i := s.random.IntN(len(s.engines)/s.stages)*s.stages + len(c.path)
		for s.engines[i] == c.avoid {
			i = (i + s.stages) % len(s.engines)
		}
		if best < 0 || s.reported[i]+c.entry.sent[i] < s.reported[best]+c.entry.sent[best] {
			best = i
		}
	}
	return s.engines[best], best
}

// release returns the memory of the call.
func (s *simulation) release(c *call) {
	for _, e := range c.path {
		e.Used -= c.tokens() * int64(e.Layers.Len())
		e.Running--
	}
	c.path = nil
}

// refuse ends the try of a call; the caller tries once more if it may wait that long.
func (s *simulation) refuse(c *call, retryAfter time.Duration) {
	s.result.Refuse(c.Arrival, s.now-c.Submitted)
	left := c.Arrival.At + time.Duration(s.workload.Retry.Patience) - s.now
	if c.attempts > s.workload.Retry.Attempts || float64(retryAfter) > waitShare*float64(left) {
		s.finish(c, ferryexperiment.Refused)
		return
	}
	s.after(retryAfter, submit{call: c})
}

func (s *simulation) finish(c *call, o ferryexperiment.Outcome) {
	c.Outcome, c.End = o, s.now
	s.open--
	s.result.Record(&c.Sample)
	if c.large && o == ferryexperiment.InTime && c.Arrival.At >= time.Duration(s.workload.Warmup) {
		s.result.Large.InTime++
	}
}

func (s *simulation) read() {
	d := deliver{at: s.now}
	used, room := int64(0), int64(0)
	for _, e := range s.engines {
		d.used = append(d.used, e.Used)
		d.running = append(d.running, e.Running)
		used, room = used+e.Used, room+e.Room
	}
	if s.now >= time.Duration(s.workload.Warmup) && s.now < time.Duration(s.workload.Duration) {
		s.result.Used += float64(used) / float64(room)
		s.reads++
	}
	s.after(time.Duration(s.workload.Reports.Delay), d)
	if s.open > 0 {
		s.after(time.Duration(s.workload.Reports.Every), read{})
	}
}

// deliver computes the room from reports. The memory of a response is held from its begin, so nothing grows.
func (s *simulation) deliver(d deliver) {
	s.reportedAt = d.at
	es := make([]ferryroom.Engine, len(s.engines))
	for i, e := range s.engines {
		es[i] = e.Engine
		es[i].Used, es[i].Running, es[i].Age = d.used[i], d.running[i], s.now-d.at
		s.reported[i] = d.used[i]
	}
	s.room = ferryroom.Of(int(s.workload.Layout.Layers), 0, es)
	for _, e := range s.entries {
		clear(e.sent)
	}
}

// largeTokens returns the number of tokens from which a call belongs to the largest tenth.
func largeTokens(arrivals []ferryworkload.Arrival) int64 {
	var sizes []int64
	for i := range arrivals {
		sizes = append(sizes, int64(arrivals[i].Prompt+arrivals[i].Tokens))
	}
	slices.Sort(sizes)
	return sizes[len(sizes)*9/10]
}
