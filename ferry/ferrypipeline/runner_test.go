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

// scripted is an engine that sends its items and then nothing until the call is given up.
type scripted struct {
	ctx    context.Context
	items  []ferryengine.Item
	reads  int
	silent chan struct{}
}

func (s *scripted) Run(ctx context.Context, _ ferryengine.RunRequest) (ferryengine.Stream, error) {
	s.ctx = ctx
	return s, nil
}

func (s *scripted) Next() (ferryengine.Item, error) {
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

func (*scripted) Close() error { return nil }

func (*scripted) Cancel(context.Context, string, ferryid.StreamID, ferryid.Epoch) (ferryengine.CancelResult, error) {
	return ferryengine.CancelResult{Ran: true}, nil
}

func (*scripted) ExportKV(context.Context, string, ferryid.StreamID) (ferryengine.KV, error) {
	return ferryengine.KV{}, io.EOF
}

func (*scripted) ImportKV(context.Context, string, ferryengine.KV) error { return io.EOF }

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

// An engine goes silent in mid-stream; the caller's end and the deadline end the job all the same, each as itself.
func TestSilentEngineIsLeft(t *testing.T) {
	for _, tt := range []struct {
		name string
		end  func(cancel func(), clock *clockwork.FakeClock)
		want string
	}{
		{"caller goes", func(cancel func(), _ *clockwork.FakeClock) { cancel() }, "the caller went away"},
		{"deadline", func(_ func(), clock *clockwork.FakeClock) { clock.Advance(time.Minute) }, "the deadline passed after 2 tokens"},
	} {
		t.Run(tt.name, func(t *testing.T) {
			clock := clockwork.NewFakeClock()
			plan := relayPlan("10.0.0.1:8000")
			engine := &scripted{items: scriptedItems(plan, 2), silent: make(chan struct{})}
			r := &ferrypipeline.Runner{Engines: engine, Picker: onePlan{plan}, Clock: clock}
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

// While a caller does not take a token, nothing more of its stream is read.
func TestSlowCallerStopsReading(t *testing.T) {
	plan := relayPlan("10.0.0.1:8000")
	items := append(scriptedItems(plan, 9), ferryengine.Item{Epoch: 1, Done: true, Reason: "length", Tokens: 9})
	engine := &scripted{items: items, silent: make(chan struct{})}
	r := &ferrypipeline.Runner{Engines: engine, Picker: onePlan{plan}, Clock: clockwork.NewFakeClock()}
	var reads []int
	_, err := r.Run(t.Context(), ferrypipeline.Job{Service: "s", Stream: "s", MaxTokens: 9}, func(ferrypipeline.Token) error {
		reads = append(reads, engine.reads)
		return nil
	})
	assert.NilError(t, err)
	assert.DeepEqual(t, reads, []int{2, 3, 4, 5, 6, 7, 8, 9, 10})
}
