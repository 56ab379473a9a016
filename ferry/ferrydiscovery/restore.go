package ferrydiscovery

import "time"

// restoredHold is how long a process that is known to have ended gets no requests though a copy of the platform lists it.
// The platform removes an upstream after three missed heartbeats, so that one that is still listed then is running.
const restoredHold = 5 * time.Second

// heldUpstream is the record of a listed upstream that has no effect until the given time.
type heldUpstream struct {
	upstream Upstream
	until    time.Time
}

// leftBefore reports whether an upstream was leaving in an earlier epoch than that of a later record of the same process. A
// copy may show it as it was before.
func (u *Upstream) leftBefore(later *Upstream) bool {
	return !u.Ready() && u.SameProcess(later) && u.Version.Epoch() < later.Version.Epoch()
}

// isOutdated reports whether a listed upstream is what a copy shows of one that is known to have been removed or
// replaced since, by the time at which its process started. A higher revision than those tells of a later registration.
func (t *Table) isOutdated(u *Upstream) bool {
	row, g := t.rows[u.Name], t.tombstones[u.Name]
	switch {
	case row != nil:
		return row.Started.After(u.Started) && row.Version.Epoch() < u.Version.Epoch() && row.Version.Revision() > u.Version.Revision()
	case g.last != nil:
		return (g.last.SameProcess(u) || g.last.Started.After(u.Started)) && g.version.Epoch() < u.Version.Epoch() && g.version.Revision() > u.Version.Revision()
	}
	return false
}

// isHeld reports whether the record of a listed upstream is held already.
func (t *Table) isHeld(u *Upstream) bool {
	h, held := t.held[u.Name]
	return held && h.upstream.Version == u.Version
}

// hold keeps an outdated record of an upstream for restoredHold, and reports whether some upstream changed: the one
// that is known is treated as one that the list lacks.
func (t *Table) hold(u Upstream) bool {
	updated := t.remove(u.Name, u.Version-1)
	t.held[u.Name] = heldUpstream{upstream: u, until: t.clock.Now().Add(restoredHold)}
	return updated
}

// release applies the records of the upstreams whose time has passed, and reports whether some upstream changed.
func (t *Table) release(now time.Time) bool {
	updated := false
	for name, h := range t.held {
		if !now.Before(h.until) {
			delete(t.held, name)
			updated = t.put(h.upstream) || updated
		}
	}
	return updated
}
