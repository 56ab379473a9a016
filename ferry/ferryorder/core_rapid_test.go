package ferryorder

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/jonboulle/clockwork"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"cactusferry.dev/ferry/ferryid"
)

// engine is a fake engine that loads in two steps and optionally checks fencing numbers.
type engine struct {
	checks  bool
	report  Report
	highest ferryid.Fence
}

func (e *engine) order(o Order) error {
	if e.checks && o.Fence < e.highest {
		return &FenceError{Highest: e.highest}
	}
	e.highest = max(e.highest, o.Fence)
	e.report = Report{Target: o.Target, Ready: e.report.Ready && !o.loads(e.report.Target)}
	return nil
}

var halves = []ferryid.LayerRange{{From: 0, To: 2}, {From: 2, To: 4}}

// nameOf returns a preallocated name, because the histories use it in every step.
func nameOf(i int) ferryid.UpstreamName { return engineNames[i] }

var engineNames = []ferryid.UpstreamName{"e0", "e1", "e2", "e3", "e4", "e5"}

// wantedCache caches the results of newWanted by generation.
var wantedCache sync.Map

func wantedAt(g int) Wanted {
	cached, ok := wantedCache.Load(g)
	if !ok {
		cached, _ = wantedCache.LoadOrStore(g, newWanted(g))
	}
	w := cached.(Wanted)
	w.Engines = slices.Clone(w.Engines)
	return w
}

func newWanted(g int) Wanted {
	w := Wanted{Service: "herd-llm", Generation: ferryid.Generation(g), Layers: 4}
	for i := range 6 {
		t := Target{Model: "m", Version: fmt.Sprint("v", g), Adapter: fmt.Sprint("a", g/2), Layers: halves[(i+g/3)%2], State: StateLive}
		w.Engines = append(w.Engines, WantedEngine{Name: nameOf(i), Address: fmt.Sprint(i), Target: t})
	}
	return w
}

// orderModel simulates two entries that send orders to six engines.
type orderModel struct {
	now        time.Time
	engines    []*engine
	cores      []*Core
	holder     int
	fence      ferryid.Fence
	inFlight   []Send
	senders    []int
	generation int
}

func newOrderModel(checks func(int) bool) *orderModel {
	w := &orderModel{now: time.Unix(1_800_000_000, 0), fence: 1, generation: 1}
	for i, r := range wantedAt(1).Engines {
		w.engines = append(w.engines, &engine{checks: checks(i), report: Report{Target: r.Target, Ready: true}})
	}
	for range 2 {
		c := NewCore(Pace{LayersPerSecond: 1, Burst: 4})
		c.SetWanted(wantedAt(1))
		w.cores = append(w.cores, c)
	}
	return w
}

func (w *orderModel) read(h int) {
	for i, e := range w.engines {
		w.cores[h].ApplyReport(nameOf(i), e.report, w.now)
	}
}

func (w *orderModel) decide(h int) {
	if h == w.holder {
		w.cores[h].SetFence(w.fence)
	}
	sends, _ := w.cores[h].Next(w.now)
	for _, s := range sends {
		w.inFlight = append(w.inFlight, s)
		w.senders = append(w.senders, h)
	}
}

// deliver delivers order i of those in flight, however late.
func (w *orderModel) deliver(i int) {
	s, h := w.inFlight[i], w.senders[i]
	w.inFlight = append(w.inFlight[:i:i], w.inFlight[i+1:]...)
	w.senders = append(w.senders[:i:i], w.senders[i+1:]...)
	for k, r := range wantedAt(1).Engines {
		if r.Name == s.Name && w.engines[k].order(s.Order) != nil {
			w.cores[h].OrderRefused(s.Name)
		}
	}
}

func (w *orderModel) load() {
	for _, e := range w.engines {
		e.report.Ready = true
	}
}

// serving reports whether a complete pipeline is in service.
func (w *orderModel) serving() bool {
	c := NewCore(Pace{})
	c.SetWanted(wantedAt(w.generation))
	for i, e := range w.engines {
		c.ApplyReport(nameOf(i), e.report, w.now)
	}
	return c.anyComplete(nil)
}

// settle runs the holder's rounds without faults and fails the test unless all engines reach the wanted state.
func (w *orderModel) settle(rt *rapid.T) {
	for len(w.inFlight) > 0 {
		w.deliver(0)
	}
	for _, c := range w.cores {
		c.SetWanted(wantedAt(w.generation))
	}
	for range 120 {
		w.now = w.now.Add(defaultInterval)
		w.load()
		w.read(w.holder)
		w.decide(w.holder)
		for len(w.inFlight) > 0 {
			w.deliver(0)
		}
	}
	for i, r := range wantedAt(w.generation).Engines {
		if w.engines[i].report.Target != r.Target {
			rt.Fatalf("%s is %+v, wanted %+v", r.Name, w.engines[i].report.Target, r.Target)
		}
	}
}

func (w *orderModel) actions(stale bool) map[string]func(*rapid.T) {
	chooseEntry := func(rt *rapid.T) int {
		if !stale {
			return w.holder
		}
		return rapid.IntRange(0, 1).Draw(rt, "entry")
	}
	acts := map[string]func(*rapid.T){
		"read":   func(rt *rapid.T) { w.read(chooseEntry(rt)) },
		"decide": func(rt *rapid.T) { w.decide(chooseEntry(rt)) },
		"load":   func(*rapid.T) { w.load() },
		"land": func(rt *rapid.T) {
			if len(w.inFlight) == 0 {
				rt.Skip()
			}
			w.deliver(rapid.IntRange(0, len(w.inFlight)-1).Draw(rt, "order"))
		},
		"time": func(rt *rapid.T) {
			w.now = w.now.Add(time.Duration(rapid.IntRange(1, 9).Draw(rt, "seconds")) * time.Second)
		},
		"accept": func(*rapid.T) { w.generation++ },
		"learn":  func(rt *rapid.T) { w.cores[chooseEntry(rt)].SetWanted(wantedAt(w.generation)) },
	}
	if stale {
		acts["lease moves"] = func(*rapid.T) {
			w.holder = 1 - w.holder
			w.fence++
		}
	}
	return acts
}

func TestStaleHoldersNeverDecideTheEnd(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(rt *rapid.T) {
		w := newOrderModel(func(i int) bool { return i%2 == 0 })
		highest := make([]ferryid.Fence, len(w.engines))
		acts := w.actions(true)
		acts[""] = func(rt *rapid.T) {
			for i, e := range w.engines {
				if e.checks && e.highest < highest[i] {
					rt.Fatalf("engine %d accepted fencing number %d after %d", i, e.highest, highest[i])
				}
				highest[i] = e.highest
			}
		}
		rt.Repeat(acts)
		w.settle(rt)
	})
}

func TestLastCopyStaysInService(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(rt *rapid.T) {
		w := newOrderModel(func(int) bool { return true })
		w.cores[w.holder].bucket.pace = Pace{}
		acts := w.actions(false)
		acts["time"] = func(*rapid.T) { w.now = w.now.Add(time.Millisecond) }
		acts[""] = func(rt *rapid.T) {
			if !w.serving() {
				rt.Fatalf("no complete pipeline is in service")
			}
		}
		rt.Repeat(acts)
		w.settle(rt)
	})
}

func TestPaceLimitsLoads(t *testing.T) {
	b := bucket{pace: Pace{LayersPerSecond: 2, Burst: 4}}
	now := time.Unix(1_800_000_000, 0)
	loaded := 0
	for range 600 {
		now = now.Add(100 * time.Millisecond)
		if b.take(2, now) {
			loaded += 2
		}
	}
	assert.Assert(t, loaded >= 118 && loaded <= 124, "%d", loaded)
}

// fakeTenure implements Tenure and Engine.
type fakeTenure struct {
	mu      sync.Mutex
	fence   ferryid.Fence
	until   time.Time
	engines map[string]*engine
}

func (d *fakeTenure) Check() (ferryid.Fence, time.Time, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.fence, d.until, nil
}

func (d *fakeTenure) AtLeast(f ferryid.Fence) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.fence = max(d.fence, f)
}

func (d *fakeTenure) Order(_ context.Context, address string, o Order) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.engines[address].order(o)
}

func (d *fakeTenure) Report(_ context.Context, address string) (Report, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.engines[address].report.Ready = true
	return d.engines[address].report, nil
}

func TestOrdersRecoverFromHigherFences(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		clock := clockwork.NewRealClock()
		d := &fakeTenure{fence: 1, until: clock.Now().Add(time.Hour), engines: map[string]*engine{}}
		for i, r := range wantedAt(1).Engines {
			d.engines[r.Address] = &engine{checks: true, highest: ferryid.Fence(i * 10), report: Report{Target: r.Target, Ready: true}}
		}
		o := New(Config{Tenure: d, Engine: d, Clock: clock})
		o.Want(wantedAt(2))
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan error)
		go func() { done <- o.Run(ctx) }()
		converged := func() bool {
			for _, r := range wantedAt(2).Engines {
				if rep, _ := d.Report(ctx, r.Address); rep.Target != r.Target {
					return false
				}
			}
			return true
		}
		for clock.Now().Before(d.until) && !converged() {
			time.Sleep(100 * time.Millisecond)
			synctest.Wait()
		}
		cancel()
		<-done
		assert.Assert(t, converged())
	})
}
