package ferrystandengine_test

import (
	"context"
	"fmt"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"gotest.tools/v3/assert"

	"cactusferry.dev/ferry/ferryengine"
	"cactusferry.dev/ferry/ferryid"
	"cactusferry.dev/ferry/ferrypipeline"
	"cactusferry.dev/ferrystand/ferrystandengine"
)

func cpuTime() time.Duration {
	var u syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &u)
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// Forty engines in four parts of mixed speeds, saturated by the runner in the same process: tokens against the bound, and the processor time of all of it.
func BenchmarkFleet(b *testing.B) {
	const parts, replicas, streams, tokens = 4, 10, 400, 40
	clock := clockwork.NewRealClock()
	cfg := ferrypipeline.PlannerConfig{Layers: 48}
	var loads []ferrypipeline.Load
	bound := 0.0
	for i := range parts * replicas {
		part, replica := i%parts, i/parts
		layers := ferryid.LayerRange{From: ferryid.Layer(12 * part), To: ferryid.Layer(12*part + 12)}
		rate := ferryid.TokensPerSecond(100 * (1 + replica))
		e := ferrystandengine.New(ferrystandengine.Config{Name: "engine", Layers: layers, TokensPerSecond: rate, Slots: 64})
		srv := httptest.NewServer(e)
		b.Cleanup(func() {
			e.Close()
			srv.CloseClientConnections()
			srv.Close()
		})
		cfg.Candidates = append(cfg.Candidates, ferrypipeline.Candidate{
			Name: ferryid.UpstreamName(fmt.Sprintf("e%d", i)), Address: strings.TrimPrefix(srv.URL, "http://"), Layers: layers, Domain: "a",
		})
		loads = append(loads, ferrypipeline.Load{Rate: rate})
		if part == 0 {
			bound += float64(rate)
		}
	}
	pool, err := ferrypipeline.NewPool(cfg, loads, clock)
	assert.NilError(b, err)
	r := &ferrypipeline.Runner{Engines: ferryengine.New(ferryengine.ClientConfig{}), Picker: pool, Clock: clock}
	var n, failed, job atomic.Int64
	cpu := cpuTime()
	for b.Loop() {
		var wg sync.WaitGroup
		for range streams {
			wg.Go(func() {
				j := ferrypipeline.Job{Stream: ferryid.StreamID(fmt.Sprint(job.Add(1))), Prompt: "p", MaxTokens: tokens}
				_, err := r.Run(context.Background(), j, func(ferrypipeline.Token) error {
					n.Add(1)
					return nil
				})
				if err != nil {
					failed.Add(1)
				}
			})
		}
		wg.Wait()
	}
	rate := float64(n.Load()) / b.Elapsed().Seconds()
	b.ReportMetric(rate, "tokens/s")
	b.ReportMetric(100*rate/bound, "%-of-bound")
	b.ReportMetric(100*(cpuTime()-cpu).Seconds()/b.Elapsed().Seconds(), "%-of-a-core")
	b.ReportMetric(float64(failed.Load()), "failed")
}
