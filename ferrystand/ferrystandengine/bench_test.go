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

const (
	benchRanges   = 4
	benchReplicas = 10
	benchTokens   = 40
)

// benchFleet is forty engines with mixed rates, ten for each
// of four layer ranges, and a runner in the same process.
type benchFleet struct {
	engines  []*ferrystandengine.Engine
	runner   *ferrypipeline.Runner
	capacity float64
	tokens   atomic.Int64
	failed   atomic.Int64
	jobs     atomic.Int64
}

func newBenchFleet(b *testing.B) *benchFleet {
	f := &benchFleet{}
	clock := clockwork.NewRealClock()
	cfg := ferrypipeline.PlannerConfig{Layers: 12 * benchRanges}
	var loads []ferrypipeline.Load
	for i := range benchRanges * benchReplicas {
		rangeIndex, replica := i%benchRanges, i/benchRanges
		layers := ferryid.LayerRange{From: ferryid.Layer(12 * rangeIndex), To: ferryid.Layer(12*rangeIndex + 12)}
		rate := ferryid.TokensPerSecond(100 * (1 + replica))
		e := ferrystandengine.New(ferrystandengine.Config{Name: "engine", Layers: layers, TokensPerSecond: rate, Slots: 64})
		srv := httptest.NewServer(e)
		b.Cleanup(func() {
			e.Close()
			srv.CloseClientConnections()
			srv.Close()
		})
		f.engines = append(f.engines, e)
		cfg.Candidates = append(cfg.Candidates, ferrypipeline.Candidate{
			Name: ferryid.UpstreamName(fmt.Sprintf("e%d", i)), Address: strings.TrimPrefix(srv.URL, "http://"), Layers: layers, Domain: "a",
		})
		loads = append(loads, ferrypipeline.Load{Rate: rate})
		if rangeIndex == 0 {
			f.capacity += float64(rate)
		}
	}
	pool, err := ferrypipeline.NewPool(cfg, loads, clock)
	assert.NilError(b, err)
	f.runner = &ferrypipeline.Runner{Engines: ferryengine.New(ferryengine.ClientConfig{}), Picker: pool, Clock: clock}
	return f
}

func (f *benchFleet) job() {
	j := ferrypipeline.Job{Stream: ferryid.StreamID(fmt.Sprint(f.jobs.Add(1))), Prompt: "p", MaxTokens: benchTokens}
	_, err := f.runner.Run(context.Background(), j, func(ferrypipeline.Token) error {
		f.tokens.Add(1)
		return nil
	})
	if err != nil {
		f.failed.Add(1)
	}
}

// BenchmarkFleet saturates the fleet with 400 concurrent streams. It measures the token rate
// relative to the capacity, the sum of the rates of one layer range, and the CPU time of the process.
func BenchmarkFleet(b *testing.B) {
	const streams = 400
	f := newBenchFleet(b)
	cpu := cpuTime()
	for b.Loop() {
		var wg sync.WaitGroup
		for range streams {
			wg.Go(f.job)
		}
		wg.Wait()
	}
	rate := float64(f.tokens.Load()) / b.Elapsed().Seconds()
	b.ReportMetric(rate, "tokens/s")
	b.ReportMetric(100*rate/f.capacity, "%-of-bound")
	b.ReportMetric(100*(cpuTime()-cpu).Seconds()/b.Elapsed().Seconds(), "%-of-a-core")
	b.ReportMetric(float64(f.failed.Load()), "failed")
}

// BenchmarkRecovery kills engines at 80% of the capacity. It measures the time until
// the token rate stays above 90% of the smaller of the load and the remaining capacity.
func BenchmarkRecovery(b *testing.B) {
	for _, tt := range []struct {
		name   string
		ranges int
		kill   int
	}{{"OneEngine", 1, 1}, {"AThirdOfAll", benchRanges, 3}} {
		b.Run(tt.name, func(b *testing.B) {
			for b.Loop() {
				benchRecovery(b, tt.ranges, tt.kill)
			}
		})
	}
}

// benchRecovery kills the fastest engines of the given number of layer ranges under load.
func benchRecovery(b *testing.B, ranges, kill int) {
	const (
		window  = 100 * time.Millisecond
		windows = 80
		killAt  = 20
		// together is the number of windows averaged, since a single window contains few tokens.
		together = 5
	)
	f := newBenchFleet(b)
	load, capacity := 0.8*f.capacity, f.capacity
	for i := range kill {
		capacity -= float64(100 * (benchReplicas - i))
	}
	stop := make(chan struct{})
	var wg sync.WaitGroup
	wg.Go(func() { f.openLoop(load/benchTokens, stop, &wg) })
	var counts []int64
	for i := range windows {
		if i == killAt {
			f.kill(ranges, kill)
		}
		time.Sleep(window)
		counts = append(counts, f.tokens.Load())
	}
	close(stop)
	wg.Wait()
	target := min(load, capacity)
	lowAt, worst := killAt, target
	for i := killAt; i+together < windows; i++ {
		rate := float64(counts[i+together]-counts[i]) / (together * window.Seconds())
		worst = min(worst, rate)
		if rate < 0.9*target {
			lowAt = i + together
		}
	}
	b.ReportMetric(float64(lowAt-killAt)*window.Seconds()*1e3, "ms-to-90%")
	b.ReportMetric(100*worst/target, "worst-%")
	b.ReportMetric(float64(f.failed.Load()), "failed")
	b.ReportMetric(float64(f.jobs.Load()), "jobs")
}

func (f *benchFleet) kill(ranges, n int) {
	for i := range n {
		for rangeIndex := range ranges {
			f.engines[(benchReplicas-1-i)*benchRanges+rangeIndex].Kill()
		}
	}
}

// openLoop starts jobs at a constant rate, independent of the completion of earlier ones.
func (f *benchFleet) openLoop(perSecond float64, stop <-chan struct{}, wg *sync.WaitGroup) {
	t := time.NewTicker(time.Duration(float64(time.Second) / perSecond))
	defer t.Stop()
	for {
		select {
		case <-stop:
			return
		case <-t.C:
			wg.Go(f.job)
		}
	}
}
