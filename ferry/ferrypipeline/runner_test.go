package ferrypipeline_test

import (
	"context"
	"errors"
	"io"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"gotest.tools/v3/assert"

	"cactusferry.dev/ferry/ferryengine"
	"cactusferry.dev/ferry/ferryid"
	"cactusferry.dev/ferry/ferryoutcome"
	"cactusferry.dev/ferry/ferrypipeline"
)

// scriptedEngine is an engine that sends its items and then blocks until the call is cancelled.
type scriptedEngine struct {
	ctx    context.Context
	items  []ferryengine.Item
	reads  int
	silent chan struct{}
}

func (s *scriptedEngine) Run(ctx context.Context, _ ferryengine.RunRequest) (ferryengine.Stream, error) {
	s.ctx = ctx
	return s, nil
}

func (s *scriptedEngine) Next() (ferryengine.Item, error) {
	s.reads++
	if len(s.items) == 0 {
		close(s.silent)
		<-s.ctx.Done()
		return ferryengine.Item{}, &ferryengine.DispatchError{Phase: ferryoutcome.PhaseAnswered, Err: s.ctx.Err()}
	}
	it := s.items[0]
	s.items = s.items[1:]
	return it, nil
}

func (*scriptedEngine) Close() error { return nil }

func (*scriptedEngine) Cancel(context.Context, string, ferryid.StreamID, ferryid.Epoch) (ferryengine.CancelResult, error) {
	return ferryengine.CancelResult{Ran: true}, nil
}

func (*scriptedEngine) ExportKV(context.Context, string, ferryid.StreamID) (ferryengine.KV, error) {
	return ferryengine.KV{}, io.EOF
}

func (*scriptedEngine) ImportKV(context.Context, string, ferryengine.KV) error { return io.EOF }

func scriptedItems(plan ferrypipeline.Plan, n int) []ferryengine.Item {
	items := []ferryengine.Item{{Epoch: 1, Ready: true}}
	for p := range n {
		it := ferryengine.Item{Epoch: 1, Position: ferryid.Position(p), Text: " word"}
		for _, s := range plan.Stages {
			it.Receipts = append(it.Receipts, ferryengine.Receipt{Stage: s.Address, Layers: s.Layers})
		}
		items = append(items, it)
	}
	return items
}

// A job on an engine that goes silent mid-stream must still end by the caller's cancellation and by its
// deadline.
func TestSilentEngineDoesNotHoldJob(t *testing.T) {
	for _, tt := range []struct {
		name string
		end  func(cancel func(), clock *clockwork.FakeClock)
		want string
	}{
		{"caller cancels", func(cancel func(), _ *clockwork.FakeClock) { cancel() }, "the caller went away"},
		{"deadline", func(_ func(), clock *clockwork.FakeClock) { clock.Advance(time.Minute) }, "the deadline passed after 2 tokens"},
	} {
		t.Run(tt.name, func(t *testing.T) {
			clock := clockwork.NewFakeClock()
			plan := relayPlan("10.0.0.1:8000")
			engine := &scriptedEngine{items: scriptedItems(plan, 2), silent: make(chan struct{})}
			r := &ferrypipeline.Runner{Engines: engine, Picker: fixedPicker{plan}, Clock: clock}
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			go func() {
				<-engine.silent
				tt.end(cancel, clock)
			}()
			job := ferrypipeline.Job{Service: "s", Stream: "s", MaxTokens: 9, Deadline: clock.Now().Add(time.Minute)}
			_, err := r.Run(ctx, job, func(ferrypipeline.Token) error { return nil })
			r.Wait()
			var p *ferryoutcome.Problem
			assert.Assert(t, errors.As(err, &p))
			assert.Equal(t, p.Detail, tt.want)
			assert.Equal(t, p.Outcome, ferryoutcome.Ran)
		})
	}
}

// No item is read from the engine while the emit callback of the previous token blocks.
func TestSlowCallerStopsReading(t *testing.T) {
	plan := relayPlan("10.0.0.1:8000")
	items := append(scriptedItems(plan, 9), ferryengine.Item{Epoch: 1, Done: true, Reason: "length", Tokens: 9})
	engine := &scriptedEngine{items: items, silent: make(chan struct{})}
	r := &ferrypipeline.Runner{Engines: engine, Picker: fixedPicker{plan}, Clock: clockwork.NewFakeClock()}
	var reads []int
	_, err := r.Run(t.Context(), ferrypipeline.Job{Service: "s", Stream: "s", MaxTokens: 9}, func(ferrypipeline.Token) error {
		reads = append(reads, engine.reads)
		return nil
	})
	assert.NilError(t, err)
	assert.DeepEqual(t, reads, []int{2, 3, 4, 5, 6, 7, 8, 9, 10})
}
