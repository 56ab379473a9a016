package ferryedge

import (
	"context"
	"slices"
	"time"

	"github.com/rs/zerolog"

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
	before := w.upstreams.View()
	w.upstreams.Replace(list, c.Version)
	w.logDifferences(before, w.upstreams.View())
	w.upstreamsListed.Store(true)
	w.setReadyIfListed()
}

// maxLoggedChanges is the number of upstreams of one answer that have a log line each. All engines of a fleet change
// when it starts, and each entry hears of each.
const maxLoggedChanges = 32

func (w upstreamWatcher) Changed(c ferryplatform.Changes) {
	changes := make([]ferrydiscovery.Change, 0, len(c.Objects))
	defer func() { w.logChanges(w.inEffect(changes)) }()
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

// inEffect returns the changes without the removals of upstreams that are kept after an outage or are back already.
// The former are logged when they expire: a list may tell that they are still there, which changes nothing then.
func (w upstreamWatcher) inEffect(changes []ferrydiscovery.Change) []ferrydiscovery.Change {
	view := w.upstreams.View()
	return slices.DeleteFunc(changes, func(c ferrydiscovery.Change) bool { return c.Removed && view.Get(c.Upstream.Name) != nil })
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
		w.cfg.Log.Warn().Err(err).Uint64("Revision", o.Version.Revision()).Msg("could not decode the upstream's registration; ignored")
		return u, false
	}
	return u, true
}

// logChanges logs the first changes of one answer, and the number of those beyond maxLoggedChanges, of which only the
// newest state of each upstream is logged later.
func (w upstreamWatcher) logChanges(changes []ferrydiscovery.Change) {
	w.unlogged.mu.Lock()
	defer w.unlogged.mu.Unlock()
	direct, rest := changes[:min(len(changes), maxLoggedChanges)], changes[min(len(changes), maxLoggedChanges):]
	for _, c := range direct {
		w.unlogged.logged(c.Upstream.Name)
		logChange(w.cfg.Log.Info(), c)
	}
	if len(rest) == 0 {
		return
	}
	w.cfg.Log.Info().Int("Upstreams", len(rest)).Uint64("FirstRevision", rest[0].Upstream.Version.Revision()).
		Uint64("LastRevision", rest[len(rest)-1].Upstream.Version.Revision()).Msg("further upstreams changed")
	now := w.cfg.Clock.Now()
	for _, c := range rest {
		w.unlogged.add(c, now)
	}
}

func logChange(ev *zerolog.Event, c ferrydiscovery.Change) {
	u := &c.Upstream
	if c.Removed {
		ev.Str("Upstream", u.Name).Uint64("Revision", u.Version.Revision()).Uint16("Epoch", uint16(u.Version.Epoch())).Msg("upstream removed")
		return
	}
	ev.Str("Upstream", u.Name).Str("Service", string(u.Service)).Str("Domain", string(u.FailureDomain)).Str("Accelerator", u.Accelerator).Str("State", string(u.State)).
		Stringer("Layers", u.Layers).Uint64("Revision", u.Version.Revision()).Uint16("Epoch", uint16(u.Version.Epoch())).Msg("upstream changed")
}

func (e *Edge) followUpstreams(ctx context.Context) {
	e.follow(ctx, e.cfg.Objects.UpstreamKind, upstreamWait, pauseFor(e.cfg.Objectives.LeaveWithin), upstreamWatcher{e})
}

func (e *Edge) expireUpstreams(ctx context.Context) {
	for e.pause(ctx, expireInterval) {
		e.expireOnce()
	}
}

func (e *Edge) expireOnce() {
	before := e.upstreams.View()
	e.upstreams.Expire()
	e.logDifferences(before, e.upstreams.View())
}
