package ferrystandengine_test

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/jonboulle/clockwork"
	"gotest.tools/v3/assert"

	"cactusferry.dev/ferry/ferryengine/ferryenginetest"
	"cactusferry.dev/ferry/ferryid"
	"cactusferry.dev/ferry/ferryoutcome"
	"cactusferry.dev/ferry/ferrypipeline"
	"cactusferry.dev/ferry/ferrystream"
	"cactusferry.dev/ferrystand/ferrystandengine"
)

var randomRuns = flag.Int("random-runs", 60, "number of runs with random faults, each with its own seed")

// A chain of eight engines with rates that differ by a factor of 100 and different link delays.
func TestEightKinds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := &chain{}
		var plan ferrypipeline.Plan
		plan.Layers = testLayers
		next := ferryid.Layer(0)
		for i, rate := range []ferryid.TokensPerSecond{100, 10000, 200, 5000, 400, 2500, 800, 1200} {
			layers := ferryid.LayerRange{From: next, To: next + 1}
			if i%2 == 0 {
				layers.To++
			}
			next = layers.To
			st := c.add(t, layers, clockwork.NewRealClock())
			c.engines[i].SetFaults(ferrystandengine.Faults{TokensPerSecond: rate, DelayMS: i % 3 * 2})
			plan.Stages = append(plan.Stages, ferrypipeline.Stage{Name: ferryid.UpstreamName(fmt.Sprintf("e%d", i)), Address: st.Address, Layers: layers})
		}
		f := &fleet{chain: *c, stream: "s"}
		f.runner = &ferrypipeline.Runner{Engines: newClient(t, clockwork.NewRealClock()), Picker: fixedPlan{plan}, Clock: clockwork.NewRealClock()}
		got, _, err := f.run(context.Background())
		assert.NilError(t, err)
		f.verify(t, got)
	})
}

type fixedPlan struct{ plan ferrypipeline.Plan }

func (p fixedPlan) Pick(*ferrypipeline.Job, []ferryid.UpstreamName) (ferrypipeline.Plan, error) {
	return p.plan, nil
}

func (fixedPlan) Done(ferrypipeline.Plan, ferryid.Tokens) {}

// Both engines of a stage are killed mid-stream; the stream must wait for a new engine and continue there.
func TestRunnerUsesJoinedEngine(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, clockwork.NewRealClock())
		f.engines[1].SetFaults(ferrystandengine.Faults{DieAtPosition: position(3)})
		f.engines[4].SetFaults(ferrystandengine.Faults{DieAtPosition: position(3)})
		f.runner.Trace = func(_ time.Time, m ferrypipeline.Message) {
			if _, ok := m.(ferrypipeline.NoPlan); !ok {
				return
			}
			st := f.add(t, f.stages[1].Layers, clockwork.NewRealClock())
			f.cfg.Candidates = append(f.cfg.Candidates, ferrypipeline.Candidate{Name: "joined", Address: st.Address, Layers: st.Layers, Domain: "ruse-a"})
			assert.NilError(t, f.pool.Set(f.cfg, append(f.pool.Loads(), ferrypipeline.Load{Rate: 2000})))
			f.pool.Avoid("e1-0", true)
			f.pool.Avoid("e1-1", true)
		}
		got, res, err := f.run(context.Background())
		assert.NilError(t, err)
		assert.Equal(t, res.Epochs, 3)
		f.verify(t, got)
	})
}

// The caller's connection breaks and it resumes at another entry,
// which knows the epoch of the resume token, an older one or none.
func TestResumeAtAnotherEntry(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		want := ferryenginetest.Reference(cutSeed, cutPrompt, cutTokens, testLayers)
		for _, tt := range []struct {
			name   string
			before ferryid.Epoch
			epoch  ferryid.Epoch
			resume int
		}{
			{"with the received text", 0, 1, 3},
			{"without text, filtered by the resume token", 0, 1, 0},
			{"after epochs unknown to the entry", 40, 0, 3},
		} {
			f := newFleet(t, clockwork.NewRealClock())
			token := ferrystream.Resume{Customer: "c", Service: "s", Stream: "s", Epoch: 1}
			var first []ferrypipeline.Token
			job := f.job()
			job.Epoch = tt.before
			_, err := f.runner.Run(context.Background(), job, func(tok ferrypipeline.Token) error {
				if len(first) == 3 {
					return errors.New("caller closed the connection")
				}
				first = append(first, tok)
				token.Next, token.History = tok.Position+1, token.History.Add(tok.Text)
				return nil
			})
			assert.Equal(t, ferryoutcome.Of(err), ferryoutcome.Ran)
			f.runner.Wait()

			job.Epoch, job.Resume = tt.epoch, want[:tt.resume]
			filter := ferrystream.NewResumeFilter(token)
			text := want[:3:3]
			_, err = f.runner.Run(context.Background(), job, func(tok ferrypipeline.Token) error {
				if tt.resume > 0 {
					text = append(text, tok.Text)
					return nil
				}
				fresh, err := filter.Add(tok)
				if fresh {
					text = append(text, tok.Text)
				}
				return err
			})
			assert.NilError(t, err, tt.name)
			assert.DeepEqual(t, text, want)
		}
	})
}

// The deadline expires mid-stream: the caller keeps the tokens received and gets the outcome Ran.
func TestDeadline(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		clock := clockwork.NewFakeClock()
		f := newFleet(t, clock)
		f.engines[2].SetFaults(ferrystandengine.Faults{SilentAtPosition: position(2)})
		job := f.job()
		job.Deadline = clock.Now().Add(time.Second)
		n := 0
		_, err := f.runner.Run(context.Background(), job, func(tok ferrypipeline.Token) error {
			if n++; tok.Position == 1 {
				<-f.engines[2].WentSilent()
				clock.Advance(time.Second)
			}
			return nil
		})
		var p *ferryoutcome.Problem
		assert.Assert(t, errors.As(err, &p))
		assert.Equal(t, p.Kind, ferryoutcome.KindTimeout)
		assert.Equal(t, p.Outcome, ferryoutcome.Ran)
		assert.Equal(t, n, 2)
		f.runner.Wait()
	})
}

// Retries without a new token are charged to the shared retry
// budget; a retry after a refusal by a leaving engine is not.
func TestRetryBudget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, clockwork.NewRealClock())
		f.runner.Budget = ferrypipeline.NewRetryBudget(0.5, 1)
		f.engines[0].Leave()
		f.engines[1].Kill()
		_, res, err := f.run(context.Background())
		assert.NilError(t, err)
		assert.Equal(t, res.Epochs, 3)

		f = newFleet(t, clockwork.NewRealClock())
		f.runner.Budget = ferrypipeline.NewRetryBudget(0.5, 1)
		f.engines[0].Kill()
		f.engines[1].Kill()
		_, _, err = f.run(context.Background())
		var spent *ferrypipeline.BudgetError
		assert.Assert(t, errors.As(err, &spent), "%v", err)
		assert.Equal(t, len(f.records()), 0)
	})
}

func randomFaults(r *rand.Rand) ferrystandengine.Faults {
	p := position(r.IntN(cutTokens))
	switch r.IntN(9) {
	case 0:
		return ferrystandengine.Faults{DieAtPosition: p}
	case 1:
		return ferrystandengine.Faults{DieAtPosition: p, DieWhen: ferrystandengine.DieAfterApply}
	case 2:
		return ferrystandengine.Faults{DieAtPosition: p, DieWhen: ferrystandengine.DieInLine}
	case 3:
		return ferrystandengine.Faults{EmptyAtPosition: p}
	case 4:
		return ferrystandengine.Faults{Duplicate: true, LateFromOldEpoch: true}
	case 5:
		return ferrystandengine.Faults{Leaving: true}
	case 6:
		return ferrystandengine.Faults{Duplicate: true, DelayMS: 1, DieAtPosition: p}
	}
	return ferrystandengine.Faults{}
}

// restartAll restarts every engine as a new, empty incarnation.
func (f *fleet) restartAll(tb testing.TB) {
	for i, e := range f.engines {
		e.Restart()
		f.cfg.Candidates[i].Incarnation = e.Incarnation()
	}
	assert.NilError(tb, f.pool.Set(f.cfg, f.pool.Loads()))
}

// Every engine gets a random fault, so several occur together or in turn, and all engines are restarted
// empty when no plan is left. The answer must be complete and correct, or fail with a correct outcome.
func TestRandomFaults(t *testing.T) {
	count := map[ferryoutcome.Outcome]int{}
	for seed := range uint64(*randomRuns) {
		// Each run is a subtest so that its cleanup closes its connections.
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { count[randomRun(t, seed)]++ })
		})
	}
	assert.Assert(t, count["complete"] > *randomRuns/2, "%v", count)
	t.Logf("outcomes %v", count)
}

// randomRun runs one job and returns "complete" or the outcome of its failure.
func randomRun(t *testing.T, seed uint64) ferryoutcome.Outcome {
	r := rand.New(rand.NewPCG(seed, 0))
	f := newFleet(t, clockwork.NewRealClock())
	f.runner.Trace = func(_ time.Time, m ferrypipeline.Message) {
		if _, ok := m.(ferrypipeline.NoPlan); ok {
			f.restartAll(t)
		}
	}
	for _, e := range f.engines {
		e.SetFaults(randomFaults(r))
	}
	got, _, err := f.run(context.Background())
	if err == nil {
		f.verify(t, got)
		return "complete"
	}
	generated := 0
	for _, a := range f.records() {
		if !a.Prefill {
			generated++
		}
	}
	outcome := ferryoutcome.Of(err)
	assert.Assert(t, outcome != ferryoutcome.NotRun || generated == 0, "%v", err)
	assert.Assert(t, outcome != ferryoutcome.Ran || generated > 0, "%v", err)
	want := ferryenginetest.Reference(cutSeed, cutPrompt, cutTokens, testLayers)
	for i, tok := range got {
		assert.Equal(t, tok.Text, want[i])
	}
	return outcome
}

func TestInvalidJobIsRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, clockwork.NewRealClock())
		for _, change := range []func(j *ferrypipeline.Job){
			func(j *ferrypipeline.Job) { j.MaxTokens = 0 },
			func(j *ferrypipeline.Job) { j.Stream = "" },
			func(j *ferrypipeline.Job) { j.Resume = make([]string, cutTokens+1) },
		} {
			job := f.job()
			change(&job)
			_, err := f.runner.Run(context.Background(), job, nil)
			var p *ferryoutcome.Problem
			assert.Assert(t, errors.As(err, &p))
			assert.Equal(t, p.Kind, ferryoutcome.KindBadRequest)
			assert.Equal(t, p.Outcome, ferryoutcome.NotRun)
		}
	})
}

// An engine that is 100 times slower than it reports must
// be detected by its measured time per token, and avoided.
func TestSlowEngineIsAvoided(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, clockwork.NewRealClock())
		for i, e := range f.engines {
			e.SetFaults(ferrystandengine.Faults{TokensPerSecond: ferryid.TokensPerSecond(10000 - 5000*(i/cutStages))})
		}
		f.engines[1].SetFaults(ferrystandengine.Faults{TokensPerSecond: 100})
		for i, want := range []ferryid.UpstreamName{"e1-0", "e1-0", "e1-1"} {
			job := f.job()
			job.Stream = ferryid.StreamID(fmt.Sprint(i))
			plan, err := f.pool.Pick(&job, nil)
			assert.NilError(t, err)
			f.pool.Done(plan, 0)
			assert.Equal(t, plan.Stages[1].Name, want)
			_, err = f.runner.Run(context.Background(), job, func(ferrypipeline.Token) error { return nil })
			assert.NilError(t, err)
		}
		f.runner.Wait()
		assert.Assert(t, f.pool.Loads()[1].Rate < 500)
	})
}
