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
	orderLayers    = 32
	orderLoadTime  = 3 * time.Second
	orderWithin    = time.Hour
	orderRest      = 20 * time.Second
	orderOldRound  = 2 * time.Second
	askOverhead    = 112 // of headers and of the acknowledgement, as for all messages
	orderedService = "herd-llm"
)

// OrderPoint is what was measured of the orders to one service's engines.
type OrderPoint struct {
	Engines int
	// Old is true for reading all engines in each round of 2 s, as it was.
	Old bool
	// Takeover is the time from the holder's lease until all engines are as wanted, each loading for 3 s.
	Takeover time.Duration
	// TakeoverReads is the number of readings in that time, TakeoverBytes what the holder and the readers exchange.
	TakeoverReads int
	TakeoverBytes int
	// RestReads are readings a second with nothing to do, RestAsks and RestBytes the holder's asks and answers a second.
	RestReads float64
	RestAsks  float64
	RestBytes float64
	// RestCPU is the share of a core that the holder's core takes with nothing to do, TakeoverCPU what it takes in all.
	RestCPU     float64
	TakeoverCPU time.Duration
}

// orderedEngine is an engine that loads for a while.
type orderedEngine struct {
	report ferryorder.Report
	ready  time.Time
}

// orderBed has one holder and engines on a passed-in clock; half a pipeline to an engine.
type orderBed struct {
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

func newOrderBed(p *OrderPoint) *orderBed {
	b := &orderBed{
		now: startOfTime, wanted: orderWanted(p.Engines, 2), core: ferryorder.NewCore(ferryorder.Pace{}),
		engines: map[string]*orderedEngine{}, point: p,
	}
	for _, r := range orderWanted(p.Engines, 1).Runners {
		b.engines[r.Address] = &orderedEngine{report: ferryorder.Report{Target: r.Target, Ready: true}}
	}
	b.core.SetWanted(b.wanted)
	b.core.SetFence(1)
	return b
}

func (b *orderBed) report(_ context.Context, address string) (ferryorder.Report, error) {
	b.reads.Add(1)
	e := b.engines[address]
	e.report.Ready = !b.now.Before(e.ready)
	return e.report, nil
}

// round is one round of the holder and returns when the next one is.
func (b *orderBed) round() time.Time {
	next := b.now.Add(orderOldRound)
	if b.point.Old {
		b.readAll()
	} else {
		b.readDue()
	}
	began := processorTime()
	sends, _ := b.core.Next(b.now)
	if !b.point.Old {
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

func (b *orderBed) readAll() {
	for _, r := range b.wanted.Runners {
		rep, _ := b.report(context.Background(), r.Address)
		b.core.ApplyReport(r.Name, rep, b.now)
	}
}

func (b *orderBed) readDue() {
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
	return len(cborOf(v)) + askOverhead
}

func cborOf(v any) []byte {
	m, err := cbor.Marshal(v)
	if err != nil {
		return nil
	}
	return m
}

func (b *orderBed) done() bool {
	for _, r := range b.wanted.Runners {
		e := b.engines[r.Address]
		if e.report.Target != r.Target || b.now.Before(e.ready) {
			return false
		}
	}
	return true
}

// MeasureOrders has a new holder bring the engines to another version, and then leaves them at rest.
func MeasureOrders(engines int, old bool) OrderPoint {
	p := OrderPoint{Engines: engines, Old: old}
	b := newOrderBed(&p)
	for !b.done() && b.now.Sub(startOfTime) < orderWithin {
		b.now = b.round()
	}
	p.Takeover = b.now.Sub(startOfTime)
	p.TakeoverReads, p.TakeoverBytes, p.TakeoverCPU = int(b.reads.Load()), b.bytes, b.spent
	b.until(b.now.Add(orderRest))
	b.reads.Store(0)
	b.asks, b.bytes, b.spent = 0, 0, 0
	b.until(b.now.Add(orderRest))
	p.RestReads = float64(b.reads.Load()) / orderRest.Seconds()
	p.RestAsks = float64(b.asks) / orderRest.Seconds()
	p.RestBytes = float64(b.bytes) / orderRest.Seconds()
	p.RestCPU = b.spent.Seconds() / orderRest.Seconds()
	return p
}

func (b *orderBed) until(end time.Time) {
	for b.now.Before(end) {
		b.now = b.round()
	}
}

// PrintOrders writes a table of the points.
func PrintOrders(w io.Writer, ps []OrderPoint) {
	fmt.Fprintln(w, "| engines | reading | takeover | readings in it | KB in it | core time in it | readings/s at rest | asks/s at rest | B/s at rest | core at rest |")
	fmt.Fprintln(w, "|---|---|---|---|---|---|---|---|---|---|")
	for _, p := range ps {
		how := "by groups"
		if p.Old {
			how = "all each 2 s"
		}
		fmt.Fprintf(w, "| %d | %s | %s | %d | %.1f | %s | %.1f | %.1f | %.0f | %.3f%% |\n", p.Engines, how, p.Takeover, p.TakeoverReads,
			float64(p.TakeoverBytes)/1024, p.TakeoverCPU.Round(100*time.Microsecond), p.RestReads, p.RestAsks, p.RestBytes, 100*p.RestCPU)
	}
}
