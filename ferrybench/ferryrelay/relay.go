package ferryrelay

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"cactusferry.dev/ferry/ferryengine"
	"cactusferry.dev/ferry/ferryid"
	"cactusferry.dev/ferrystand/ferrydemo"
)

const (
	fastRate      = 1_000_000
	slots         = 2000
	callers       = 64
	latencyCalls  = 300
	latencyTokens = 8
	slowRate      = 400
	settleTime    = 3 * time.Second
	maxMicros     = 60_000_000
)

// Config sets the extent of the measurements.
type Config struct {
	// Programs is the directory of ferryd, ferryctl and ferrystand.
	Programs string
	// Tokens is the number of tokens per stream in the measurement of the relay.
	Tokens int
	// Rounds is the number of streams per caller.
	Rounds int
	// Open is the number of streams held open in the measurement of memory.
	Open int
}

// Result holds the measurements of one ferryd. The First fields are times to the first token through ferryd,
// the Direct fields the same without it.
type Result struct {
	Ready         time.Duration
	IdleBytes     int64
	Tokens        int64
	CPU           time.Duration
	Elapsed       time.Duration
	TokensPerCore float64
	FirstP50      time.Duration
	FirstP99      time.Duration
	DirectP50     time.Duration
	DirectP99     time.Duration
	Open          int
	BytesPer1000  int64
}

// Measure starts fleets of processes with one ferryd each and measures that ferryd.
func Measure(ctx context.Context, cfg Config) (Result, error) {
	var res Result
	if err := measureRelay(ctx, cfg, &res); err != nil {
		return res, err
	}
	return res, measureMemory(ctx, cfg, &res)
}

// startFleet starts a platform, two engines and one entry, has the entry accept the model's document, and
// returns the time until the entry was ready.
func startFleet(ctx context.Context, cfg Config, rate int) (*ferrydemo.Fleet, time.Duration, error) {
	f, err := ferrydemo.New(ferrydemo.Config{Dir: cfg.Programs, Engines: 2, Entries: 1, Slots: slots, TokensPerSecond: rate})
	if err != nil {
		return nil, 0, err
	}
	if err := f.StartUpstreams(ctx); err != nil {
		return f, 0, err
	}
	began := time.Now()
	if err := f.StartEntry(ctx, f.Entries[0]); err != nil {
		return f, 0, err
	}
	ready := time.Since(began)
	return f, ready, f.ApplyFirst(ctx, ferrydemo.ModelService, f.ModelDocument(128))
}

func measureRelay(ctx context.Context, cfg Config, res *Result) error {
	f, ready, err := startFleet(ctx, cfg, fastRate)
	if f != nil {
		defer f.KillAll()
	}
	if err != nil {
		return err
	}
	res.Ready = ready
	pid := f.Entries[0].Process.PID()
	time.Sleep(settleTime)
	if res.IdleBytes, err = residentBytes(pid); err != nil {
		return err
	}
	if err := measureLatency(ctx, f, res); err != nil {
		return err
	}
	before, err := cpuTime(pid)
	if err != nil {
		return err
	}
	began := time.Now()
	res.Tokens, err = runLoad(ctx, f, cfg)
	if err != nil {
		return err
	}
	res.Elapsed = time.Since(began)
	after, err := cpuTime(pid)
	res.CPU = after - before
	res.TokensPerCore = float64(res.Tokens) / res.CPU.Seconds()
	return err
}

// runLoad runs streams from concurrent callers and returns the number of tokens.
func runLoad(ctx context.Context, f *ferrydemo.Fleet, cfg Config) (int64, error) {
	var tokens atomic.Int64
	errs := make(chan error, callers)
	var wg sync.WaitGroup
	for i := range callers {
		wg.Go(func() {
			c := ferrydemo.Caller{Entry: f.Entries[0].CallerAddress, Key: ferrydemo.CustomerKey}
			for n := range cfg.Rounds {
				body := ferrydemo.CompletionBody(fmt.Sprintf("caller %d round %d", i, n), cfg.Tokens, uint64(i))
				if err := c.Stream(ctx, body, "", func(ferrydemo.Chunk) { tokens.Add(1) }); err != nil {
					errs <- err
					return
				}
			}
		})
	}
	wg.Wait()
	select {
	case err := <-errs:
		return tokens.Load(), err
	default:
		return tokens.Load(), nil
	}
}

// measureLatency measures the time to the first token, alternating between the entry and the engines
// directly.
func measureLatency(ctx context.Context, f *ferrydemo.Fleet, res *Result) error {
	through, direct := hdrhistogram.New(1, maxMicros, 3), hdrhistogram.New(1, maxMicros, 3)
	engines := ferryengine.New(ferryengine.ClientConfig{})
	for i := range latencyCalls {
		took, err := firstTokenThroughEntry(ctx, f, i)
		if err != nil {
			return err
		}
		_ = through.RecordValue(took.Microseconds())
		if took, err = firstTokenDirect(ctx, f, engines, i); err != nil {
			return err
		}
		_ = direct.RecordValue(took.Microseconds())
	}
	quantile := func(h *hdrhistogram.Histogram, q float64) time.Duration {
		return time.Duration(h.ValueAtQuantile(q)) * time.Microsecond
	}
	res.FirstP50, res.FirstP99 = quantile(through, 50), quantile(through, 99)
	res.DirectP50, res.DirectP99 = quantile(direct, 50), quantile(direct, 99)
	return nil
}

func prompt(kind string, i int) string {
	return fmt.Sprintf("%s question %d", kind, i)
}

func firstTokenThroughEntry(ctx context.Context, f *ferrydemo.Fleet, i int) (time.Duration, error) {
	c := ferrydemo.Caller{Entry: f.Entries[0].CallerAddress, Key: ferrydemo.CustomerKey}
	began := time.Now()
	var first time.Duration
	err := c.Stream(ctx, ferrydemo.CompletionBody(prompt("through", i), latencyTokens, uint64(i)), "", func(ferrydemo.Chunk) {
		if first == 0 {
			first = time.Since(began)
		}
	})
	return first, err
}

func firstTokenDirect(ctx context.Context, f *ferrydemo.Fleet, engines *ferryengine.Client, i int) (time.Duration, error) {
	began := time.Now()
	s, err := engines.Run(ctx, ferryengine.RunRequest{
		Stream: ferryid.NewStreamID(), Epoch: 1, Prompt: prompt("direct", i), MaxTokens: latencyTokens, Seed: uint64(i),
		Stages: ferryengine.Stages{
			{Address: f.Engines[0].Address, Layers: f.Engines[0].Layers},
			{Address: f.Engines[1].Address, Layers: f.Engines[1].Layers},
		},
	})
	if err != nil {
		return 0, err
	}
	defer s.Close()
	var first time.Duration
	for {
		it, err := s.Next()
		if err != nil {
			return first, err
		}
		if it.Text != "" && first == 0 {
			first = time.Since(began)
		}
		if it.Done {
			return first, nil
		}
	}
}

// measureMemory measures the memory per stream with cfg.Open streams held open on slow engines.
func measureMemory(ctx context.Context, cfg Config, res *Result) error {
	f, _, err := startFleet(ctx, cfg, slowRate)
	if f != nil {
		defer f.KillAll()
	}
	if err != nil {
		return err
	}
	pid := f.Entries[0].Process.PID()
	time.Sleep(settleTime)
	idle, err := residentBytes(pid)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var open atomic.Int64
	for i := range cfg.Open {
		go func() {
			c := ferrydemo.Caller{Entry: f.Entries[0].CallerAddress, Key: ferrydemo.CustomerKey}
			seen := false
			_ = c.Stream(ctx, ferrydemo.CompletionBody(prompt("open", i), 1000, uint64(i)), "", func(ferrydemo.Chunk) {
				if !seen {
					seen = true
					open.Add(1)
				}
			})
		}()
	}
	for range 200 {
		if int(open.Load()) == cfg.Open {
			break
		}
		time.Sleep(100 * time.Millisecond)
	}
	res.Open = int(open.Load())
	if res.Open == 0 {
		return fmt.Errorf("measure memory: no stream was opened within 20 s")
	}
	busy, err := residentBytes(pid)
	res.BytesPer1000 = (busy - idle) * 1000 / int64(res.Open)
	return err
}
