package ferrynode

import (
	"context"
	"errors"

	"cactusferry.dev/ferry/ferryengine"
	"cactusferry.dev/ferry/ferryid"
	"cactusferry.dev/ferry/ferryoutcome"
	"cactusferry.dev/ferry/ferryroute"
)

// observedEngines notes engines that say themselves that they leave, so that all entries hear of it.
type observedEngines struct {
	*ferryengine.Client
	table   *ferryroute.Table
	leaving func(ferryid.UpstreamName)
}

// Run starts an epoch and watches how it ends.
func (o *observedEngines) Run(ctx context.Context, req ferryengine.RunRequest) (ferryengine.Stream, error) {
	s, err := o.Client.Run(ctx, req)
	var refused *ferryengine.RefusedError
	if errors.As(err, &refused) && refused.Kind == ferryoutcome.KindDraining {
		o.left(req.Stages[0].Address)
	}
	if err != nil {
		return nil, err
	}
	return &observedStream{Stream: s, engines: o}, nil
}

func (o *observedEngines) left(address string) {
	for _, c := range o.table.Snapshot().All() {
		if c.Address == address {
			o.leaving(c.Name)
		}
	}
}

type observedStream struct {
	ferryengine.Stream
	engines *observedEngines
}

// Next returns the next item and notes a stage that refuses because it leaves.
func (s *observedStream) Next() (ferryengine.Item, error) {
	it, err := s.Stream.Next()
	if err == nil && it.Failed != nil && it.Failed.Kind == ferryengine.FailureDraining {
		s.engines.left(it.Failed.Stage)
	}
	return it, err
}
