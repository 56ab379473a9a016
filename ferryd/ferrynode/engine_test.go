package ferrynode

import (
	"context"
	"io"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"gotest.tools/v3/assert"

	"cactusferry.dev/ferry/ferryengine"
	"cactusferry.dev/ferry/ferryevent"
	"cactusferry.dev/ferry/ferryid"
	"cactusferry.dev/ferry/ferryroute"
	"cactusferry.dev/ferry/ferryservice"
)

const modelText = `Service = "herd-llm"
Team = "t"
Kind = "Model"
[Model]
Name = "m"
Version = "1"
Layers = 2
[[Upstreams]]
Name = "a"
Address = "127.0.0.1:1"
FailureDomain = "d"
Slots = 8
Layers = { From = 0, To = 1 }
TokensPerSecond = 80.0
[[Upstreams]]
Name = "b"
Address = "127.0.0.1:2"
FailureDomain = "d"
Slots = 8
Layers = { From = 1, To = 2 }
TokensPerSecond = 80.0
[[Upstreams]]
Name = "c"
Address = "127.0.0.1:3"
FailureDomain = "d"
Slots = 8
Layers = { From = 1, To = 2 }
TokensPerSecond = 80.0
`

// cannedStream returns the given items and then an error.
type cannedStream struct {
	items cannedItems
	err   error
}

type cannedItems []ferryengine.Item

func (s *cannedStream) Next() (ferryengine.Item, error) {
	if len(s.items) == 0 {
		return ferryengine.Item{}, s.err
	}
	it := s.items[0]
	s.items = s.items[1:]
	return it, nil
}

func (s *cannedStream) Close() error { return nil }

func observedService(t *testing.T) (*service, *observedEngines, *clockwork.FakeClock) {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	clock := clockwork.NewFakeClock()
	s := newServices(clock, ferryengine.New(ferryengine.ClientConfig{Clock: clock}), ferryevent.NewLog(clock, "test", 10))
	d, err := ferryservice.Decode("test", []byte(modelText))
	assert.NilError(t, err)
	s.setDocument(ctx, &d)
	sv, _ := s.get("herd-llm")
	return sv, &observedEngines{table: sv.table, clock: clock, onLeaving: func(ferryid.UpstreamName) {}}, clock
}

// consume reads a canned stream over engines a and b to its end.
func (o *observedEngines) consume(ctx context.Context, clock *clockwork.FakeClock, c *cannedStream) {
	req := &ferryengine.RunRequest{MaxTokens: 40}
	req.Stages = []ferryengine.Stage{{Address: "127.0.0.1:1"}, {Address: "127.0.0.1:2"}}
	s := &observedStream{Stream: c, engines: o, ctx: ctx, stages: o.startDispatches(req)}
	for {
		if _, err := s.Next(); err != nil {
			break
		}
		clock.Advance(100 * time.Millisecond)
	}
	_ = s.Close()
}

func states(sv *service) map[ferryid.UpstreamName]ferryroute.State {
	out := map[ferryid.UpstreamName]ferryroute.State{}
	for _, c := range sv.table.Snapshot().All() {
		out[c.Name] = c.State
	}
	return out
}

func TestFailedStreamsMarkEngineDown(t *testing.T) {
	const live, down = ferryroute.StateLive, ferryroute.StateDown
	cancelled, cancel := context.WithCancel(context.Background())
	cancel()
	died := ferryengine.Item{Failed: &ferryengine.Failure{Stage: "127.0.0.1:2", Kind: ferryengine.FailureDied}}
	empty := ferryengine.Item{Failed: &ferryengine.Failure{Stage: "127.0.0.1:2", Kind: ferryengine.FailureEmpty}}
	for _, tt := range []struct {
		name  string
		ctx   context.Context
		items cannedItems
		err   error
		a, b  ferryroute.State
		slots int
	}{
		{"stream broken at the first stage", context.Background(), cannedItems{{Text: "x"}}, io.ErrUnexpectedEOF, down, live, 1},
		{"second stage died", context.Background(), cannedItems{{Text: "x"}, died}, io.EOF, live, down, 8},
		{"second stage lost the stream", context.Background(), cannedItems{{Text: "x"}, empty}, io.EOF, live, live, 8},
		{"caller cancelled", cancelled, cannedItems{{Text: "x"}}, context.Canceled, live, live, 8},
		{"stream completed", context.Background(), cannedItems{{Text: "x"}, {Done: true}}, io.EOF, live, live, 8},
	} {
		t.Run(tt.name, func(t *testing.T) {
			sv, o, clock := observedService(t)
			for range 3 {
				o.consume(tt.ctx, clock, &cannedStream{items: tt.items, err: tt.err})
			}
			got := states(sv)
			assert.Equal(t, got["a"], tt.a)
			assert.Equal(t, got["b"], tt.b)
			assert.Equal(t, got["c"], live)
			assert.Equal(t, sv.slots(), tt.slots)
			for _, c := range sv.table.Snapshot().All() {
				assert.Equal(t, c.Running, 0)
				assert.Equal(t, c.Outstanding, ferryid.Tokens(0))
			}
		})
	}
}

func TestOnlyEngineOfLayerIsRetriedAfterFailure(t *testing.T) {
	sv, o, clock := observedService(t)
	s := newServices(clock, nil, nil)
	for range 3 {
		o.consume(context.Background(), clock, &cannedStream{err: io.ErrUnexpectedEOF})
	}
	assert.Equal(t, states(sv)["a"], ferryroute.StateDown)
	_, loads := s.planner(sv, sv.doc.Load())
	assert.Assert(t, !loads[0].Avoid)
	sv.table.SetLeaving("a", true)
	assert.Equal(t, sv.slots(), 0)
	_, loads = s.planner(sv, sv.doc.Load())
	assert.Assert(t, loads[0].Avoid)
}

func TestSlowEngineIsDetected(t *testing.T) {
	sv, o, clock := observedService(t)
	run := func(address string, step time.Duration) {
		req := &ferryengine.RunRequest{MaxTokens: 40}
		req.Stages = []ferryengine.Stage{{Address: address}}
		items := cannedItems{}
		for range 40 {
			items = append(items, ferryengine.Item{Text: "x"})
		}
		s := &observedStream{Stream: &cannedStream{items: append(items, ferryengine.Item{Done: true}), err: io.EOF}, engines: o, ctx: context.Background(), stages: o.startDispatches(req)}
		for {
			if _, err := s.Next(); err != nil {
				return
			}
			clock.Advance(step)
		}
	}
	for range 8 {
		run("127.0.0.1:1", 100*time.Millisecond)
		run("127.0.0.1:3", 100*time.Millisecond)
		run("127.0.0.1:2", time.Second)
	}
	assert.DeepEqual(t, states(sv), map[ferryid.UpstreamName]ferryroute.State{"a": "Live", "b": "Slow", "c": "Live"})
	assert.Equal(t, sv.slots(), 8)
}

// TestRetryBurstIsOnePerSlot checks that after the loss of a failure domain every running stream can fail over once.
func TestRetryBurstIsOnePerSlot(t *testing.T) {
	sv, _, _ := observedService(t)
	b := sv.model.Load().runner.Budget
	for range 3 * 8 {
		assert.NilError(t, b.TakeRetry())
	}
	assert.Assert(t, b.TakeRetry() != nil)
	b.SetBurst(30)
	for range 6 {
		assert.NilError(t, b.TakeRetry())
	}
	b.SetBurst(10)
	assert.Assert(t, b.TakeRetry() != nil)
}
