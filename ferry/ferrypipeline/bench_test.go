package ferrypipeline_test

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"gotest.tools/v3/assert"

	"cactusferry.dev/ferry/ferryengine"
	"cactusferry.dev/ferry/ferryid"
	"cactusferry.dev/ferry/ferrypipeline"
	"cactusferry.dev/ferry/ferrystream"
)

const relayTokens = 512

// relayLines returns the lines that an engine sends for one answer through the stages.
func relayLines(stages ferryengine.Stages) []byte {
	b := ferryengine.AppendItem(nil, &ferryengine.Item{Epoch: 1, Ready: true})
	for p := range relayTokens {
		it := ferryengine.Item{Epoch: 1, Position: ferryid.Position(p), Text: " words"}
		for _, s := range stages {
			it.Receipts = append(it.Receipts, ferryengine.Receipt{Stage: s.Address, Layers: s.Layers})
		}
		b = ferryengine.AppendItem(b, &it)
	}
	return ferryengine.AppendItem(b, &ferryengine.Item{Epoch: 1, Done: true, Reason: "length", Tokens: relayTokens})
}

func relayPlan(first string) ferrypipeline.Plan {
	p := ferrypipeline.Plan{Layers: 64}
	for i, address := range []string{first, "10.0.0.2:8000", "10.0.0.3:8000", "10.0.0.4:8000"} {
		p.Stages = append(p.Stages, ferrypipeline.Stage{
			Name: ferryid.UpstreamName("e" + string(rune('0'+i))), Address: address,
			Layers: ferryid.LayerRange{From: ferryid.Layer(16 * i), To: ferryid.Layer(16*i + 16)},
		})
	}
	return p
}

func wireStages(p ferrypipeline.Plan) ferryengine.Stages {
	var out ferryengine.Stages
	for _, s := range p.Stages {
		out = append(out, ferryengine.Stage{Address: s.Address, Layers: s.Layers})
	}
	return out
}

func relayComposer(tb testing.TB) *ferrystream.Composer {
	s, err := ferrystream.NewSealer(ferrystream.SealerConfig{Keys: [][]byte{bytes.Repeat([]byte("k"), 32)}})
	assert.NilError(tb, err)
	st, err := s.Stream(ferrystream.Resume{Customer: "stoyanovi", Service: "herd-llm", Stream: "s", Epoch: 1})
	assert.NilError(tb, err)
	return ferrystream.NewComposer(ferrystream.ComposerConfig{ID: "s", Model: "herd-llm", Sealer: st, Created: time.Unix(0, 0)})
}

// Measures the path of a token without sockets: decode the line, step the core, order, compose the sealed
// event.
func BenchmarkRelayWithoutSockets(b *testing.B) {
	plan := relayPlan("10.0.0.1:8000")
	lines := relayLines(wireStages(plan))
	job := ferrypipeline.Job{Stream: "s", MaxTokens: relayTokens}
	buf := make([]byte, 0, 4096)
	actions := make([]ferrypipeline.Action, 0, 8)
	b.ReportAllocs()
	n, written := 0, 0
	for b.Loop() {
		core := ferrypipeline.NewCore(&job, ferrypipeline.CoreConfig{})
		core.Step(ferrypipeline.Begin{}, time.Time{}, nil)
		core.Step(ferrypipeline.Planned{Plan: plan}, time.Time{}, nil)
		compose := relayComposer(b)
		a := ferrystream.NewAssembler(0)
		r := ferryengine.NewItemReader(bytes.NewReader(lines))
		var d ferryengine.ItemDecoder
		var out []ferrystream.Token
		for {
			line, err := r.Next()
			if err != nil {
				break
			}
			it, err := d.Decode(line)
			if err != nil {
				b.Fatal(err)
			}
			actions = core.Step(ferrypipeline.ItemArrived{Epoch: 1, Item: it}, time.Time{}, actions[:0])
			for _, act := range actions {
				if emit, ok := act.(ferrypipeline.Emit); ok {
					out, _ = a.Add(emit.Token, out[:0])
					for _, t := range out {
						buf = compose.Token(buf[:0], t)
						written += len(buf)
						n++
					}
				}
			}
		}
	}
	b.ReportMetric(float64(n)/b.Elapsed().Seconds(), "tokens/s")
	b.ReportMetric(float64(len(lines))/relayTokens, "B-in/token")
	b.ReportMetric(float64(written)/float64(n), "B-out/token")
}

type fixedPicker struct{ plan ferrypipeline.Plan }

func (p fixedPicker) Pick(*ferrypipeline.Job, []ferryid.UpstreamName) (ferrypipeline.Plan, error) {
	return p.plan, nil
}

func (fixedPicker) Done(ferrypipeline.Plan, ferryid.Tokens) {}

// Measures the Runner over a loopback connection, with an engine that flushes each token. The engine and the
// caller share the CPU core.
func BenchmarkRelayOverLoopback(b *testing.B) {
	var lines []byte
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		rc := http.NewResponseController(w)
		for line := range bytes.Lines(lines) {
			_, _ = w.Write(line)
			_ = rc.Flush()
		}
	}))
	defer srv.Close()
	plan := relayPlan(strings.TrimPrefix(srv.URL, "http://"))
	lines = relayLines(wireStages(plan))
	r := &ferrypipeline.Runner{Engines: ferryengine.New(ferryengine.ClientConfig{}), Picker: fixedPicker{plan}, Clock: clockwork.NewRealClock()}
	compose := relayComposer(b)
	buf := make([]byte, 0, 4096)
	n := 0
	b.ReportAllocs()
	for b.Loop() {
		_, err := r.Run(context.Background(), ferrypipeline.Job{Stream: "s", MaxTokens: relayTokens}, func(t ferrypipeline.Token) error {
			n++
			buf = compose.Token(buf[:0], t)
			return nil
		})
		if err != nil {
			b.Fatal(err)
		}
	}
	b.ReportMetric(float64(n)/b.Elapsed().Seconds(), "tokens/s")
}

// fleet48 returns 48 engines in three failure domains: 8 groups of 6 replicas, each group holding one eighth
// of the layers. Rates within a group differ by a factor of about 50.
func fleet48() (ferrypipeline.PlannerConfig, []ferrypipeline.Load) {
	cfg := ferrypipeline.PlannerConfig{Layers: 64, Links: ferrypipeline.LinkCosts{}}
	domains := []ferryid.DomainName{"ruse-a", "varna-b", "pleven-c"}
	var loads []ferrypipeline.Load
	for i := range 48 {
		kind, replica := i%8, i/8
		cfg.Candidates = append(cfg.Candidates, ferrypipeline.Candidate{
			Name: ferryid.UpstreamName("e" + string(rune('a'+kind)) + string(rune('0'+replica))), Address: "10.0.0.1:8000",
			Domain: domains[i%3], Layers: ferryid.LayerRange{From: ferryid.Layer(8 * kind), To: ferryid.Layer(8*kind + 8)},
		})
		loads = append(loads, ferrypipeline.Load{Rate: ferryid.TokensPerSecond(100 + 1000*replica), Outstanding: ferryid.Tokens(i * 37 % 500)})
	}
	for _, a := range domains {
		for _, b := range domains {
			if a != b {
				cfg.Links[[2]ferryid.DomainName{a, b}] = 500 * time.Microsecond
			}
		}
	}
	return cfg, loads
}

func BenchmarkChoose48(b *testing.B) {
	cfg, loads := fleet48()
	whole := cfg
	whole.Candidates = append(ferrypipeline.Candidates(nil), cfg.Candidates...)
	for i := range whole.Candidates {
		whole.Candidates[i].Layers = ferryid.LayerRange{To: 64}
	}
	for _, tt := range []struct {
		name string
		cfg  ferrypipeline.PlannerConfig
	}{{"Stages8x6", cfg}, {"Whole48", whole}} {
		b.Run(tt.name, func(b *testing.B) {
			p, err := ferrypipeline.NewPlanner(tt.cfg)
			assert.NilError(b, err)
			var plan ferrypipeline.Plan
			excluded := make([]bool, len(loads))
			b.ReportAllocs()
			for b.Loop() {
				if err := p.Choose(loads, excluded, 200, &plan); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}
