package ferryedge

import (
	"context"
	"errors"
	"time"

	"cactusferry.dev/ferry/ferryconfig"
	"cactusferry.dev/ferry/ferryplatform"
)

const (
	// configWait is the longest duration of one watch of the configuration. It is shorter than the
	// platform keeps its history. A hanging connection is detected earlier, by the reads that
	// prove the configuration current.
	configWait = 12 * time.Second
	// watchPause is the delay after an answer with changes, so that a burst of changes costs few calls.
	watchPause = 300 * time.Millisecond
	// pauseDivisor limits this delay to a part of the objective for the changes.
	pauseDivisor = 4
	// proofsPerKeyAge is the number of proofs within the maximum age of keys. What another entry has read
	// may already be as old as that entry's interval.
	proofsPerKeyAge = 2.5
	// maxLoggedFaults is the number of faults of a configuration that are logged.
	maxLoggedFaults = 16
	// proofRetryDelay is the delay after a failed proof.
	proofRetryDelay = 500 * time.Millisecond
	// proofTimeout bounds one proof, including the fallback from another entry to the platform.
	proofTimeout = 1500 * time.Millisecond
	// idleProofInterval is the interval of proofs if keys may have any age.
	idleProofInterval = 5 * time.Second
)

// configWatcher applies the operators' configuration from the platform.
type configWatcher struct{ *Edge }

func (w configWatcher) Listed(c ferryplatform.Changes)  { w.apply(c) }
func (w configWatcher) Changed(c ferryplatform.Changes) { w.apply(c) }
func (w configWatcher) Lost(error)                      {}

func (w configWatcher) apply(c ferryplatform.Changes) {
	for _, o := range c.Objects {
		if o.Name == w.cfg.Objects.ConfigurationName && !o.Deleted {
			if _, err := w.offer(o, "watch"); err != nil {
				w.metrics.Scope.Counter("configurations_undecodable").Inc(1)
				w.cfg.Log.Error().Err(err).Uint64("Revision", o.Version.Revision()).Msg("could not decode the configuration; keeping the current one")
			}
		}
	}
}

func (e *Edge) followConfig(ctx context.Context) {
	e.follow(ctx, e.cfg.Objects.ConfigurationKind, configWait, pauseFor(e.cfg.Objectives.ConfigWithin), configWatcher{e})
}

// pauseFor returns the delay after changes that must be known within the given
// time; zero means no objective.
func pauseFor(within time.Duration) time.Duration {
	if within <= 0 {
		return watchPause
	}
	return min(watchPause, within/pauseDivisor)
}

// offer decodes a configuration, puts it in force if it is newer, and returns it.
func (e *Edge) offer(o ferryplatform.Object, source string) (*ferryconfig.Snapshot, error) {
	s, err := e.decodeConfig(o)
	if err != nil {
		return nil, err
	}
	verdict, epoch := e.holder.Offer(s), uint32(o.Version.Epoch())+1
	switch verdict {
	case ferryconfig.Known:
		e.configEpoch.Store(max(epoch, e.configEpoch.Load()))
		return s, nil
	case ferryconfig.Older:
		return s, nil
	case ferryconfig.Taken:
	}
	e.configEpoch.Store(epoch)
	e.configObject.Store(&o)
	e.metrics.Scope.Gauge("configuration_faults").Update(float64(len(s.Faults)))
	if len(s.Faults) > 0 {
		e.cfg.Log.Warn().Str("Source", source).Uint64("Version", uint64(s.Version)).Int("Count", len(s.Faults)).Strs("Faults", s.Faults[:min(len(s.Faults), maxLoggedFaults)]).Msg("configuration has faults; the parts that have them are left out")
	}
	e.cfg.Log.Info().Str("Source", source).Uint64("Version", uint64(s.Version)).Str("Verdict", verdict.String()).
		Int("Routes", len(s.Routes)).Int("Services", len(s.Services)).Int("Customers", len(s.Customers)).Msg("configuration received from the platform")
	return s, nil
}

// proveConfig reads the configuration periodically, since a watch without changes does
// not show that it is current.
func (e *Edge) proveConfig(ctx context.Context) {
	lost := false
	for ctx.Err() == nil {
		err := e.prove(ctx)
		var missing *ferryplatform.NotFoundError
		switch {
		case err != nil && ctx.Err() != nil:
			return
		case errors.As(err, &missing):
		case err != nil && !lost:
			lost = true
			e.configStale.Store(true)
			e.cfg.Log.Warn().Err(err).Msg("could not prove the configuration current")
		case err == nil && lost:
			lost = false
			e.configStale.Store(false)
			e.cfg.Log.Info().Msg("configuration proved current again")
		}
		if err != nil {
			e.pause(ctx, proofRetryDelay)
			continue
		}
		e.awaitProof(ctx)
	}
}

// awaitProof waits until the next proof is due. That is sooner once this entry reads from the platform directly, since
// others may read from it then.
func (e *Edge) awaitProof(ctx context.Context) {
	step := e.relay.ProofInterval(e.cfg.Objects.ConfigurationKind)
	for waited := time.Duration(0); waited < e.proofInterval(); waited += step {
		if !e.pause(ctx, min(step, e.proofInterval()-waited)) {
			return
		}
	}
}

// proofInterval returns the time until the next proof.
func (e *Edge) proofInterval() time.Duration {
	switch age := e.cfg.Objectives.KeyAge; {
	case e.relay.ReadsDirectly():
		return e.relay.ProofInterval(e.cfg.Objects.ConfigurationKind)
	case age > 0:
		return time.Duration(float64(age) / proofsPerKeyAge)
	}
	return idleProofInterval
}

func (e *Edge) prove(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, proofTimeout)
	defer cancel()
	o, at, err := e.relay.Prove(ctx, e.cfg.Objects.ConfigurationKind, e.cfg.Objects.ConfigurationName)
	if err != nil {
		return err
	}
	s, err := e.offer(o, "proof")
	if err != nil {
		return err
	}
	if err := e.checkRestored(s.Version, o.Version.Epoch()); err != nil {
		e.takeFromOthers(ctx)
		return err
	}
	e.holder.Prove(s.Version, at)
	e.startIfProved()
	return nil
}

// decodeConfig decodes a configuration; a panic of the decoder is its error.
func (e *Edge) decodeConfig(o ferryplatform.Object) (s *ferryconfig.Snapshot, err error) {
	if panicked := e.guard.Run("configuration decoder", o.Name, func() { s, err = e.cfg.Objects.Configuration(o.Value) }); panicked != nil {
		return nil, panicked
	}
	return s, err
}
