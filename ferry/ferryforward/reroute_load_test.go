package ferryforward

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"
	"gotest.tools/v3/assert"

	"cactusferry.dev/ferry/ferryconfig"
	"cactusferry.dev/ferry/ferrydiscovery"
	"cactusferry.dev/ferry/ferryid"
	"cactusferry.dev/ferry/ferrypath"
	"cactusferry.dev/ferry/ferryplatform"
)

// memoryRerouter carries out reroute orders of many entries on engines with limited memory.
type memoryRerouter struct {
	mu      sync.Mutex
	random  *rand.Rand
	free    map[string]int64
	paths   map[ferryid.RequestID]*ferrypath.Path
	named   bool
	orders  int
	refused int
}

// loadWork is the work of each stream; it needs 120 tokens for each layer.
var loadWork = ferrypath.Work{Prompt: 100, Answer: 20}

func needOf(h ferrypath.Hop) int64 {
	return int64(loadWork.Prompt+loadWork.Answer) * int64(h.Layers.Len())
}

func (r *memoryRerouter) Reroute(_ context.Context, id ferryid.RequestID, p *ferrypath.Path) error {
	r.mu.Lock()
	latency := orderLatency + time.Duration(r.random.IntN(10_000))*time.Microsecond
	r.mu.Unlock()
	time.Sleep(latency)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.orders++
	present := map[ferrypath.Hop]bool{}
	for _, h := range r.paths[id].Hops() {
		present[h] = true
	}
	for _, h := range p.Hops() {
		if !present[h] && r.free[h.Upstream.Name] < needOf(h) {
			r.refused++
			if r.named {
				return &BlockedError{Address: h.Upstream.Address, Err: errBusy}
			}
			return &BlockedError{Err: errBusy}
		}
	}
	for _, h := range r.paths[id].Hops() {
		r.free[h.Upstream.Name] += needOf(h)
	}
	for _, h := range p.Hops() {
		r.free[h.Upstream.Name] -= needOf(h)
	}
	r.paths[id] = p
	return nil
}

// orderLatency is the least time that an order takes.
const orderLatency = 15 * time.Millisecond

// rerouteLoad is a case of an engine that dies under the streams of many entries.
type rerouteLoad struct {
	name string
	// streams is the mean number of streams of each of 25 entries.
	streams int
	// unreported is the part of the free memory that other work has taken since the last reports.
	unreported float64
	named      bool
	// maxRefused is the number of 100 orders that may be refused.
	maxRefused int
}

// rerouteFigures counts reroute orders, refused ones and streams that could not be moved.
type rerouteFigures struct{ streams, orders, refused, stranded int }

func loadEngine(name string, from, to ferryid.Layer) *ferrydiscovery.Upstream {
	return &ferrydiscovery.Upstream{Instance: ferryplatform.Instance{
		Name: name, Address: name + ":1", FailureDomain: "d", State: ferryplatform.StateLive, Accelerator: "card", Layers: ferryid.LayerRange{From: from, To: to},
	}}
}

// run has 25 entries with the same reports move their streams off an engine at about the same time. Its layers are
// held by six others, which have memory for 280 streams.
func (l rerouteLoad) run(t *testing.T) (out rerouteFigures) {
	const entries = 25
	random := rand.New(rand.NewPCG(3, uint64(l.streams)))
	r := &memoryRerouter{random: random, free: map[string]int64{}, paths: map[ferryid.RequestID]*ferrypath.Path{}, named: l.named}
	before := []*ferrydiscovery.Upstream{loadEngine("first", 0, 2), loadEngine("lost", 2, 5), loadEngine("last", 5, 8)}
	after := append([]*ferrydiscovery.Upstream(nil), before...)
	conditions := map[string]ferrypath.Condition{"first": {Pace: 1, Room: 1 << 30}, "last": {Pace: 1, Room: 1 << 30}}
	r.free["first"], r.free["last"] = 1<<30, 1<<30
	for i, streams := range []int64{60, 50, 50, 40, 40, 40} {
		name := fmt.Sprint("mid-", i)
		after = append(after, loadEngine(name, 2, 5))
		free := streams * 120 * 3
		conditions[name] = ferrypath.Condition{Pace: 1 + 0.01*float64(i), Used: 1 << 20, Room: 1<<20 + free}
		r.free[name] = int64(float64(free) * (1 - l.unreported))
	}
	model := configuration().Services[1].Model
	var wg sync.WaitGroup
	var mu sync.Mutex
	var starts []func()
	clock := clockwork.NewRealClock()
	for entry := range entries {
		c := ferrypath.NewChooser(ferrypath.Options{Clock: clock, Domain: "d", Random: rand.NewPCG(5, uint64(entry))})
		c.Set(model, before)
		c.SetEntries(map[ferryid.DomainName]int{"d": entries})
		f := &Forwarder{cfg: Config{Clock: clock, Rerouter: r}, log: zerolog.Nop(), metrics: metrics{tally.NoopScope}}
		var runs []*ferrypath.Run
		for range l.streams/2 + random.IntN(l.streams+1) {
			run, err := c.Pick(loadWork)
			assert.NilError(t, err)
			runs = append(runs, run)
		}
		c.Set(model, after)
		for name, cond := range conditions {
			c.Report(name, cond, clock.Now())
		}
		c.MarkDown("lost")
		for i, run := range runs {
			id := ferryid.RequestID(fmt.Sprint(entry, "/", i))
			r.paths[id] = run.Path()
			d := newRerouteWatchdog(f, c, run, id)
			// All other times are whole microseconds, so that no two streams act at the same time.
			start := time.Duration(random.IntN(40_000))*time.Microsecond + time.Duration(out.streams)
			out.streams++
			starts = append(starts, func() {
				time.Sleep(start)
				if !d.rerouteUntil(1500 * time.Millisecond) {
					mu.Lock()
					out.stranded++
					mu.Unlock()
				}
			})
		}
	}
	for _, f := range starts {
		wg.Go(f)
	}
	wg.Wait()
	out.orders, out.refused = r.orders, r.refused
	return out
}

// rerouteUntil tries at the intervals of the watchdog for as long as a caller may wait.
func (d *watchdog) rerouteUntil(patience time.Duration) bool {
	for silent := eventGapSuspect; silent < patience; silent += max(recheckInterval, silent/2) {
		if d.reroute([]ferryid.UpstreamName{"lost"}, true) {
			return true
		}
		time.Sleep(max(recheckInterval, silent/2))
	}
	return false
}

// TestMovesOffDeadEngineAreSeldomRefused has an engine die under the streams of many entries, which all see the same
// reports. Unless they count the moves that are ordered and spread them, most order the same engine to take their
// streams, and order it again after it has refused.
func TestMovesOffDeadEngineAreSeldomRefused(t *testing.T) {
	for _, l := range []rerouteLoad{
		{name: "room for all", streams: 3, named: true, maxRefused: 0},
		{name: "little room", streams: 7, named: true, maxRefused: 5},
		{name: "little room, some taken since the reports", streams: 7, unreported: 0.3, named: true, maxRefused: 5},
		{name: "little room, some taken since the reports, no engine named", streams: 7, unreported: 0.3, maxRefused: 5},
		{name: "room for half", streams: 22, named: true, maxRefused: 5},
		{name: "room for half, no engine named", streams: 22, maxRefused: 5},
		{name: "room for half, half of it taken since the reports", streams: 22, unreported: 0.5, named: true, maxRefused: 55},
	} {
		t.Run(l.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				got := l.run(t)
				t.Logf("%+v", got)
				moved, room := got.streams-got.stranded, int(280*(1-l.unreported))
				assert.Assert(t, 100*moved >= 95*min(got.streams, room), "%+v", got)
				assert.Assert(t, 100*got.refused <= l.maxRefused*got.orders, "%+v", got)
			})
		})
	}
}

// newRerouteWatchdog returns a watchdog without a timer for a stream that may not be run again.
func newRerouteWatchdog(f *Forwarder, c *ferrypath.Chooser, run *ferrypath.Run, id ferryid.RequestID) *watchdog {
	s := &callerStream{Forwarder: f, r: &request{RequestInfo: RequestInfo{ID: id}, service: &service{name: "llm", chooser: c}, route: &ferryconfig.Route{Repeat: ferryconfig.RepeatNever}}}
	return &watchdog{callerStream: s, run: run, dest: enginePath{run}, began: f.cfg.Clock.Now()}
}
