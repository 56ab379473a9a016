package ferrynode

import (
	"context"
	"errors"

	"github.com/jonboulle/clockwork"

	"cactusferry.dev/ferry/ferryengine"
	"cactusferry.dev/ferry/ferryid"
	"cactusferry.dev/ferry/ferryoutcome"
	"cactusferry.dev/ferry/ferryroute"
)

// observedEngines tells the table how streams fare on their engines, and notes engines that say themselves that they leave, so
// that all entries hear of it.
type observedEngines struct {
	*ferryengine.Client
	table   *ferryroute.Table
	clock   clockwork.Clock
	leaving func(ferryid.UpstreamName)
}

// Run starts an epoch and watches how it ends.
func (o *observedEngines) Run(ctx context.Context, req ferryengine.RunRequest) (ferryengine.Stream, error) {
	s := &observedStream{engines: o, ctx: ctx, stages: o.dispatch(&req)}
	stream, err := o.Client.Run(ctx, req)
	var refused *ferryengine.RefusedError
	var dispatch *ferryengine.DispatchError
	switch {
	case err == nil:
		s.Stream = stream
		return s, nil
	case errors.As(err, &refused) && refused.Kind == ferryoutcome.KindDraining:
		o.left(req.Stages[0].Address)
	case errors.As(err, &dispatch) && dispatch.Phase == ferryoutcome.PhaseNotConnected && ctx.Err() == nil:
		s.failed(req.Stages[0].Address, ferryroute.FailureConnection)
	case errors.As(err, &dispatch) && ctx.Err() == nil:
		s.failed(req.Stages[0].Address, ferryroute.FailureAnswer)
	}
	s.cancel()
	return nil, err
}

// dispatch counts the stream on the engines of all its stages.
func (o *observedEngines) dispatch(req *ferryengine.RunRequest) []observedStage {
	tokens := ferryid.Tokens(req.MaxTokens - len(req.Generated))
	snap, now := o.table.Snapshot(), o.clock.Now()
	out := make([]observedStage, 0, len(req.Stages))
	for _, st := range req.Stages {
		if name, ok := snap.NameOf(st.Address); ok {
			out = append(out, observedStage{address: st.Address, dispatch: o.table.Start(name, tokens, now)})
		}
	}
	return out
}

func (o *observedEngines) left(address string) {
	if name, ok := o.table.Snapshot().NameOf(address); ok {
		o.leaving(name)
	}
}

// observedStage is a stream's part on one engine.
type observedStage struct {
	address  string
	dispatch *ferryroute.Dispatch
}

// observedStream is used by one goroutine at a time.
type observedStream struct {
	ferryengine.Stream
	engines *observedEngines
	ctx     context.Context
	stages  []observedStage
	tokens  ferryid.Tokens
}

// Next returns the next item and notes how fast tokens come and which stage failed.
func (s *observedStream) Next() (ferryengine.Item, error) {
	it, err := s.Stream.Next()
	switch {
	case err != nil && s.ctx.Err() == nil && len(s.stages) > 0:
		// The end of the items comes after each stage is over, and then this changes nothing.
		s.failed(s.stages[0].address, ferryroute.FailureAnswer)
		s.cancel()
	case err != nil:
		s.cancel()
	case it.Failed != nil:
		s.stageFailed(it.Failed)
	case it.Done:
		s.finish()
	case it.Text != "":
		s.progress()
	}
	return it, err
}

// Close gives the stream up; what has not ended by then was stopped by this entry or by its caller.
func (s *observedStream) Close() error {
	s.cancel()
	return s.Stream.Close()
}

func (s *observedStream) progress() {
	s.tokens++
	now := s.engines.clock.Now()
	for _, st := range s.stages {
		st.dispatch.Progress(s.tokens, now)
	}
}

func (s *observedStream) finish() {
	now := s.engines.clock.Now()
	for _, st := range s.stages {
		st.dispatch.Finish(s.tokens, now)
	}
}

// stageFailed blames the stage that is named; one that leaves, refuses or has lost the stream's state is sound.
func (s *observedStream) stageFailed(f *ferryengine.Failure) {
	switch f.Kind {
	case ferryengine.FailureDraining:
		s.engines.left(f.Stage)
	case ferryengine.FailureEmpty, ferryengine.FailureRefused:
	default:
		s.failed(f.Stage, ferryroute.FailureAnswer)
	}
	s.cancel()
}

func (s *observedStream) failed(address string, f ferryroute.Failure) {
	now := s.engines.clock.Now()
	for _, st := range s.stages {
		if st.address == address {
			st.dispatch.Fail(f, now)
		}
	}
}

// cancel ends the account of the stages that have neither finished nor failed.
func (s *observedStream) cancel() {
	now := s.engines.clock.Now()
	for _, st := range s.stages {
		st.dispatch.Cancel(now)
	}
}
