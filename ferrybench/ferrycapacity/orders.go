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
	// Takeover is the time from the grant of the lease until all engines have the wanted state; each loads for 3 s.
	Takeover time.Duration
	// TakeoverReads is the number of engine reads in that time. TakeoverBytes is the bytes between the holder and readers.
	TakeoverReads int
	TakeoverBytes int
	// IdleReads is the rate of engine reads while no order is open. IdleAsks and IdleBytes are the holder's asks per
	// second and the bytes per second of asks and answers.
	IdleReads float64
	IdleAsks  float64
	IdleBytes float64
	// IdleCPU is the share of a processor core that the holder uses while no order is open, TakeoverCPU its total
	// processor time during the takeover.
	IdleCPU     float64
	TakeoverCPU time.Duration
}

// orderedEngine is a simulated engine that takes orderLoadTime to load a model.
type orderedEngine struct {
	report ferryorder.Report
	ready  time.Time
}

// orderSimulation simulates one lease holder and its engines on a virtual clock; each engine holds half of the layers.
type orderSimulation struct {
	now     time.Time
	wanted  ferryorder.Wanted
	core    *ferryorder.Core
	engines map[string]*orderedEngine
	point   *OrderPoint
	reads   atomic.Int64
	asks    int
	bytes   int
	spent   time.Duration
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
		w.Runners = append(w.Runners, ferryorder.Runner{Name: ferryid.UpstreamName(name), Address: name + ".herd:8100", Target: t})
	}
	return w
}

func newOrderSimulation(p *OrderPoint) *orderSimulation {
	b := &orderSimulation{
		now: startTime, wanted: orderWanted(p.Engines, 2), core: ferryorder.NewCore(ferryorder.Pace{}),
		engines: map[string]*orderedEngine{}, point: p,
	}
	for _, r := range orderWanted(p.Engines, 1).Runners {
		b.engines[r.Address] = &orderedEngine{report: ferryorder.Report{Target: r.Target, Ready: true}}
	}
	b.core.SetWanted(b.wanted)
	b.core.SetFence(1)
	return b
}

func (b *orderSimulation) report(_ context.Context, address string) (ferryorder.Report, error) {
	b.reads.Add(1)
	e := b.engines[address]
	e.report.Ready = !b.now.Before(e.ready)
	return e.report, nil
}

// round runs one round of the holder and returns the time of the next.
func (b *orderSimulation) round() time.Time {
	next := b.now.Add(readAllInterval)
	if b.point.ReadAll {
		b.readAll()
	} else {
		b.readDue()
	}
	began := processorTime()
	sends, _ := b.core.Next(b.now)
	if !b.point.ReadAll {
		next = b.core.NextRound(b.now)
	}
	b.spent += processorTime() - began
	for _, s := range sends {
		e := b.engines[s.Address]
		e.report.Target = s.Order.Target
		e.ready = b.now.Add(orderLoadTime)
	}
	return next
}

func (b *orderSimulation) readAll() {
	for _, r := range b.wanted.Runners {
		rep, _ := b.report(context.Background(), r.Address)
		b.core.ApplyReport(r.Name, rep, b.now)
	}
}

func (b *orderSimulation) readDue() {
	began := processorTime()
	asks := b.core.Due(b.now)
	b.spent += processorTime() - began
	for _, a := range asks {
		ans, err := ferryorder.ReadGroup(context.Background(), b.wanted, a, b.report)
		if err != nil {
			b.core.AskFailed(a, b.now)
			continue
		}
		if a.Group > 0 {
			b.asks++
			b.bytes += wireBytes(a) + wireBytes(ans)
		}
		began = processorTime()
		b.core.ApplyAnswer(a, ans, b.now)
		b.spent += processorTime() - began
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

func (b *orderSimulation) done() bool {
	for _, r := range b.wanted.Runners {
		e := b.engines[r.Address]
		if e.report.Target != r.Target || b.now.Before(e.ready) {
			return false
		}
	}
	return true
}

// MeasureOrders measures a new holder that moves all engines to another version, and the same holder at rest.
func MeasureOrders(engines int, readAll bool) OrderPoint {
	p := OrderPoint{Engines: engines, ReadAll: readAll}
	b := newOrderSimulation(&p)
	for !b.done() && b.now.Sub(startTime) < orderTimeout {
		b.now = b.round()
	}
	p.Takeover = b.now.Sub(startTime)
	p.TakeoverReads, p.TakeoverBytes, p.TakeoverCPU = int(b.reads.Load()), b.bytes, b.spent
	b.runUntil(b.now.Add(orderIdleTime))
	b.reads.Store(0)
	b.asks, b.bytes, b.spent = 0, 0, 0
	b.runUntil(b.now.Add(orderIdleTime))
	p.IdleReads = float64(b.reads.Load()) / orderIdleTime.Seconds()
	p.IdleAsks = float64(b.asks) / orderIdleTime.Seconds()
	p.IdleBytes = float64(b.bytes) / orderIdleTime.Seconds()
	p.IdleCPU = b.spent.Seconds() / orderIdleTime.Seconds()
	return p
}

func (b *orderSimulation) runUntil(end time.Time) {
	for b.now.Before(end) {
		b.now = b.round()
	}
}

// PrintOrders writes the points as a Markdown table.
func PrintOrders(w io.Writer, ps []OrderPoint) {
	fmt.Fprintln(w, "| engines | reading | takeover | readings in it | KB in it | core time in it | readings/s at rest | asks/s at rest | B/s at rest | core at rest |")
	fmt.Fprintln(w, "|---|---|---|---|---|---|---|---|---|---|")
	for _, p := range ps {
		how := "by groups"
		if p.ReadAll {
			how = "all each 2 s"
		}
		fmt.Fprintf(w, "| %d | %s | %s | %d | %.1f | %s | %.1f | %.1f | %.0f | %.3f%% |\n", p.Engines, how, p.Takeover, p.TakeoverReads,
			float64(p.TakeoverBytes)/1024, p.TakeoverCPU.Round(100*time.Microsecond), p.IdleReads, p.IdleAsks, p.IdleBytes, 100*p.IdleCPU)
	}
}
