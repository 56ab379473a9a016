package ferryplacement

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"cactusferry.dev/ferry/ferryconfig"
	"cactusferry.dev/ferry/ferrydiscovery"
	"cactusferry.dev/ferry/ferryid"
	"cactusferry.dev/ferry/ferryplatform"
)

// busyEngines answers each call after a few milliseconds and counts the calls that wait at the same time.
type busyEngines struct {
	mu            sync.Mutex
	waiting, most int
	placed        map[string]bool
}

func (b *busyEngines) enter() {
	b.mu.Lock()
	b.waiting++
	b.most = max(b.most, b.waiting)
	b.mu.Unlock()
	time.Sleep(5 * time.Millisecond)
	b.mu.Lock()
	b.waiting--
	b.mu.Unlock()
}

func (b *busyEngines) State(context.Context, *ferrydiscovery.Upstream) (State, error) {
	b.enter()
	return State{}, nil
}

func (b *busyEngines) Place(_ context.Context, u *ferrydiscovery.Upstream, _ PlaceOrder) error {
	b.enter()
	b.mu.Lock()
	defer b.mu.Unlock()
	b.placed[u.Name] = true
	return nil
}

// heldLease is a lease that is always held.
type heldLease struct{}

func (heldLease) Check() (ferryid.Fence, time.Time, error) {
	return 1, time.Now().Add(time.Hour), nil
}

// TestFirstPlacementOfManyEngines places 3,000 empty engines at once. All must have their order within seconds, while
// the entry has a bounded number of calls open.
func TestFirstPlacementOfManyEngines(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const engines = 3000
		b := &busyEngines{placed: map[string]bool{}}
		p := New(Config{Engines: b, Lease: heldLease{}, Clock: clockwork.NewRealClock(), Log: zerolog.Nop()})
		m := model()
		m.Accelerators = []ferryconfig.Accelerator{accelerators["mid"]}
		var list []*ferrydiscovery.Upstream
		for i := range engines {
			list = append(list, &ferrydiscovery.Upstream{Instance: ferryplatform.Instance{
				Name: fmt.Sprint("e", i), FailureDomain: ferryid.DomainName(fmt.Sprint("d", i%5)), Accelerator: "mid", State: ferryplatform.StateLive,
			}})
		}
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan struct{})
		go func() {
			defer close(done)
			p.Run(ctx)
		}()
		p.Set(m, MemorySuffices, list)
		time.Sleep(settleFor + 3*time.Second)
		cancel()
		<-done
		synctest.Wait()
		assert.Equal(t, len(b.placed), engines)
		assert.Assert(t, b.most <= 128, "%d calls open at once", b.most)
	})
}

// TestNoOrdersToEngineThatWantsNoRequests has an engine ask for no requests until a time.
func TestNoOrdersToEngineThatWantsNoRequests(t *testing.T) {
	clock := clockwork.NewFakeClock()
	table := ferrydiscovery.NewTable(clock)
	table.Apply([]ferrydiscovery.Change{{Upstream: ferrydiscovery.Upstream{Instance: ferryplatform.Instance{Name: "e"}, Version: 1}}})
	e := table.View().Get("e")
	e.Defer(clock.Now().Add(time.Second))
	b := &busyEngines{placed: map[string]bool{}}
	p := New(Config{Engines: b, Lease: heldLease{}, Clock: clock, Log: zerolog.Nop()})
	s := Send{Upstream: e, Layers: ferryid.LayerRange{To: 4}}
	assert.Equal(t, p.sendOrder(t.Context(), s), Refused)
	assert.Equal(t, b.most, 0, "the engine was asked for its state")
	clock.Advance(time.Second)
	assert.Equal(t, p.sendOrder(t.Context(), s), Begun)
	assert.Assert(t, b.placed["e"])
}

// BenchmarkNext decides the orders of a fleet whose engines all hold layers.
func BenchmarkNext(b *testing.B) {
	for _, n := range []int{200, 1000, 3000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			m := model()
			m.Accelerators = []ferryconfig.Accelerator{accelerators["mid"]}
			c := NewCore()
			var list []*ferrydiscovery.Upstream
			for i := range n {
				from := ferryid.Layer(i / 5 % 8 * 10)
				list = append(list, &ferrydiscovery.Upstream{Instance: ferryplatform.Instance{
					Name: fmt.Sprint("e", i), FailureDomain: ferryid.DomainName(fmt.Sprint("d", i%5)), Accelerator: "mid",
					State: ferryplatform.StateLive, Layers: ferryid.LayerRange{From: from, To: from + 10},
				}})
			}
			c.Set(m, MemorySuffices, list, time.Unix(0, 0))
			c.placed = true
			for b.Loop() {
				c.Next(time.Unix(100, 0))
			}
		})
	}
}
