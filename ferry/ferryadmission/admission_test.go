package ferryadmission

import (
	"fmt"
	"math"
	"math/rand/v2"
	"runtime"
	"sync"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"cactusferry.dev/ferry/ferryid"
	"cactusferry.dev/ferry/ferryrapid"
	"cactusferry.dev/ferry/ferryroom"
)

func TestMain(m *testing.M) {
	ferryrapid.Main(m, ferryrapid.Settings{Seed: 17, Checks: 100})
}

// bench is a Core on a fake clock and the arrivals that it is given.
type bench struct {
	core   *Core
	clock  *clockwork.FakeClock
	random *rand.Rand
}

// testRamp is fixed, so that the fills of the tests do not depend on the default.
var testRamp = Ramp{Start: 0.85, Width: 0.15, Step: 0.12, Least: 0.5, Floor: 0.35}

func newBench(ranks int, seed uint64) *bench {
	clock := clockwork.NewFakeClock()
	return &bench{
		core:   New(Config{Clock: clock, Random: rand.NewPCG(seed, 1), Ranks: ranks, Ramp: testRamp}),
		clock:  clock,
		random: rand.New(rand.NewPCG(seed, 2)),
	}
}

// stream is a Poisson process of requests of one customer.
type stream struct {
	rank     Rank
	customer ferryid.CustomerName
	rate     float64 // requests per second
}

// run sends the streams' requests for d in order of time, and returns the admitted share of each stream.
func (b *bench) run(d time.Duration, streams []stream, room func(time.Duration) ferryroom.Room) []float64 {
	sum := 0.0
	for _, s := range streams {
		sum += s.rate
	}
	admitted, arrived := make([]float64, len(streams)), make([]float64, len(streams))
	for at := time.Duration(0); at < d; {
		step := time.Duration(b.random.ExpFloat64() / sum * float64(time.Second))
		at += step
		b.clock.Advance(step)
		i, x := 0, b.random.Float64()*sum
		for x -= streams[i].rate; x > 0 && i < len(streams)-1; x -= streams[i].rate {
			i++
		}
		arrived[i]++
		if _, ok := b.core.Decide(Request{Rank: streams[i].rank, Customer: streams[i].customer}, room(at)).(Admitted); ok {
			admitted[i]++
		}
	}
	for i := range admitted {
		admitted[i] /= arrived[i]
	}
	return admitted
}

func (b *bench) rankShares() []float64 {
	var out []float64
	for _, r := range b.core.Snapshot().Ranks {
		out = append(out, float64(r.Admitted)/float64(r.Arrived))
	}
	return out
}

func filled(x float64) func(time.Duration) ferryroom.Room {
	return func(time.Duration) ferryroom.Room { return ferryroom.Room{Fill: x, Known: true} }
}

// customersOf returns n streams of a rank with the same rate.
func customersOf(rank Rank, n int, rate float64) []stream {
	var out []stream
	for i := range n {
		out = append(out, stream{rank, ferryid.CustomerName(fmt.Sprintf("farm-%d", i)), rate})
	}
	return out
}

// engines are engines with room for a number of requests, which end after a mean lifetime. The reports that the
// Core sees are age old.
type engines struct {
	room          int
	lifetime, age time.Duration

	running int
	reports []int
}

// load is what came of the requests of a time: by rank, and the sends that found the engines full.
type load struct {
	arrived, admitted [3]float64
	sent, full        int
	fill              float64
}

func (l *load) share(rank Rank) float64 { return l.admitted[rank] / l.arrived[rank] }

// serve sends requests of the ranks at the rates per second for d.
func (b *bench) serve(e *engines, d time.Duration, rates [3]float64) load {
	const step = 5 * time.Millisecond
	var l load
	steps := int(d / step)
	for range steps {
		b.clock.Advance(step)
		for range e.running {
			if b.random.Float64() < step.Seconds()/e.lifetime.Seconds() {
				e.running--
			}
		}
		e.reports = append(e.reports, e.running)
		seen := e.reports[max(0, len(e.reports)-1-int(e.age/step))]
		l.fill += float64(e.running) / float64(e.room) / float64(steps)
		for rank, rate := range rates {
			if b.random.Float64() >= rate*step.Seconds() {
				continue
			}
			l.arrived[rank]++
			room := ferryroom.Room{Fill: float64(seen) / float64(e.room), Known: true, Age: e.age}
			if _, ok := b.core.Decide(Request{Rank: Rank(rank), Customer: "mill"}, room).(Admitted); !ok {
				continue
			}
			l.sent++
			if e.running >= e.room {
				l.full++
				continue
			}
			l.admitted[rank]++
			e.running++
		}
	}
	return l
}

// TestBurstOfLeastUrgentRank guards against a burst of less urgent requests that takes the memory of urgent ones. The
// urgent requests need 0.4 of the memory; the others need 0.2 and then 1.0 of the memory, and their floor of that
// fits beside the urgent ones.
func TestBurstOfLeastUrgentRank(t *testing.T) {
	b := newBench(3, 1)
	e := &engines{room: 400, lifetime: 4 * time.Second, age: 200 * time.Millisecond}
	b.serve(e, 20*time.Second, [3]float64{40, 0, 20})
	l := b.serve(e, time.Minute, [3]float64{40, 0, 100})
	assert.Assert(t, l.share(2) < 0.5, "least urgent: %v", l.share(2))
	assert.Assert(t, l.share(0) > 0.995, "most urgent: %v of %v", l.share(0), l.arrived[0])
	assert.Equal(t, l.full, 0)
}

// TestOrderOfRanks guards against urgent ranks that are served worse than others, at every fill, and against ranks
// that are starved while the most urgent one is served.
func TestOrderOfRanks(t *testing.T) {
	var streams []stream
	for rank := range Rank(3) {
		streams = append(streams, customersOf(rank, 12, 3)...)
	}
	for fill := 0.55; fill < 1.1; fill += 0.05 {
		b := newBench(3, 2)
		b.run(4*time.Minute, streams, filled(fill))
		s := b.rankShares()
		assert.Assert(t, s[0] >= s[1]-0.02 && s[1] >= s[2]-0.02, "fill %.2f: %v", fill, s)
		floor := min(testRamp.Floor, s[0])
		assert.Assert(t, s[2] >= floor-0.02, "fill %.2f: %v", fill, s)
	}
}

// TestShareOfRank guards against fairness between customers that changes the share of the rank: with few requests
// for each customer a customer's count is highest when its request arrives.
func TestShareOfRank(t *testing.T) {
	for _, rate := range []float64{0.02, 0.1, 1} {
		b := newBench(1, 3)
		b.run(2*time.Hour/time.Duration(1+20*rate), customersOf(0, 40, rate), filled(0.925))
		s := b.rankShares()
		assert.Assert(t, math.Abs(s[0]-0.5) < 0.03, "rate %v: %v of 0.5", rate, s)
	}
}

// TestLoudCustomer guards against a customer that takes the room of others, and against one that is cut off.
func TestLoudCustomer(t *testing.T) {
	even := newBench(1, 4).run(5*time.Minute, customersOf(0, 20, 1), filled(0.94))
	streams := customersOf(0, 20, 1)
	streams[0].rate = 10
	loud := newBench(1, 4).run(5*time.Minute, streams, filled(0.94))
	for i := range streams {
		assert.Assert(t, loud[0] >= 0.25*0.4-0.02 && loud[0] < 0.3, "loud customer: %v", loud[0])
		assert.Assert(t, i == 0 || loud[i] >= even[i]-0.06, "%s: %v, with even rates %v", streams[i].customer, loud[i], even[i])
	}
}

// TestUnknownRoom guards against refusals without knowledge of the engines.
func TestUnknownRoom(t *testing.T) {
	for _, room := range []ferryroom.Room{{Fill: 2}, {Fill: math.NaN(), Known: true}} {
		b := newBench(3, 5)
		b.run(time.Minute, customersOf(2, 9, 5), func(time.Duration) ferryroom.Room { return room })
		assert.Equal(t, b.rankShares()[2], 1.0)
	}
}

// TestRetryAfterIsSpread guards against callers that were refused together and come back together, and against
// times beyond a third of a time limit of 20 s.
func TestRetryAfterIsSpread(t *testing.T) {
	for _, x := range []struct{ lasted, from time.Duration }{{0, 500 * time.Millisecond}, {1200 * time.Millisecond, 1200 * time.Millisecond}, {time.Hour, 3 * time.Second}} {
		b := newBench(2, 6)
		full := ferryroom.Room{Fill: 1.2, Known: true}
		for d := time.Duration(0); d < x.lasted; d += min(time.Second, x.lasted-d) {
			b.core.Decide(Request{}, full)
			b.clock.Advance(min(time.Second, x.lasted-d))
		}
		const callers, parts = 4000, 20
		var times [parts]int
		for range callers {
			after := b.core.Decide(Request{}, full).(Refused).RetryAfter
			assert.Assert(t, after >= x.from && after <= 2*x.from, "lasted %v: %v", x.lasted, after)
			times[min(parts-1, int(parts*(after-x.from)/x.from))]++
		}
		for i, n := range times {
			assert.Assert(t, n < 2*callers/parts, "lasted %v: %d of %d callers in part %d of %d", x.lasted, n, callers, i, parts)
		}
	}
}

// TestShortageEnds guards against retry times of a shortage that is over.
func TestShortageEnds(t *testing.T) {
	after := func(b *bench, fill float64) time.Duration {
		return b.core.Decide(Request{}, ferryroom.Room{Fill: fill, Known: true}).(Refused).RetryAfter
	}
	b := newBench(1, 7)
	for range 10 {
		after(b, 1)
		b.clock.Advance(time.Second)
	}
	assert.Assert(t, after(b, 1) >= maxRetryAfter)
	b.core.Decide(Request{}, ferryroom.Room{Fill: 0.2, Known: true})
	assert.Assert(t, after(b, 1) <= 2*minRetryAfter, "after a request that was admitted")
	b.clock.Advance(time.Hour)
	assert.Assert(t, after(b, 1) <= 2*minRetryAfter, "after an hour without requests")
}

// TestOldReports guards against shares that swing between all and nothing while reports are a second old, which fill
// the engines, empty them and serve the ranks in the wrong order. The demand is up to one and a half times the memory,
// as on the measured deployment; twice is only covered for requests that last much longer than the age of a report.
func TestOldReports(t *testing.T) {
	for _, demand := range []float64{1.2, 1.5, 2} {
		for _, lifetime := range []time.Duration{2 * time.Second, 4 * time.Second, 8 * time.Second} {
			if demand == 2 && lifetime == 2*time.Second {
				continue
			}
			b := newBench(3, 8)
			e := &engines{room: 400, lifetime: lifetime, age: time.Second}
			rate := demand * float64(e.room) / lifetime.Seconds() / 3
			b.serve(e, 20*time.Second, [3]float64{rate, rate, rate})
			l := b.serve(e, 2*time.Minute, [3]float64{rate, rate, rate})
			assert.Assert(t, 20*l.full < l.sent, "demand %v, %v: %d of %d sends found full engines", demand, lifetime, l.full, l.sent)
			assert.Assert(t, l.share(0) >= l.share(1)-0.02 && l.share(1) >= l.share(2)-0.02, "demand %v, %v: %+v", demand, lifetime, l)
			assert.Assert(t, l.share(2) >= 1.0/3, "demand %v, %v: %+v", demand, lifetime, l)
			assert.Assert(t, l.fill > 0.7, "demand %v, %v: fill %v", demand, lifetime, l.fill)
		}
	}
}

// TestRanksBeyondTheRange guards against a panic and against a rank that is served better than the last one.
func TestRanksBeyondTheRange(t *testing.T) {
	b := newBench(3, 9)
	for _, r := range []Rank{-1, math.MinInt, 3, math.MaxInt} {
		b.core.Decide(Request{Rank: r, Customer: "dairy", Tokens: -1}, filled(0.9)(0))
	}
	s := b.core.Snapshot()
	assert.Equal(t, s.Ranks[0].Arrived, uint64(2))
	assert.Equal(t, s.Ranks[2].Arrived, uint64(2))
	one := New(Config{Ranks: -4})
	assert.Equal(t, one.Decide(Request{Rank: 7}, filled(0.1)(0)), Admitted{})
	assert.Equal(t, len(one.Snapshot().Ranks), 1)
}

// TestRampIsBounded guards against ramps of many ranks that begin at or below an empty engine, and against
// settings that refuse all requests.
func TestRampIsBounded(t *testing.T) {
	nan, inf := math.NaN(), math.Inf(1)
	for _, r := range []Ramp{
		{},
		{Start: nan, Width: 1},
		{Start: inf, Width: 1},
		{Start: 0.8, Width: inf},
		{Start: 1, Width: nan, Step: nan, Floor: nan},
		{Start: 0.8, Width: 0.1, Step: inf},
		{Start: 0.8, Width: 0.1, Step: 9, Floor: 7},
		{Start: 0.3, Width: 0.1, Step: 0.1},
	} {
		for _, ranks := range []int{1, 10} {
			b := r.bounded(ranks)
			for rank := range Rank(ranks) {
				assert.Equal(t, b.share(float64(rank), b.Least), 1.0, "%+v, rank %d of %d", r, rank, ranks)
				s := b.share(float64(rank), inf)
				assert.Assert(t, s >= 0 && s < 1, "%+v, rank %d of %d: %v", r, rank, ranks, s)
			}
		}
	}
}

// TestSnapshot guards against an operator who can't tell why a customer was refused: its part of the requests and its
// share follow from the same state as the decisions.
func TestSnapshot(t *testing.T) {
	b := newBench(2, 13)
	streams := append(customersOf(1, 4, 1), stream{1, "mill", 16})
	b.run(2*time.Minute, streams, filled(0.79))
	r := b.core.Snapshot().Ranks[1]
	assert.Assert(t, math.Abs(r.Share-0.6) < 1e-9, "%v", r.Share)
	assert.Equal(t, len(r.Customers), 5)
	mill := r.Customers[4]
	assert.Equal(t, mill.Customer, ferryid.CustomerName("mill"))
	assert.Assert(t, mill.Part > 0.7 && mill.Part < 0.9 && mill.Share < r.Share, "%+v", mill)
	for _, c := range r.Customers[:4] {
		assert.Assert(t, c.Part < 0.15 && c.Share > r.Share, "%+v", c)
	}
}

// TestIdleCustomersAreForgotten guards against memory that grows with the number of customers ever seen.
func TestIdleCustomersAreForgotten(t *testing.T) {
	b := newBench(1, 10)
	for i := range 3 * maxCustomers {
		b.core.Decide(Request{Customer: ferryid.CustomerName(fmt.Sprint(i))}, filled(0.9)(0))
	}
	cs := &b.core.ranks[0].customers
	assert.Equal(t, len(cs.byName), maxCustomers)
	b.clock.Advance(2 * idleTime)
	b.core.Decide(Request{Customer: "dairy"}, filled(0.9)(0))
	s := b.core.Snapshot().Ranks[0]
	assert.Equal(t, len(s.Customers), 1)
	assert.Equal(t, s.Arrived, uint64(3*maxCustomers+1))
	assert.Equal(t, s.Arrived, s.Admitted+s.Refused)
	b.clock.Advance(24 * time.Hour)
	assert.Equal(t, len(b.core.Snapshot().Ranks[0].Customers), 0)
}

// TestDecideDoesNotAllocate guards against garbage for each decision, in particular for each refusal.
func TestDecideDoesNotAllocate(t *testing.T) {
	b := newBench(1, 11)
	allocs := testing.AllocsPerRun(1000, func() { b.core.Decide(Request{Customer: "dairy"}, filled(0.97)(0)) })
	assert.Equal(t, allocs, 0.0)
}

// TestConcurrentUse guards against data races and lost counts, under the race detector.
func TestConcurrentUse(t *testing.T) {
	b := newBench(3, 12)
	var wg sync.WaitGroup
	for rank := range Rank(3) {
		wg.Go(func() {
			for i := range 500 {
				b.core.Decide(Request{Rank: rank, Customer: ferryid.CustomerName(fmt.Sprint(i % 7))}, filled(0.9)(0))
				b.core.Snapshot()
			}
		})
	}
	wg.Wait()
	for _, r := range b.core.Snapshot().Ranks {
		assert.Equal(t, r.Arrived, uint64(500))
		assert.Equal(t, r.Admitted+r.Refused, r.Arrived)
	}
}

// TestSharesOfRandomLoads guards against loads on which a customer gets less than a quarter of its rank's share, or
// a rank more than a more urgent one.
func TestSharesOfRandomLoads(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		ranks := rapid.IntRange(1, 4).Draw(t, "ranks")
		b := newBench(ranks, rapid.Uint64().Draw(t, "seed"))
		var streams []stream
		for rank := range ranks {
			for i, rate := range rapid.SliceOfN(rapid.Float64Range(0.5, 20), 1, 8).Draw(t, "rates") {
				streams = append(streams, stream{Rank(rank), ferryid.CustomerName(fmt.Sprint(i)), rate})
			}
		}
		fill := rapid.Float64Range(0.4, 1.1).Draw(t, "fill")
		b.run(2*time.Minute, streams, filled(fill))
		shares := b.core.Snapshot().Ranks
		for i, r := range shares {
			share, err := admittedShare(r.Counts, r.Share)
			assert.Assert(t, math.Abs(share-r.Share) <= 0.02+4*err, "%+v", r)
			if i > 0 {
				before, beforeErr := admittedShare(shares[i-1].Counts, shares[i-1].Share)
				assert.Assert(t, r.Share <= shares[i-1].Share, "%+v", shares)
				assert.Assert(t, share <= before+0.02+4*math.Hypot(err, beforeErr), "%+v", shares)
			}
			for _, c := range r.Customers {
				s, err := admittedShare(c.Counts, 0.25*r.Share)
				assert.Assert(t, c.Share >= 0.25*r.Share, "%+v of %+v", c, r.Counts)
				assert.Assert(t, s >= 0.25*r.Share-4*err, "%+v of %+v", c, r.Counts)
			}
		}
	})
}

// admittedShare returns the admitted share of the requests and its standard error if expected is admitted.
func admittedShare(c Counts, expected float64) (share, err float64) {
	n := float64(c.Arrived)
	return float64(c.Admitted) / n, math.Sqrt((expected*(1-expected) + 1/n) / n)
}

// fullCore returns a Core that has counted 4,500 customers in each of three ranks, and what sends one more request.
func fullCore() (core *Core, decide func()) {
	core = New(Config{Clock: clockwork.NewRealClock(), Random: rand.NewPCG(1, 1), Ranks: 3})
	names := make([]ferryid.CustomerName, maxCustomers)
	for i := range names {
		names[i] = ferryid.CustomerName(fmt.Sprintf("customer-%d", i))
	}
	room := ferryroom.Room{Fill: 0.97, Known: true}
	i := 0
	decide = func() {
		core.Decide(Request{Rank: Rank(i / maxCustomers % 3), Customer: names[(i*7919)%maxCustomers]}, room)
		i++
	}
	for range 3 * maxCustomers {
		decide()
	}
	return core, decide
}

// BenchmarkAdmission measures decisions for 4,500 customers in three ranks while nearly all requests are refused.
func BenchmarkAdmission(b *testing.B) {
	_, decide := fullCore()
	b.ReportAllocs()
	for b.Loop() {
		decide()
	}
}

// BenchmarkSnapshot copies the state of 4,500 customers in three ranks; heap-B is the memory that the Core holds.
func BenchmarkSnapshot(b *testing.B) {
	heap := func() uint64 {
		var m runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&m)
		return m.HeapAlloc
	}
	before := heap()
	core, _ := fullCore()
	held := heap() - before
	b.ReportAllocs()
	for b.Loop() {
		core.Snapshot()
	}
	b.ReportMetric(float64(held), "heap-B")
}

// TestRampsFollowTheRequests guards against a rank that is refused early only because few requests have ranks of their own
// before it.
func TestRampsFollowTheRequests(t *testing.T) {
	b := newBench(6, 21)
	var streams []stream
	for rank, rate := range []float64{0.4, 0.2, 0.2, 10, 5, 4} {
		streams = append(streams, stream{Rank(rank), "mill", rate})
	}
	b.run(time.Minute, streams, filled(0.2))
	s := b.run(4*time.Minute, streams, filled(0.8))
	assert.Assert(t, s[3] > 0.98, "the most urgent of the usual ranks: %v", s)
	assert.Assert(t, s[4] < 0.9 && s[5] < s[4]+0.02, "less urgent ranks: %v", s)
}
