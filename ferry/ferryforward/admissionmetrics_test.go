package ferryforward

import (
	"bytes"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"
	"gotest.tools/v3/assert"

	"cactusferry.dev/ferry/ferryadmission"
	"cactusferry.dev/ferry/ferryconfig"
	"cactusferry.dev/ferry/ferryid"
	"cactusferry.dev/ferry/ferrypath"
	"cactusferry.dev/ferry/ferryroom"
)

// shortageHarness is a harness whose service llm has the ranks 0 to 2 for the routes /gen/, /mid/ and /low/, with the
// lines and metrics that it writes.
type shortageHarness struct {
	*harness
	log   bytes.Buffer
	scope tally.TestScope
}

func newShortageHarness(t *testing.T) *shortageHarness {
	b := &shortageHarness{harness: newHarness(t), scope: tally.NewTestScope("", nil)}
	c := configuration()
	c.Version = 2
	gen := c.Routes[len(c.Routes)-1]
	for i, name := range []string{"mid", "low"} {
		r := gen
		r.Name, r.Prefix, r.Priority = ferryconfig.RouteName(name), "/"+name+"/", ferryconfig.Priority(i+1)
		c.Routes = append(c.Routes, r)
	}
	s, err := ferryconfig.NewSnapshot(c)
	assert.NilError(t, err)
	b.holder.Offer(s)
	b.holder.Prove(2, b.clock.Now())
	b.forwarder.log, b.forwarder.metrics, b.forwarder.cfg.Scope = zerolog.New(&b.log), metrics{b.scope}, b.scope
	return b
}

// setFill reports all engines as used to a fraction, 200 ms ago.
func (b *shortageHarness) setFill(fill float64) {
	chooser := b.forwarder.cfg.Services.Chooser("llm")
	time.Sleep(200 * time.Millisecond)
	for name, held := range engineLayers {
		room := int64(10000 * held.Len())
		chooser.Report(name, ferrypath.Condition{Pace: 1, Used: int64(fill * float64(room)), Room: room}, b.clock.Now().Add(-200*time.Millisecond))
	}
}

// refusal returns the last line with a Kind.
func (b *shortageHarness) refusal() map[string]any {
	var out map[string]any
	for line := range strings.Lines(b.log.String()) {
		b.t.Log(strings.TrimSuffix(line, "\n"))
		if strings.Contains(line, `"Kind"`) {
			out = nil
			assert.NilError(b.t, json.Unmarshal([]byte(line), &out))
		}
	}
	return out
}

// counted returns the counts of a metric by rank and reason.
func counted(scope tally.TestScope, name string) map[string]int64 {
	out := map[string]int64{}
	for _, c := range scope.Snapshot().Counters() {
		if c.Name() == name && c.Value() > 0 {
			out[strings.TrimSpace(c.Tags()["rank"]+" "+c.Tags()["reason"])] = c.Value()
		}
	}
	return out
}

// TestRefusalsAreExplained guards against refusals whose reason, rank or room is not in the line and the metrics of the
// request, and against requests that are counted as refused though they run.
func TestRefusalsAreExplained(t *testing.T) {
	refuse := func(c net.Conn, r *http.Request) bool {
		writef(c, "HTTP/1.1 503 Busy\r\nRequest-Id: %s\r\nSigned: yes\r\nNot-Run: yes\r\nContent-Length: 0\r\n\r\n", r.Header.Get("Request-Id"))
		return true
	}
	for _, tt := range []struct {
		name, target string
		fill         float64
		engines      handler
		noBudget     bool
		// admit has admission control admit all requests.
		admit    bool
		reason   string
		rank     float64
		admitted int64
		share    bool
	}{
		{"engines short of memory", "/low/x", 1.2, answerOK, false, false, "EnginesShort", 2, 0, true},
		{"no room in the forecast", "/low/x", 2.5, answerOK, false, true, "NoForecastRoom", 2, 1, false},
		{"engines refuse", "/gen/x", 0.1, refuse, false, false, "EngineRefused", 0, 1, false},
		{"retry budget exhausted", "/mid/x", 0.1, refuse, true, false, "RetryBudget", 1, 1, false},
	} {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b := newShortageHarness(t)
				for _, u := range b.upstreams {
					u.setHandler(tt.engines)
				}
				service := b.forwarder.cfg.Services.get("llm")
				for left := tt.noBudget; left; {
					left = service.budget.TakeRetry()
				}
				// With a random seed the first requests are sometimes all admitted, and run or find no room.
				cfg := ferryadmission.Config{Clock: b.clock, Ranks: 3, Random: rand.NewPCG(1, 1)}
				if tt.admit {
					cfg.Ramp = ferryadmission.Ramp{Start: 9, Width: 1}
				}
				core := ferryadmission.New(cfg)
				service.admission.Store(core)
				if tt.admit {
					// With only its own requests a rank is most urgent.
					for range 20 {
						core.Decide(ferryadmission.Request{Customer: "smolyan"}, ferryroom.Room{})
					}
				}
				b.setFill(tt.fill)
				refused, tries := false, int64(0)
				for !refused && tries < 100 {
					tries++
					refused = b.call("GET", tt.target, fmt.Sprintf("7c1e%04d", tries)).status == http.StatusServiceUnavailable
					// Some requests that find no room in the forecast are let through to the search for a path.
					refused = refused && (tt.reason != string(noForecastRoom) || b.refusal()["Reason"] == tt.reason)
					if !refused {
						b.setFill(tt.fill)
					}
				}
				line := b.refusal()
				assert.Equal(t, line["Reason"], tt.reason)
				assert.Equal(t, line["Rank"], tt.rank)
				assert.Equal(t, line["Ranks"], 3.0)
				for _, field := range []string{"Fill", "Layer", "Free", "RoomAge"} {
					assert.Assert(t, line[field] != nil, "no %s", field)
				}
				assert.Equal(t, line["Share"] != nil, tt.share)
				rank := fmt.Sprint(tt.rank)
				b.forwarder.RecordCustomers()
				part := b.scope.Snapshot().Gauges()["customer_part+customer=smolyan,rank="+rank+",service=llm"]
				assert.Assert(t, part != nil && part.Value() == 1, "%v", part)
				counts := counted(b.scope, "requests_refused")
				if tt.reason == string(noForecastRoom) {
					assert.Equal(t, counts[rank+" "+string(noRoom)], tries-1)
					delete(counts, rank+" "+string(noRoom))
				}
				assert.DeepEqual(t, counts, map[string]int64{rank + " " + tt.reason: 1})
				if tt.admitted > 0 {
					assert.Assert(t, counted(b.scope, "requests_admitted")[rank] >= tt.admitted)
				}
			})
		})
	}
}

// TestCustomerSeriesAreBounded guards against series for each of many customers, and against a loud customer that does not
// show.
func TestCustomerSeriesAreBounded(t *testing.T) {
	scope, clock := tally.NewTestScope("", nil), clockwork.NewFakeClock()
	core := ferryadmission.New(ferryadmission.Config{Clock: clock, Random: rand.NewPCG(1, 1), Ranks: 2})
	var c customerMetrics
	for round := range 10 {
		clock.Advance(10 * time.Second)
		for i := range 300 {
			name := ferryid.CustomerName(fmt.Sprintf("c%d-%d", round, i))
			for range 1 + 20*((300-i)/300) { // 21 requests of the first customer, 1 of the others
				core.Decide(ferryadmission.Request{Rank: 1, Customer: name}, ferryroom.Room{Fill: 0.9, Known: true})
			}
		}
		c.record(scope, customerRank{"llm", 1}, core.Snapshot().Ranks[1])
		if round == 0 {
			loud := scope.Snapshot().Gauges()["customer_part+customer=c0-0,rank=1,service=llm"]
			assert.Assert(t, loud != nil && loud.Value() > 20*1/320.0-0.01, "%v", loud)
		}
	}
	gauges := scope.Snapshot().Gauges()
	series, sum := 0, 0.0
	for _, g := range gauges {
		switch g.Name() {
		case "customer_part":
			series++
			sum += g.Value()
			if g.Tags()["customer"] == "c0-0" {
				assert.Equal(t, g.Value(), 0.0, "customer without recent requests")
			}
		case "other_customers_part":
			sum += g.Value()
		}
	}
	assert.Assert(t, series >= customerSeries && series <= maxCustomerSeries, "%d series", series)
	assert.Assert(t, sum > 0.999 && sum < 1.001, "parts sum to %v", sum)
}

// TestAdmissionMetricsDoNotAllocate guards against garbage for each decision.
func TestAdmissionMetricsDoNotAllocate(t *testing.T) {
	m, r := metrics{tally.NewTestScope("", nil)}, &request{service: &service{name: "llm"}, rank: 1, ranks: 3, refusal: refusal{reason: enginesShort}}
	assert.Equal(t, testing.AllocsPerRun(1000, func() {
		m.room(r, ferryroom.Room{Fill: 0.9, Known: true})
		m.admitted(r)
		m.refused(r, time.Second)
	}), 0.0)
}

// BenchmarkAdmissionMetrics measures the metrics of one admitted and one refused request.
func BenchmarkAdmissionMetrics(b *testing.B) {
	scope, closer := tally.NewRootScope(tally.ScopeOptions{}, 0)
	defer closer.Close()
	m, r := metrics{scope}, &request{service: &service{name: "llm"}, rank: 1, ranks: 3, refusal: refusal{reason: enginesShort}}
	b.ReportAllocs()
	for b.Loop() {
		m.room(r, ferryroom.Room{Fill: 0.9, Known: true})
		m.admitted(r)
		m.room(r, ferryroom.Room{Fill: 0.9, Known: true})
		m.refused(r, time.Second)
	}
}
