package ferrycapacity

import (
	"fmt"
	"io"
	"math"
	"math/rand/v2"
	"time"

	"cactusferry.dev/ferry/ferryid"
	"cactusferry.dev/ferry/ferrylimit"
	"cactusferry.dev/ferry/ferrypeer"
)

const (
	limitStep     = time.Millisecond
	limitWarmup   = 2 * time.Second
	limitTime     = 10 * time.Second
	limitShard    = 16
	limitTag      = 0x9E3779B97F4A7C15
	limitAskKind  = ferrypeer.AskKind(4)
	callRate      = 8.0 // calls/s per active customer, over the fleet
	activeDivisor = 5   // one customer in five is active
)

// limitRates are the limits of customers in calls/s, assigned in rotation.
var limitRates = []ferrylimit.Units{10, 50, 200}

// LimitPoint is the cost of enforcing customers' limits, per entry and second.
type LimitPoint struct {
	Entries, Customers int
	// Calls is the rate of calls by limited customers, and Refused the share of them for which the entry had
	// no allowance.
	Calls   float64
	Refused float64
	// Asks is the rate of requests to other entries. Bytes is the bytes sent and received for them, including
	// answers, headers and acknowledgements.
	Asks  float64
	Bytes float64
	// Counters is the number of other entries that an entry asks.
	Counters float64
	// Rounds is the rate of exchange rounds.
	Rounds float64
	// CPU is the share of a core, including the overhead of the simulation.
	CPU float64
}

// limitEntry is the limiter state of one entry.
type limitEntry struct {
	shares  *ferrylimit.Shares
	counter *ferrylimit.Counter
	next    time.Time
	bytes   int
	asked   map[int]bool
}

// limitSimulation simulates entries that admit calls and count them for each other, without network delay.
type limitSimulation struct {
	now       time.Time
	r         *rand.Rand
	entries   []*limitEntry
	customers []limitedCustomer
	point     LimitPoint
	calls     int
	refused   int
	asks      int
	rounds    int
}

// limitedCustomer is a customer whose calls arrive at the entries of its shard and are counted at one entry.
type limitedCustomer struct {
	key     ferrylimit.Key
	shard   []int
	counter int
}

func newLimitSimulation(entries, customers int) *limitSimulation {
	sim := &limitSimulation{now: startTime, r: rand.New(rand.NewPCG(1, 2)), point: LimitPoint{Entries: entries, Customers: customers}}
	rates := map[ferrylimit.Key]ferrylimit.Units{}
	rate := func(k ferrylimit.Key) ferrylimit.Units { return rates[k] }
	var ids []ferryid.Incarnation
	indexes := map[ferryid.Incarnation]int{}
	for i := range entries {
		id := ferryid.Incarnation(fmt.Sprintf("0192f3aa-%04d-7000-8000-000000000000", i))
		ids = append(ids, id)
		indexes[id] = i
		sim.entries = append(sim.entries, &limitEntry{next: sim.now.Add(ferrylimit.AskInterval * time.Duration(i) / time.Duration(entries)), shares: ferrylimit.NewShares(rate), counter: ferrylimit.NewCounter(rate), asked: map[int]bool{}})
	}
	for i := range customers {
		k := ferrylimit.Key{Service: "herd-llm", Customer: ferryid.CustomerName(fmt.Sprintf("farm-%04d", i))}
		rates[k] = limitRates[i%len(limitRates)]
		sim.customers = append(sim.customers, limitedCustomer{k, sim.r.Perm(entries)[:min(limitShard, entries)], indexes[ferrylimit.CounterOf(k, ids)]})
	}
	return sim
}

// offerCalls offers the calls of one step; their number has a Poisson distribution.
func (sim *limitSimulation) offerCalls() {
	active := max(1, len(sim.customers)/activeDivisor)
	mean := float64(active) * callRate * limitStep.Seconds()
	for n := poisson(sim.r, mean); n > 0; n-- {
		cu := &sim.customers[sim.r.IntN(active)]
		e := sim.entries[cu.shard[sim.r.IntN(len(cu.shard))]]
		sim.calls++
		if ok, _ := e.shares.Allow(cu.key, 1, sim.now); !ok {
			sim.refused++
		}
	}
}

func poisson(r *rand.Rand, mean float64) int {
	n := 0
	for p := r.Float64(); p > math.Exp(-mean); p *= r.Float64() {
		n++
	}
	return n
}

// exchange runs one round of an entry if it is due and has something to ask.
func (sim *limitSimulation) exchange(at int, e *limitEntry) {
	if e.shares.Idle() || sim.now.Before(e.next) {
		return
	}
	e.next = sim.now.Add(ferrylimit.AskInterval)
	sim.rounds++
	asks := map[int][]ferrylimit.Ask{}
	for _, a := range e.shares.Asks(sim.now) {
		c := sim.counterOf(a.Key)
		asks[c] = append(asks[c], a)
	}
	for c, as := range asks {
		grants := sim.entries[c].counter.Answer(as, sim.now)
		for _, g := range grants {
			e.shares.Granted(g)
		}
		if c != at {
			sim.countAsk(e, c, wireBytes(&ferrypeer.Ask{ID: limitTag, To: limitTag, Kind: limitAskKind, Body: encodeCBOR(as)})+
				wireBytes(&ferrypeer.Answer{ID: limitTag, Body: encodeCBOR(grants)}))
		}
	}
}

func (sim *limitSimulation) counterOf(k ferrylimit.Key) int {
	var i int
	_, _ = fmt.Sscanf(string(k.Customer), "farm-%d", &i)
	return sim.customers[i].counter
}

func (sim *limitSimulation) countAsk(e *limitEntry, counter, bytes int) {
	sim.asks++
	e.bytes += bytes
	sim.entries[counter].bytes += bytes
	e.asked[counter] = true
}

func (sim *limitSimulation) run(d time.Duration) {
	for end := sim.now.Add(d); sim.now.Before(end); sim.now = sim.now.Add(limitStep) {
		sim.offerCalls()
		for i, e := range sim.entries {
			sim.exchange(i, e)
		}
	}
}

// MeasureLimits measures the limits with a fifth of the customers active, each with 8 calls/s over the
// entries of its shard.
func MeasureLimits(entries, customers int) LimitPoint {
	sim := newLimitSimulation(entries, customers)
	sim.run(limitWarmup)
	for _, e := range sim.entries {
		e.bytes = 0
		clear(e.asked)
	}
	sim.calls, sim.refused, sim.asks, sim.rounds = 0, 0, 0, 0
	began := processorTime()
	sim.run(limitTime)
	perEntrySecond := 1 / limitTime.Seconds() / float64(entries)
	p := sim.point
	p.CPU = (processorTime() - began).Seconds() * perEntrySecond
	p.Calls = float64(sim.calls) * perEntrySecond
	p.Refused = float64(sim.refused) / float64(max(1, sim.calls))
	p.Asks = float64(sim.asks) * perEntrySecond
	p.Rounds = float64(sim.rounds) * perEntrySecond
	for _, e := range sim.entries {
		p.Bytes += float64(e.bytes) * perEntrySecond
		p.Counters += float64(len(e.asked)) / float64(entries)
	}
	return p
}

// PrintLimits writes the points as a Markdown table.
func PrintLimits(w io.Writer, ps []LimitPoint) {
	fmt.Fprintln(w, "| entries | customers | calls/s an entry | refused | asks/s | B/s | other entries asked in 10 s | wake-ups/s | core |")
	fmt.Fprintln(w, "|---|---|---|---|---|---|---|---|---|")
	for _, p := range ps {
		fmt.Fprintf(w, "| %d | %d | %.1f | %.2f%% | %.1f | %.0f | %.1f | %.1f | %.3f%% |\n",
			p.Entries, p.Customers, p.Calls, 100*p.Refused, p.Asks, p.Bytes, p.Counters, p.Rounds, 100*p.CPU)
	}
}
