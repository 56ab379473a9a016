package ferrypath

import (
	"fmt"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"

	"cactusferry.dev/ferry/ferryconfig"
	"cactusferry.dev/ferry/ferrydiscovery"
	"cactusferry.dev/ferry/ferryid"
	"cactusferry.dev/ferry/ferryplatform"
)

// largeFleet returns a model and n engines over five domains, of three sizes that hold 8, 12 and 20 of 80 layers.
func largeFleet(n int) (*ferryconfig.Model, []*ferrydiscovery.Upstream) {
	const domains = 5
	m := &ferryconfig.Model{Layers: 80, LayerSize: 1750, TokenBytes: 590000, EngineTokens: 100000, UsualAnswer: 140, Accelerators: []ferryconfig.Accelerator{{Name: "mid", Memory: 21600, StepFactor: 16, ReadFactor: 8.2}}}
	for from := range domains {
		for to := range from {
			m.Delays = append(m.Delays, ferryconfig.Delay{From: domainName(from), To: domainName(to), OneWay: time.Millisecond})
		}
	}
	var list []*ferrydiscovery.Upstream
	for i := range n {
		size := [...]ferryid.Layer{8, 12, 8, 12, 8, 12, 8, 12, 8, 20}[i/domains%10]
		from := ferryid.Layer(i/domains/10) * size % 80
		list = append(list, &ferrydiscovery.Upstream{Instance: ferryplatform.Instance{
			Name: fmt.Sprintf("e%04d", i), Address: fmt.Sprintf("10.0.%d.%d:80", i/250, i%250), FailureDomain: domainName(i % domains), Accelerator: "mid",
			State: ferryplatform.StateLive, Layers: ferryid.LayerRange{From: from, To: min(from+size, 80)},
		}})
	}
	return m, list
}

func domainName(i int) ferryid.DomainName { return ferryid.DomainName(fmt.Sprint("d", i)) }

// BenchmarkSet applies one changed engine to a chooser of n engines and selects a path.
func BenchmarkSet(b *testing.B) {
	for _, n := range []int{200, 1000, 3000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			m, list := largeFleet(n)
			c := NewChooser(Options{Clock: clockwork.NewRealClock(), Domain: "d0"})
			b.ReportAllocs()
			for b.Loop() {
				c.Set(m, list)
				r, err := c.Pick(Work{Prompt: 760, Answer: 140})
				if err != nil {
					b.Fatal(err)
				}
				r.Done()
			}
		})
	}
}

// BenchmarkPick selects a path among n engines.
func BenchmarkPick(b *testing.B) {
	for _, n := range []int{200, 1000, 3000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			m, list := largeFleet(n)
			c := NewChooser(Options{Clock: clockwork.NewRealClock(), Domain: "d0"})
			c.Set(m, list)
			b.ReportAllocs()
			for b.Loop() {
				r, err := c.Pick(Work{Prompt: 760, Answer: 140})
				if err != nil {
					b.Fatal(err)
				}
				r.Done()
			}
		})
	}
}

// BenchmarkMove plans moves of one of 35 runs off the second engine of its path, alone and with the others.
func BenchmarkMove(b *testing.B) {
	for _, n := range []int{200, 1600} {
		m, list := largeFleet(n)
		clock := clockwork.NewFakeClock()
		c := NewChooser(Options{Clock: clock, Domain: "d0"})
		c.Set(m, list)
		c.SetEntries(map[ferryid.DomainName]int{"d0": 25})
		for _, u := range list {
			room := int64(100000 * u.Layers.Len())
			c.Report(u.Name, Condition{Pace: 1, Used: room / 20, Room: room}, clock.Now())
		}
		var runs []*Run
		for range 35 {
			r, err := c.Pick(Work{Prompt: 760, Answer: 140})
			if err != nil {
				b.Fatal(err)
			}
			runs = append(runs, r)
		}
		off := []ferryid.UpstreamName{ferryid.UpstreamName(runs[0].Path().Hops()[1].Upstream.Name)}
		b.Run(fmt.Sprint("Detour/", n), func(b *testing.B) {
			for b.Loop() {
				if _, err := runs[0].Detour(off); err != nil {
					b.Fatal(err)
				}
			}
		})
		b.Run(fmt.Sprint("PlanMove/", n), func(b *testing.B) {
			for b.Loop() {
				p, err := runs[0].PlanMove(off, nil)
				if err != nil {
					b.Fatal(err)
				}
				p.Cancelled()
			}
		})
	}
}

// BenchmarkForecast computes the forecast of 350 entries with 1,600 engines in five failure domains, with room for the
// arrivals in each failure domain and with none in this entry's, and selects paths of a forecast that is still in use.
func BenchmarkForecast(b *testing.B) {
	for _, tt := range []struct {
		name string
		used float64
	}{{"Room", 0.3}, {"Overflow", 4}} {
		m, list := largeFleet(1600)
		clock := clockwork.NewFakeClock()
		c := NewChooser(Options{Clock: clock, Domain: "d0"})
		c.Set(m, list)
		c.SetContended(true)
		entries := map[ferryid.DomainName]int{}
		for d := range 5 {
			entries[domainName(d)] = 70
		}
		c.SetEntries(entries)
		work := Work{Prompt: 760, Answer: 140, Urgency: 1}
		pick := func() {
			if r, err := c.Pick(work); err == nil {
				r.Done()
			}
		}
		for range 15 {
			clock.Advance(100 * time.Millisecond)
			pick()
		}
		for _, u := range list {
			room := int64(100000 * u.Layers.Len())
			used := 0.3
			if u.FailureDomain == "d0" {
				used = tt.used
			}
			c.Report(u.Name, Condition{Pace: 1, Used: int64(used * float64(room)), Room: room}, clock.Now())
		}
		b.Run("Compute/"+tt.name, func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				c.forecast.at = time.Time{}
				c.updateForecast(clock.Now())
			}
			b.ReportMetric(float64(len(c.forecast.plans)), "plans")
		})
		b.Run("Pick/"+tt.name, func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				pick()
			}
		})
		b.Run("Room/"+tt.name, func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				c.computeRoom(clock.Now())
			}
		})
	}
}

// BenchmarkForecastOfDomains computes the forecast of one of 350 entries over n engines in 8 failure domains, while the arrivals
// fit and while those of this entry's failure domain and of others overflow.
func BenchmarkForecastOfDomains(b *testing.B) {
	const domains = 8
	for _, n := range []int{200, 1600} {
		for _, tt := range []struct {
			name string
			// own and others are the used parts of the engines in percent, and rate is this entry's arrivals per second.
			own, others int64
			rate        float64
		}{{"fits", 5, 5, 0.1}, {"overflow", 100, 20, 1}, {"full", 100, 100, 20}} {
			b.Run(fmt.Sprint(tt.name, "/", n), func(b *testing.B) {
				m, list := largeFleet(n)
				entries := map[ferryid.DomainName]int{}
				for i := range domains {
					entries[domainName(i)] = 44
				}
				for i, u := range list {
					u.FailureDomain = domainName(i % domains)
					u.Layers = ferryid.LayerRange{From: ferryid.Layer(i/domains%10) * 8, To: ferryid.Layer(i/domains%10)*8 + 8}
				}
				clock := clockwork.NewFakeClock()
				c := NewChooser(Options{Clock: clock, Domain: "d0"})
				c.Set(m, list)
				c.SetEntries(entries)
				c.SetContended(true)
				for _, u := range list {
					room := int64(100000 * u.Layers.Len())
					used := room * tt.others / 100
					if u.FailureDomain == "d0" {
						used = room * tt.own / 100
					}
					c.Report(u.Name, Condition{Pace: 1, Used: used, Room: room}, clock.Now())
				}
				c.updatePlanner()
				now, rate := clock.Now(), tt.rate*float64(n)/100
				c.arrivals = arrivals{count: rate * rateTime.Seconds(), tokens: 900 * rate * rateTime.Seconds(), since: now.Add(-time.Minute), at: now}
				placed := 0
				b.ReportAllocs()
				for b.Loop() {
					c.forecast.at = time.Time{}
					placed = len(c.updateForecast(now).plans)
				}
				b.ReportMetric(float64(placed), "parts")
			})
		}
	}
}
