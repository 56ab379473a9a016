package ferryedge

import (
	"context"
	"errors"
	"time"

	"cactusferry.dev/ferry/ferryplatform"
)

const (
	// configWait is how long one watch of the configuration lasts without a change, less than the platform keeps its history; readings that
	// prove the configuration current notice a silent connection before.
	configWait = 12 * time.Second
	// watchPace is the pause after an answer with changes, so that a quick series of them costs few calls.
	watchPace = 300 * time.Millisecond
	// paceShare is the part of a promise that such a pause may take at most.
	paceShare = 4
	// proofShare is how many times the configuration is proved current within the age that keys may have; what another entry has read may be old by proofRead already.
	proofShare = 2.5
	// proofRead is the pause between two proofs of an entry that reads for others.
	proofRead = time.Second
	// proofRetry follows a failed proof.
	proofRetry = 500 * time.Millisecond
	// proofTimeout bounds one reading, from another entry or, failing that, from the platform.
	proofTimeout = 1500 * time.Millisecond
	// proofIdle is the pause between two proofs where keys may have any age.
	proofIdle = 5 * time.Second
)

// configWatcher takes the operators' configuration from the platform.
type configWatcher struct{ *Edge }

func (w configWatcher) Listed(c ferryplatform.Changes)  { w.take(c) }
func (w configWatcher) Changed(c ferryplatform.Changes) { w.take(c) }
func (w configWatcher) Lost(error)                      {}

func (w configWatcher) take(c ferryplatform.Changes) {
	for _, o := range c.Objects {
		if o.Name == w.cfg.Objects.ConfigurationName && !o.Deleted {
			w.offer(o, "watch")
		}
	}
}

func (e *Edge) followConfig(ctx context.Context) {
	e.follow(ctx, e.cfg.Objects.ConfigurationKind, configWait, pace(e.cfg.Promise.ConfigWithin), configWatcher{e})
}

// pace is the pause after changes where they must be known within a time; zero stands for no promise.
func pace(within time.Duration) time.Duration {
	if within <= 0 {
		return watchPace
	}
	return min(watchPace, within/paceShare)
}

// offer decodes a configuration and brings it into force if it is newer.
func (e *Edge) offer(o ferryplatform.Object, source string) bool {
	s, err := e.cfg.Objects.Configuration(o.Value)
	if err != nil {
		e.cfg.Log.Error().Err(err).Str("Source", source).Uint64("Revision", uint64(o.Version)).Msg("configuration not taken")
		return false
	}
	verdict := e.holder.Offer(s)
	if verdict.InForce() {
		return true
	}
	e.cfg.Log.Info().Str("Source", source).Uint64("Version", uint64(s.Version)).Str("Verdict", verdict.String()).
		Int("Routes", len(s.Routes)).Int("Services", len(s.Services)).Int("Customers", len(s.Customers)).Msg("configuration")
	return true
}

// proveConfig reads the configuration now and then, since a watch that says nothing proves nothing.
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
			e.blind.Store(true)
			e.cfg.Log.Warn().Err(err).Msg("configuration cannot be proved current")
		case err == nil && lost:
			lost = false
			e.blind.Store(false)
			e.cfg.Log.Info().Msg("configuration is proved current again")
		}
		wait := e.proofPause()
		if err != nil {
			wait = proofRetry
		}
		e.pause(ctx, wait)
	}
}

// proofPause is how long one proof lasts.
func (e *Edge) proofPause() time.Duration {
	switch age := e.cfg.Promise.KeyAge; {
	case e.relay.Reads():
		return proofRead
	case age > 0:
		return time.Duration(float64(age) / proofShare)
	}
	return proofIdle
}

func (e *Edge) prove(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, proofTimeout)
	defer cancel()
	o, at, err := e.relay.Prove(ctx, e.cfg.Objects.ConfigurationKind, e.cfg.Objects.ConfigurationName)
	if err != nil {
		return err
	}
	s, err := e.cfg.Objects.Configuration(o.Value)
	if err != nil {
		return err
	}
	e.holder.Offer(s)
	e.holder.Prove(s.Version, at)
	e.startIf()
	return nil
}
