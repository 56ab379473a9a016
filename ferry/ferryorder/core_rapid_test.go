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

// engine is a stand-in that loads in two steps and may check fencing numbers.
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

// nameOf is made once for each engine, since the histories ask for it in every step.
func nameOf(i int) ferryid.UpstreamName { return engineNames[i] }

var engineNames = []ferryid.UpstreamName{"e0", "e1", "e2", "e3", "e4", "e5"}

// wanteds keeps what wantedAt made.
var wanteds sync.Map

func wantedAt(g int) Wanted {
	kept, ok := wanteds.Load(g)
	if !ok {
		kept, _ = wanteds.LoadOrStore(g, newWanted(g))
	}
	w := kept.(Wanted)
	w.Runners = slices.Clone(w.Runners)
	return w
}

func newWanted(g int) Wanted {
	w := Wanted{Service: "herd-llm", Generation: ferryid.Generation(g), Layers: 4}
	for i := range 6 {
		t := Target{Model: "m", Version: fmt.Sprint("v", g), Adapter: fmt.Sprint("a", g/2), Layers: halves[(i+g/3)%2], State: StateLive}
		w.Runners = append(w.Runners, Runner{Name: nameOf(i), Address: fmt.Sprint(i), Target: t})
	}
	return w
}

// orderWorld has two entries that give orders to six engines.
type orderWorld struct {
	now     time.Time
	engines []*engine
	cores   []*Core
	holder  int
	fence   ferryid.Fence
	flying  []Send
	from    []int
	g       int
}

func newOrderWorld(checks func(int) bool) *orderWorld {
	w := &orderWorld{now: time.Unix(1_800_000_000, 0), fence: 1, g: 1}
	for i, r := range wantedAt(1).Runners {
		w.engines = append(w.engines, &engine{checks: checks(i), report: Report{Target: r.Target, Ready: true}})
	}
	for range 2 {
		c := NewCore(Pace{LayersPerSecond: 1, Burst: 4})
		c.SetWanted(wantedAt(1))
		w.cores = append(w.cores, c)
	}
	return w
}

func (w *orderWorld) read(h int) {
	for i, e := range w.engines {
		w.cores[h].Reported(nameOf(i), e.report, w.now)
	}
}

func (w *orderWorld) decide(h int) {
	if h == w.holder {
		w.cores[h].SetFence(w.fence)
	}
	sends, _ := w.cores[h].Next(w.now)
	for _, s := range sends {
		w.flying = append(w.flying, s)
		w.from = append(w.from, h)
	}
}

// land delivers one order, however late.
func (w *orderWorld) land(i int) {
	s, h := w.flying[i], w.from[i]
	w.flying = append(w.flying[:i:i], w.flying[i+1:]...)
	w.from = append(w.from[:i:i], w.from[i+1:]...)
	for k, r := range wantedAt(1).Runners {
		if r.Name == s.Name && w.engines[k].order(s.Order) != nil {
			w.cores[h].Refused(s.Name)
		}
	}
}

func (w *orderWorld) load() {
	for _, e := range w.engines {
		e.report.Ready = true
	}
}

// serving reports whether some whole pipeline is in service.
func (w *orderWorld) serving() bool {
	c := NewCore(Pace{})
	c.SetWanted(wantedAt(w.g))
	for i, e := range w.engines {
		c.Reported(nameOf(i), e.report, w.now)
	}
	return c.anyWhole(nil)
}

// settle runs the holder's rounds without faults and returns how long it took until all is as wanted.
func (w *orderWorld) settle(rt *rapid.T) {
	for len(w.flying) > 0 {
		w.land(0)
	}
	for _, c := range w.cores {
		c.SetWanted(wantedAt(w.g))
	}
	for range 120 {
		w.now = w.now.Add(defaultInterval)
		w.load()
		w.read(w.holder)
		w.decide(w.holder)
		for len(w.flying) > 0 {
			w.land(0)
		}
	}
	for i, r := range wantedAt(w.g).Runners {
		if w.engines[i].report.Target != r.Target {
			rt.Fatalf("%s is %+v, wanted %+v", r.Name, w.engines[i].report.Target, r.Target)
		}
	}
}

func (w *orderWorld) actions(stale bool) map[string]func(*rapid.T) {
	who := func(rt *rapid.T) int {
		if !stale {
			return w.holder
		}
		return rapid.IntRange(0, 1).Draw(rt, "entry")
	}
	acts := map[string]func(*rapid.T){
		"read":   func(rt *rapid.T) { w.read(who(rt)) },
		"decide": func(rt *rapid.T) { w.decide(who(rt)) },
		"load":   func(*rapid.T) { w.load() },
		"land": func(rt *rapid.T) {
			if len(w.flying) == 0 {
				rt.Skip()
			}
			w.land(rapid.IntRange(0, len(w.flying)-1).Draw(rt, "order"))
		},
		"time": func(rt *rapid.T) {
			w.now = w.now.Add(time.Duration(rapid.IntRange(1, 9).Draw(rt, "seconds")) * time.Second)
		},
		"accept": func(*rapid.T) { w.g++ },
		"learn":  func(rt *rapid.T) { w.cores[who(rt)].SetWanted(wantedAt(w.g)) },
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
		w := newOrderWorld(func(i int) bool { return i%2 == 0 })
		highest := make([]ferryid.Fence, len(w.engines))
		acts := w.actions(true)
		acts[""] = func(rt *rapid.T) {
			for i, e := range w.engines {
				if e.checks && e.highest < highest[i] {
					rt.Fatalf("engine %d took fence %d after %d", i, e.highest, highest[i])
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
		w := newOrderWorld(func(int) bool { return true })
		w.cores[w.holder].bucket.pace = Pace{}
		acts := w.actions(false)
		acts["time"] = func(*rapid.T) { w.now = w.now.Add(time.Millisecond) }
		acts[""] = func(rt *rapid.T) {
			if !w.serving() {
				rt.Fatalf("no whole pipeline is in service")
			}
		}
		rt.Repeat(acts)
		w.settle(rt)
	})
}

func TestPaceBoundsLoads(t *testing.T) {
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

// duty is a tenure and engines in one, for the shell's test.
type duty struct {
	mu    sync.Mutex
	fence ferryid.Fence
	until time.Time
	es    map[string]*engine
}

func (d *duty) Check() (ferryid.Fence, time.Time, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.fence, d.until, nil
}

func (d *duty) AtLeast(f ferryid.Fence) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.fence = max(d.fence, f)
}

func (d *duty) Order(_ context.Context, address string, o Order) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.es[address].order(o)
}

func (d *duty) Report(_ context.Context, address string) (Report, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.es[address].report.Ready = true
	return d.es[address].report, nil
}

func TestOrdersCatchUpWithEnginesThatSawHigherFences(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		clock := clockwork.NewRealClock()
		d := &duty{fence: 1, until: clock.Now().Add(time.Hour), es: map[string]*engine{}}
		for i, r := range wantedAt(1).Runners {
			d.es[r.Address] = &engine{checks: true, highest: ferryid.Fence(i * 10), report: Report{Target: r.Target, Ready: true}}
		}
		o := New(Config{Tenure: d, Engine: d, Clock: clock})
		o.Want(wantedAt(2))
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan error)
		go func() { done <- o.Run(ctx) }()
		as := func() bool {
			for _, r := range wantedAt(2).Runners {
				if rep, _ := d.Report(ctx, r.Address); rep.Target != r.Target {
					return false
				}
			}
			return true
		}
		for clock.Now().Before(d.until) && !as() {
			time.Sleep(100 * time.Millisecond)
			synctest.Wait()
		}
		cancel()
		<-done
		assert.Assert(t, as())
	})
}
