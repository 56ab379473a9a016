package ferrycapacity

import (
	"context"
	"fmt"
	"io"
	"sync/atomic"
	"time"

	"github.com/fxamacker/cbor/v2"

	"cactusferry.dev/ferry/ferryid"
	"cactusferry.dev/ferry/ferryorder"
)

const (
	orderLayers     = 32
	orderLoadTime   = 3 * time.Second
	orderTimeout    = time.Hour
	orderIdleTime   = 20 * time.Second
	readAllInterval = 2 * time.Second
	askOverhead     = 112 // bytes of headers and acknowledgement per message
	orderedService  = "herd-llm"
)

// OrderPoint is the cost of managing the orders to the engines of one service.
type OrderPoint struct {
	Engines int
	// ReadAll selects the former design for comparison: every engine is read in each round of 2 s.
	ReadAll bool
	// Takeover is the time from the grant of the lease until all engines have the wanted state; each loads
	// for 3 s.
	Takeover time.Duration
	// TakeoverReads is the number of engine reads in that time. TakeoverBytes is the bytes between the holder
	// and readers.
	TakeoverReads int
	TakeoverBytes int
	// IdleReads is the rate of engine reads while all engines have the wanted state. IdleAsks and IdleBytes
	// are the holder's asks per second and the bytes per second of asks and answers.
	IdleReads float64
	IdleAsks  float64
	IdleBytes float64
	// IdleCPU is the share of a processor core that the holder uses in that state, TakeoverCPU its total
	// processor time during the takeover.
	IdleCPU     float64
	TakeoverCPU time.Duration
}

// orderedEngine is a simulated engine that takes orderLoadTime to load a model.
type orderedEngine struct {
	report ferryorder.Report
	ready  time.Time
}

// orderSimulation simulates one lease holder and its engines on a virtual clock; each engine holds half of
// the layers.
type orderSimulation struct {
	now     time.Time
	wanted  ferryorder.Wanted
	core    *ferryorder.Core
	engines map[string]*orderedEngine
	point   *OrderPoint
	reads   atomic.Int64
	asks    int
	bytes   int
	cpuTime time.Duration
}

func orderWanted(engines int, g ferryid.Generation) ferryorder.Wanted {
	w := ferryorder.Wanted{Service: orderedService, Generation: g, Layers: orderLayers}
	for i := range engines {
		from := ferryid.Layer(i % 2 * orderLayers / 2)
		t := ferryorder.Target{
			Model: "herd-70b", Version: fmt.Sprint("2026-12-0", g), State: ferryorder.StateLive,
			Layers: ferryid.LayerRange{From: from, To: from + orderLayers/2},
		}
		name := fmt.Sprintf("engine-%04d", i)
		w.Engines = append(w.Engines, ferryorder.WantedEngine{Name: ferryid.UpstreamName(name), Address: name + ".herd:8100", Target: t})
	}
	return w
}

func newOrderSimulation(p *OrderPoint) *orderSimulation {
	sim := &orderSimulation{
		now: startTime, wanted: orderWanted(p.Engines, 2), core: ferryorder.NewCore(ferryorder.Pace{}),
		engines: map[string]*orderedEngine{}, point: p,
	}
	for _, r := range orderWanted(p.Engines, 1).Engines {
		sim.engines[r.Address] = &orderedEngine{report: ferryorder.Report{Target: r.Target, Ready: true}}
	}
	sim.core.SetWanted(sim.wanted)
	sim.core.SetFence(1)
	return sim
}

func (sim *orderSimulation) report(_ context.Context, address string) (ferryorder.Report, error) {
	sim.reads.Add(1)
	e := sim.engines[address]
	e.report.Ready = !sim.now.Before(e.ready)
	return e.report, nil
}

// round runs one round of the holder and returns the time of the next.
func (sim *orderSimulation) round() time.Time {
	next := sim.now.Add(readAllInterval)
	if sim.point.ReadAll {
		sim.readAll()
	} else {
		sim.readDue()
	}
	began := processorTime()
	sends, _ := sim.core.Next(sim.now)
	if !sim.point.ReadAll {
		next = sim.core.NextRound(sim.now)
	}
	sim.cpuTime += processorTime() - began
	for _, s := range sends {
		e := sim.engines[s.Address]
		e.report.Target = s.Order.Target
		e.ready = sim.now.Add(orderLoadTime)
	}
	return next
}

func (sim *orderSimulation) readAll() {
	for _, r := range sim.wanted.Engines {
		rep, _ := sim.report(context.Background(), r.Address)
		sim.core.ApplyReport(r.Name, rep, sim.now)
	}
}

func (sim *orderSimulation) readDue() {
	began := processorTime()
	asks := sim.core.Due(sim.now)
	sim.cpuTime += processorTime() - began
	for _, a := range asks {
		ans, err := ferryorder.ReadGroup(context.Background(), sim.wanted, a, sim.report)
		if err != nil {
			sim.core.AskFailed(a, sim.now)
			continue
		}
		if a.Group > 0 {
			sim.asks++
			sim.bytes += wireBytes(a) + wireBytes(ans)
		}
		began = processorTime()
		sim.core.ApplyAnswer(a, ans, sim.now)
		sim.cpuTime += processorTime() - began
	}
}

func wireBytes(v any) int {
	return len(encodeCBOR(v)) + askOverhead
}

func encodeCBOR(v any) []byte {
	m, err := cbor.Marshal(v)
	if err != nil {
		return nil
	}
	return m
}

func (sim *orderSimulation) done() bool {
	for _, r := range sim.wanted.Engines {
		e := sim.engines[r.Address]
		if e.report.Target != r.Target || sim.now.Before(e.ready) {
			return false
		}
	}
	return true
}

// MeasureOrders measures a new holder that moves all engines to another version, and the same holder at rest.
func MeasureOrders(engines int, readAll bool) OrderPoint {
	p := OrderPoint{Engines: engines, ReadAll: readAll}
	sim := newOrderSimulation(&p)
	for !sim.done() && sim.now.Sub(startTime) < orderTimeout {
		sim.now = sim.round()
	}
	p.Takeover = sim.now.Sub(startTime)
	p.TakeoverReads, p.TakeoverBytes, p.TakeoverCPU = int(sim.reads.Load()), sim.bytes, sim.cpuTime
	sim.runUntil(sim.now.Add(orderIdleTime))
	sim.reads.Store(0)
	sim.asks, sim.bytes, sim.cpuTime = 0, 0, 0
	sim.runUntil(sim.now.Add(orderIdleTime))
	p.IdleReads = float64(sim.reads.Load()) / orderIdleTime.Seconds()
	p.IdleAsks = float64(sim.asks) / orderIdleTime.Seconds()
	p.IdleBytes = float64(sim.bytes) / orderIdleTime.Seconds()
	p.IdleCPU = sim.cpuTime.Seconds() / orderIdleTime.Seconds()
	return p
}

func (sim *orderSimulation) runUntil(end time.Time) {
	for sim.now.Before(end) {
		sim.now = sim.round()
	}
}

// PrintOrders writes the points as a Markdown table.
func PrintOrders(w io.Writer, ps []OrderPoint) {
	fmt.Fprintln(w, "| engines | reading | takeover | readings in it | KB in it | core time in it | readings/s at rest | asks/s at rest | B/s at rest | core at rest |")
	fmt.Fprintln(w, "|---|---|---|---|---|---|---|---|---|---|")
	for _, p := range ps {
		mode := "by groups"
		if p.ReadAll {
			mode = "all each 2 s"
		}
		fmt.Fprintf(w, "| %d | %s | %s | %d | %.1f | %s | %.1f | %.1f | %.0f | %.3f%% |\n", p.Engines, mode, p.Takeover, p.TakeoverReads,
			float64(p.TakeoverBytes)/1024, p.TakeoverCPU.Round(100*time.Microsecond), p.IdleReads, p.IdleAsks, p.IdleBytes, 100*p.IdleCPU)
	}
}
