package ferryedge

import (
	"context"
	"time"

	"cactusferry.dev/ferry/ferrydiscovery"
	"cactusferry.dev/ferry/ferryplatform"
)

// upstreamWait is the longest duration of one watch of the upstreams.
const upstreamWait = 3 * time.Second

// expireInterval is the interval at which expired upstreams are removed. Their grace
// period is a multiple of it.
const expireInterval = 500 * time.Millisecond

// upstreamWatcher applies the upstreams' registrations from the platform.
type upstreamWatcher struct{ *Edge }

func (w upstreamWatcher) Listed(c ferryplatform.Changes) {
	var list []ferrydiscovery.Upstream
	for _, o := range c.Objects {
		if u, ok := w.decode(o); ok && !o.Deleted {
			list = append(list, u)
		}
	}
	w.upstreams.Replace(list, c.Version)
	w.upstreamsListed.Store(true)
	w.setReadyIfListed()
}

// maxLoggedChanges is the number of upstreams of one answer that have a log line each. All engines of a fleet change
// when it starts, and each entry hears of each.
const maxLoggedChanges = 32

func (w upstreamWatcher) Changed(c ferryplatform.Changes) {
	changes := make([]ferrydiscovery.Change, 0, len(c.Objects))
	defer func() { w.logChanges(changes) }()
	for _, o := range c.Objects {
		u, ok := w.decode(o)
		if !ok {
			continue
		}
		if o.Deleted && u.Version < c.Version {
			// The platform may give a removal the version of the last write before it.
			u.Version = max(u.Version, w.versionOf(u.Name))
		}
		changes = append(changes, ferrydiscovery.Change{Upstream: u, Removed: o.Deleted})
	}
	w.upstreams.Apply(changes)
}

func (w upstreamWatcher) Lost(error) { w.upstreams.MarkUnreachable() }

func (w upstreamWatcher) versionOf(name string) ferryplatform.Version {
	if u := w.upstreams.View().Get(name); u != nil {
		return u.Version
	}
	return 0
}

func (w upstreamWatcher) decode(o ferryplatform.Object) (ferrydiscovery.Upstream, bool) {
	var u ferrydiscovery.Upstream
	var err error
	if panicked := w.guard.Run("upstream decoder", o.Name, func() { u, err = w.cfg.Objects.Upstream(o) }); panicked != nil {
		err = panicked
	}
	if err != nil {
		w.cfg.Log.Warn().Err(err).Uint64("Revision", uint64(o.Version)).Msg("could not decode the upstream's registration; ignored")
		return u, false
	}
	return u, true
}

// logChanges logs the changes of one answer, and the number of those beyond maxLoggedChanges.
func (w upstreamWatcher) logChanges(changes []ferrydiscovery.Change) {
	for i, c := range changes {
		if i == maxLoggedChanges {
			w.cfg.Log.Info().Int("Upstreams", len(changes)-i).Uint64("FirstRevision", uint64(c.Upstream.Version)).
				Uint64("LastRevision", uint64(changes[len(changes)-1].Upstream.Version)).Msg("further upstreams changed")
			return
		}
		w.logChange(c.Upstream, c.Removed)
	}
}

func (w upstreamWatcher) logChange(u ferrydiscovery.Upstream, removed bool) {
	if removed {
		w.cfg.Log.Info().Str("Upstream", u.Name).Uint64("Revision", uint64(u.Version)).Msg("upstream removed")
		return
	}
	w.cfg.Log.Info().Str("Upstream", u.Name).Str("Service", string(u.Service)).Str("Domain", string(u.FailureDomain)).Str("Accelerator", u.Accelerator).Str("State", string(u.State)).
		Stringer("Layers", u.Layers).Uint64("Revision", uint64(u.Version)).Msg("upstream changed")
}

func (e *Edge) followUpstreams(ctx context.Context) {
	e.follow(ctx, e.cfg.Objects.UpstreamKind, upstreamWait, pauseFor(e.cfg.Objectives.LeaveWithin), upstreamWatcher{e})
}

func (e *Edge) expireUpstreams(ctx context.Context) {
	for e.pause(ctx, expireInterval) {
		e.upstreams.Expire()
	}
}
