package ferrynode

import (
	"context"
	"errors"
	"io"

	"github.com/jonboulle/clockwork"

	"cactusferry.dev/ferry/ferryengine"
	"cactusferry.dev/ferry/ferryid"
	"cactusferry.dev/ferry/ferryoutcome"
	"cactusferry.dev/ferry/ferryroute"
)

// observedEngines tells the table of each engine that fails a stream, so that other streams do not have to find out too.
type observedEngines struct {
	*ferryengine.Client
	clock   clockwork.Clock
	table   *ferryroute.Table
	avoid   func(ferryid.UpstreamName)
	leaving func(ferryid.UpstreamName)
}

// Run starts an epoch and watches how it ends.
func (o *observedEngines) Run(ctx context.Context, req ferryengine.RunRequest) (ferryengine.Stream, error) {
	s, err := o.Client.Run(ctx, req)
	if err != nil {
		o.failed(ctx, req.Stages[0].Address, err)
		return nil, err
	}
	return &observedStream{Stream: s, engines: o, ctx: ctx, stages: req.Stages}, nil
}

// failed puts an engine aside for a while, unless the stream was given up here.
func (o *observedEngines) failed(ctx context.Context, address string, err error) {
	if ctx.Err() != nil {
		return
	}
	name, ok := o.named(address)
	if !ok {
		return
	}
	var refused *ferryengine.RefusedError
	if errors.As(err, &refused) {
		if refused.Kind == ferryoutcome.KindDraining {
			o.leaving(name)
		}
		return
	}
	now := o.clock.Now()
	o.table.Start(name, 1, now).Fail(ferryroute.FailureConnection, now)
	o.avoid(name)
}

// worked lets engines that were put aside prove themselves.
func (o *observedEngines) worked(stages ferryengine.Stages) {
	now := o.clock.Now()
	for _, st := range stages {
		if name, ok := o.named(st.Address); ok {
			o.table.Start(name, 1, now).Finish(0, now)
		}
	}
}

func (o *observedEngines) named(address string) (ferryid.UpstreamName, bool) {
	for _, c := range o.table.Snapshot().All() {
		if c.Address == address {
			return c.Name, true
		}
	}
	return "", false
}

type observedStream struct {
	ferryengine.Stream
	engines *observedEngines
	ctx     context.Context
	stages  ferryengine.Stages
}

// Next returns the next item and notes the stage that a failure names.
func (s *observedStream) Next() (ferryengine.Item, error) {
	it, err := s.Stream.Next()
	switch {
	case err != nil && !errors.Is(err, io.EOF):
		s.engines.failed(s.ctx, s.stages[0].Address, err)
	case err == nil && it.Failed != nil && it.Failed.Kind == ferryengine.FailureDied:
		s.engines.failed(s.ctx, it.Failed.Stage, err)
	case err == nil && it.Done:
		s.engines.worked(s.stages)
	}
	return it, err
}
