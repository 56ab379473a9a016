package ferryrelay

import (
	"context"

	"cactusferry.dev/ferry/ferryplatform"
)

// recordEpoch logs that the platform has come back from a copy, in which writes may be missing that it had accepted.
func (r *Relay) recordEpoch() {
	e, known := r.cfg.Platform.Epoch()
	if !known {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.epochKnown && e > r.epoch {
		r.counts.restored.Inc(1)
		r.cfg.Log.Warn().Uint16("From", uint16(r.epoch)).Uint16("Epoch", uint16(e)).Msg("platform has come back from a copy; all its objects are read again")
	}
	r.epoch, r.epochKnown = max(e, r.epoch), true
}

// InForce returns an object that another entry has in force, whatever the platform holds. It proves nothing.
func (r *Relay) InForce(ctx context.Context, from Reader, kind, name string) (ferryplatform.Object, error) {
	a, err := r.send(ctx, from, question{Op: opInForce, Kind: kind, Name: name}, askGrace)
	switch {
	case err != nil:
		return ferryplatform.Object{}, err
	case a.Status != statusOK || len(a.Objects) != 1:
		return ferryplatform.Object{}, &ferryplatform.NotFoundError{Kind: kind, Name: name}
	}
	return a.changes(kind).Objects[0], nil
}

// answerInForce answers with an object that this entry has in force.
func (r *Relay) answerInForce(q question) answer {
	if r.cfg.InForce == nil {
		return answer{Status: statusNotRead}
	}
	o, ok := r.cfg.InForce(q.Kind, q.Name)
	if !ok {
		return answer{Status: statusNotRead}
	}
	return answer{Status: statusOK, Objects: []object{{Name: o.Name, Version: o.Version, Value: o.Value}}}
}
