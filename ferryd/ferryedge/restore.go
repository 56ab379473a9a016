package ferryedge

import (
	"context"
	"fmt"

	"cactusferry.dev/ferry/ferryconfig"
	"cactusferry.dev/ferry/ferryplatform"
	"cactusferry.dev/ferry/ferryrelay"
)

// RestoredConfigurationError reports that the platform has come back from a copy with an older configuration than the one in
// force. It does not show whether a later one took keys away.
type RestoredConfigurationError struct {
	Read, InForce ferryconfig.Version
}

func (e *RestoredConfigurationError) Error() string {
	return fmt.Sprintf("configuration %d of a restored platform is older than %d, which is in force here or elsewhere", e.Read, e.InForce)
}

// checkRestored returns a *RestoredConfigurationError for a configuration that was read in a later epoch than the one in
// force and is older, or that is older than what other entries have in force for that reason. The latter entry has started
// since the restore: nothing proves its configuration.
func (e *Edge) checkRestored(read ferryconfig.Version, epoch ferryplatform.Epoch) error {
	inForce := e.holder.Current().Version
	ahead, _ := e.othersAhead()
	switch {
	case inForce > read && uint32(epoch)+1 > e.configEpoch.Load():
		e.configAhead.Store(uint64(inForce))
		return &RestoredConfigurationError{Read: read, InForce: inForce}
	case ahead > inForce:
		e.holder.Distrust()
		return &RestoredConfigurationError{Read: read, InForce: ahead}
	}
	e.configAhead.Store(0)
	return nil
}

// othersAhead returns the latest version that another entry has published to be in force there while the platform holds an
// older one, and that entry. The version is 0 if there is none.
func (e *Edge) othersAhead() (ferryconfig.Version, ferryrelay.Reader) {
	ahead, from := ferryconfig.Version(0), ferryrelay.Reader{}
	for _, published := range e.states.All() {
		if published.Origin != e.cfg.Name && published.Value.ConfigAhead > ahead {
			ahead, from = published.Value.ConfigAhead, ferryrelay.Reader{Name: published.Origin, Incarnation: published.Value.Process}
		}
	}
	return ahead, from
}

// takeFromOthers puts the configuration in force that another entry is ahead with. It stays unproved until the platform has
// it or a later one again.
func (e *Edge) takeFromOthers(ctx context.Context) {
	ahead, from := e.othersAhead()
	if ahead <= e.holder.Current().Version {
		return
	}
	o, err := e.relay.InForce(ctx, from, e.cfg.Objects.ConfigurationKind, e.cfg.Objects.ConfigurationName)
	if err == nil {
		_, err = e.offer(o, string(from.Name))
	}
	if err != nil {
		e.cfg.Log.Warn().Err(err).Str("Entry", string(from.Name)).Uint64("Version", uint64(ahead)).Msg("could not take the later configuration of another entry")
	}
}

// configInForce returns the object of the configuration in force while the platform holds an older one.
func (e *Edge) configInForce(kind, name string) (ferryplatform.Object, bool) {
	o := e.configObject.Load()
	if o == nil || kind != e.cfg.Objects.ConfigurationKind || name != o.Name || e.configAhead.Load() == 0 {
		return ferryplatform.Object{}, false
	}
	return *o, true
}
