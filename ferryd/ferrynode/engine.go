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

// observedEngines records the results of streams in the routing table of their engines.
// It reports engines that announce their planned stop to all entries.
type observedEngines struct {
	*ferryengine.Client
	table     *ferryroute.Table
	clock     clockwork.Clock
	onLeaving func(ferryid.UpstreamName)
}

// Run starts an epoch. It records a failure to start; the returned stream records the rest.
func (o *observedEngines) Run(ctx context.Context, req ferryengine.RunRequest) (ferryengine.Stream, error) {
	s := &observedStream{engines: o, ctx: ctx, stages: o.startDispatches(&req)}
	stream, err := o.Client.Run(ctx, req)
	var refused *ferryengine.RefusedError
	var dispatch *ferryengine.DispatchError
	switch {
	case err == nil:
		s.Stream = stream
		return s, nil
	case errors.As(err, &refused) && refused.Kind == ferryoutcome.KindDraining:
		o.reportLeaving(req.Stages[0].Address)
	case errors.As(err, &dispatch) && dispatch.Phase == ferryoutcome.PhaseNotConnected && ctx.Err() == nil:
		s.fail(req.Stages[0].Address, ferryroute.FailureConnection)
	case errors.As(err, &dispatch) && ctx.Err() == nil:
		s.fail(req.Stages[0].Address, ferryroute.FailureAnswer)
	}
	s.cancel()
	return nil, err
}

// startDispatches accounts for the stream on the engines of all its stages.
func (o *observedEngines) startDispatches(req *ferryengine.RunRequest) []observedStage {
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

func (o *observedEngines) reportLeaving(address string) {
	if name, ok := o.table.Snapshot().NameOf(address); ok {
		o.onLeaving(name)
	}
}

// observedStage is one stage of a stream, with its account on the engine.
type observedStage struct {
	address  string
	dispatch *ferryroute.Dispatch
}

// observedStream records the progress and failures of a stream; it is not safe for concurrent use.
type observedStream struct {
	ferryengine.Stream
	engines *observedEngines
	ctx     context.Context
	stages  []observedStage
	tokens  ferryid.Tokens
}

// Next returns the next item and records the token rate and failed stages.
func (s *observedStream) Next() (ferryengine.Item, error) {
	it, err := s.Stream.Next()
	switch {
	case err != nil && s.ctx.Err() == nil && len(s.stages) > 0:
		// At the regular end of the stream all stages have finished already, so fail has no effect.
		s.fail(s.stages[0].address, ferryroute.FailureAnswer)
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

// Close closes the stream. Stages still running were stopped by this entry or its caller and count as cancelled.
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

// stageFailed records the failure of the stage named in f.
// An engine that is draining, refuses or has lost the stream's state does not count as failed.
func (s *observedStream) stageFailed(f *ferryengine.Failure) {
	switch f.Kind {
	case ferryengine.FailureDraining:
		s.engines.reportLeaving(f.Stage)
	case ferryengine.FailureEmpty, ferryengine.FailureRefused:
	default:
		s.fail(f.Stage, ferryroute.FailureAnswer)
	}
	s.cancel()
}

func (s *observedStream) fail(address string, f ferryroute.Failure) {
	now := s.engines.clock.Now()
	for _, st := range s.stages {
		if st.address == address {
			st.dispatch.Fail(f, now)
		}
	}
}

// cancel closes the accounts of stages that have neither finished nor failed.
func (s *observedStream) cancel() {
	now := s.engines.clock.Now()
	for _, st := range s.stages {
		st.dispatch.Cancel(now)
	}
}
