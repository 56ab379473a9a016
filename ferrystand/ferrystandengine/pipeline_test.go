package ferrystandengine_test

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/jonboulle/clockwork"
	"gotest.tools/v3/assert"

	"cactusferry.dev/ferry/ferryengine"
	"cactusferry.dev/ferry/ferryengine/ferryenginetest"
	"cactusferry.dev/ferry/ferryid"
	"cactusferry.dev/ferry/ferryoutcome"
	"cactusferry.dev/ferry/ferrypipeline"
	"cactusferry.dev/ferrystand/ferrystandengine"
)

const (
	cutTokens  = 6
	cutPrompt  = "summarise the night's robot log"
	cutSeed    = 11
	cutStages  = 3
	cutImports = 1
)

// fleet is two engines for each of three layer ranges, and a runner.
type fleet struct {
	chain
	cfg    ferrypipeline.PlannerConfig
	pool   *ferrypipeline.Pool
	runner *ferrypipeline.Runner
	emit   func(ferrypipeline.Token)
	stream ferryid.StreamID
}

func newFleet(tb testing.TB, clock clockwork.Clock) *fleet {
	tb.Helper()
	f := &fleet{stream: "s"}
	cfg := ferrypipeline.PlannerConfig{Layers: testLayers}
	var loads []ferrypipeline.Load
	for replica := range 2 {
		for i := range cutStages {
			layers := ferryid.LayerRange{From: ferryid.Layer(i * testLayers / cutStages), To: ferryid.Layer((i + 1) * testLayers / cutStages)}
			st := f.add(tb, layers, clock)
			cfg.Candidates = append(cfg.Candidates, ferrypipeline.Candidate{
				Name: ferryid.UpstreamName(fmt.Sprintf("e%d-%d", i, replica)), Address: st.Address, Layers: layers,
				Domain: "ruse-a", Incarnation: f.engines[len(f.engines)-1].Incarnation(),
			})
			// The first replicas are faster, so that the first plan is deterministic.
			loads = append(loads, ferrypipeline.Load{Rate: ferryid.TokensPerSecond(1000 - 500*replica)})
		}
	}
	pool, err := ferrypipeline.NewPool(cfg, loads, clock)
	assert.NilError(tb, err)
	f.pool, f.cfg = pool, cfg
	f.runner = &ferrypipeline.Runner{
		Engines: newClient(tb, clock), Picker: pool, Clock: clock, Core: ferrypipeline.CoreConfig{ImportFrom: cutImports},
	}
	return f
}

func (f *fleet) job() ferrypipeline.Job {
	return ferrypipeline.Job{Service: "herd-llm", Stream: f.stream, Customer: "c", Prompt: cutPrompt, MaxTokens: cutTokens, Seed: cutSeed}
}

// run runs the job and returns the emitted tokens in order.
func (f *fleet) run(ctx context.Context) ([]ferrypipeline.Token, ferrypipeline.Result, error) {
	var got []ferrypipeline.Token
	res, err := f.runner.Run(ctx, f.job(), func(t ferrypipeline.Token) error {
		got = append(got, t)
		if f.emit != nil {
			f.emit(t)
		}
		return nil
	})
	f.runner.Wait()
	return got, res, err
}

func (f *fleet) records() []ferrypipeline.Applied {
	var out []ferrypipeline.Applied
	for _, e := range f.engines {
		out = append(out, e.Records("s")...)
	}
	return out
}

// verify compares the answer with the reference text and checks it against the engines' records.
func (f *fleet) verify(tb testing.TB, got []ferrypipeline.Token) ferrypipeline.Checker {
	tb.Helper()
	texts := make([]string, len(got))
	for i, t := range got {
		texts[i] = t.Text
	}
	assert.DeepEqual(tb, texts, ferryenginetest.Reference(cutSeed, cutPrompt, cutTokens, testLayers))
	c := ferrypipeline.Checker{Layers: testLayers}
	assert.NilError(tb, c.Check(f.records(), got))
	return c
}

func position(p int) *ferryid.Position {
	at := ferryid.Position(p)
	return &at
}

// Every stage fails in every way at every position of a short stream;
// the caller must receive the complete text exactly once.
func TestEveryCutPoint(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		type cut struct {
			name   string
			faults func(p int) ferrystandengine.Faults
			epochs int
		}
		cuts := []cut{
			{"killed before the step", func(p int) ferrystandengine.Faults {
				return ferrystandengine.Faults{DieAtPosition: position(p)}
			}, 2},
			{"killed after the step", func(p int) ferrystandengine.Faults {
				return ferrystandengine.Faults{DieAtPosition: position(p), DieWhen: ferrystandengine.DieAfterApply}
			}, 2},
			{"killed within its answer", func(p int) ferrystandengine.Faults {
				return ferrystandengine.Faults{DieAtPosition: position(p), DieWhen: ferrystandengine.DieInLine}
			}, 2},
			{"loses the stream", func(p int) ferrystandengine.Faults {
				return ferrystandengine.Faults{EmptyAtPosition: position(p)}
			}, 2},
			{"answers twice", func(int) ferrystandengine.Faults { return ferrystandengine.Faults{Duplicate: true} }, 1},
			{"answers from an older epoch", func(int) ferrystandengine.Faults {
				return ferrystandengine.Faults{LateFromOldEpoch: true}
			}, 1},
		}
		for _, tt := range cuts {
			for stage := range cutStages {
				for p := range cutTokens {
					f := newFleet(t, clockwork.NewRealClock())
					f.engines[stage].SetFaults(tt.faults(p))
					got, res, err := f.run(context.Background())
					assert.NilError(t, err, "%s: stage %d token %d", tt.name, stage, p)
					assert.Equal(t, res.Epochs, tt.epochs, "%s: stage %d token %d", tt.name, stage, p)
					f.verify(t, got)
				}
			}
		}
	})
}

// An engine that ignores cancels continues to send tokens
// of its old epoch, also into the answer of the new epoch.
func TestLateFromOldEpoch(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, clockwork.NewRealClock())
		f.engines[0].SetFaults(ferrystandengine.Faults{LateFromOldEpoch: true})
		f.engines[1].SetFaults(ferrystandengine.Faults{DieAtPosition: position(3)})
		got, res, err := f.run(context.Background())
		assert.NilError(t, err)
		assert.Equal(t, res.Epochs, 2)
		assert.Equal(t, res.Late, cutTokens-3)
		f.verify(t, got)
	})
}

// Two stages are killed in turn, the second while the work of the first is rebuilt.
func TestTwoStagesFailInTurn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, clockwork.NewRealClock())
		f.engines[1].SetFaults(ferrystandengine.Faults{DieAtPosition: position(2)})
		f.engines[2].SetFaults(ferrystandengine.Faults{DieAtPosition: position(2)})
		got, res, err := f.run(context.Background())
		assert.NilError(t, err)
		assert.Equal(t, res.Epochs, 3)
		f.verify(t, got)
	})
}

// If a stage loses its link but not its memory, its KV cache
// is imported by its successor and nothing is rebuilt.
func TestRecoveryByImport(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		for _, tt := range []struct {
			name     string
			from     int
			imported int
		}{
			{"by KV import", 1, 1},
			{"by rebuilding", 1000, 0},
		} {
			f := newFleet(t, clockwork.NewRealClock())
			f.runner.Core.ImportFrom = tt.from
			var cut bool
			f.runner.Engines = &cutOnce{Engines: f.runner.Engines, after: 4, cut: &cut}
			got, res, err := f.run(context.Background())
			assert.NilError(t, err, tt.name)
			assert.Equal(t, res.Epochs, 2, tt.name)
			assert.Equal(t, res.Imported, tt.imported, tt.name)
			c := f.verify(t, got)
			assert.Equal(t, c.Prefill == 0, tt.imported > 0, tt.name)
		}
	})
}

// cutOnce breaks the connection of the first epoch after a number of items, while both ends keep running.
type cutOnce struct {
	ferrypipeline.Engines
	after int
	cut   *bool
}

type cutStream struct {
	ferryengine.Stream
	left int
}

func (c *cutOnce) Run(ctx context.Context, req ferryengine.RunRequest) (ferryengine.Stream, error) {
	s, err := c.Engines.Run(ctx, req)
	if err != nil || *c.cut {
		return s, err
	}
	*c.cut = true
	return &cutStream{Stream: s, left: c.after}, nil
}

func (c *cutStream) Next() (ferryengine.Item, error) {
	if c.left == 0 {
		return ferryengine.Item{}, &ferryengine.DispatchError{Phase: ferryoutcome.PhaseAnswered, Err: errors.New("connection cut by the test")}
	}
	c.left--
	return c.Stream.Next()
}

// A stage goes silent with its connections open: the waiting side
// must close its connection when the progress deadline expires.
func TestSilentConnection(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		deadlines := []time.Duration{2600 * time.Millisecond, 2100 * time.Millisecond, 1600 * time.Millisecond}
		for stage, past := range deadlines {
			clock := clockwork.NewFakeClock()
			f := newFleet(t, clock)
			f.engines[stage].SetFaults(ferrystandengine.Faults{SilentAtPosition: position(2)})
			f.emit = func(tok ferrypipeline.Token) {
				if tok.Position == 1 {
					// Every timer was reset before this token arrived, so advancing
					// the clock expires only that of the silent hop.
					<-f.engines[stage].WentSilent()
					clock.Advance(past)
				}
			}
			got, res, err := f.run(context.Background())
			assert.NilError(t, err, "stage %d", stage)
			assert.Equal(t, res.Epochs, 2)
			f.verify(t, got)
		}
	})
}

// If all engines of one stage are leaving, the job is refused and no engine has run anything.
func TestRefusedIsNotRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		for stage := range cutStages {
			f := newFleet(t, clockwork.NewRealClock())
			f.engines[stage].Leave()
			f.engines[stage+cutStages].Leave()
			got, _, err := f.run(context.Background())
			assert.Equal(t, ferryoutcome.Of(err), ferryoutcome.NotRun, "%v", err)
			assert.Equal(t, len(got)+len(f.records()), 0)
		}
	})
}

// A delayed link slows a stream down without causing a new epoch.
func TestDegradedLink(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, clockwork.NewRealClock())
		f.engines[1].SetFaults(ferrystandengine.Faults{DelayMS: 20})
		got, res, err := f.run(context.Background())
		assert.NilError(t, err)
		assert.Equal(t, res.Epochs, 1)
		f.verify(t, got)
		assert.Assert(t, strings.HasPrefix(got[0].Text, " "))
	})
}

// The checker must report records in which a layer is missing, repeated or out of order.
func TestCheckerRefuses(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, clockwork.NewRealClock())
		got, _, err := f.run(context.Background())
		assert.NilError(t, err)
		for _, tt := range []struct {
			name   string
			change func(rs []ferrypipeline.Applied) []ferrypipeline.Applied
		}{
			{"missing", func(rs []ferrypipeline.Applied) []ferrypipeline.Applied { return rs[1:] }},
			{"repeated", func(rs []ferrypipeline.Applied) []ferrypipeline.Applied { return append(rs, rs[0]) }},
			{"repeated in a later epoch", func(rs []ferrypipeline.Applied) []ferrypipeline.Applied {
				again := rs[0]
				again.Epoch++
				return append(rs, again)
			}},
			{"out of order", func(rs []ferrypipeline.Applied) []ferrypipeline.Applied {
				rs[0].AtNanos += int64(time.Hour)
				return rs
			}},
		} {
			c := ferrypipeline.Checker{Layers: testLayers}
			var bad *ferrypipeline.LayerError
			assert.Assert(t, errors.As(c.Check(tt.change(f.records()), got), &bad), tt.name)
		}
	})
}
