package ferrydiscovery

import "time"

// restoredHold is how long a removed upstream that a copy of the platform lists again gets no requests. The platform
// removes an upstream after three missed heartbeats, so that one that is still listed then is running.
const restoredHold = 5 * time.Second

// heldUpstream is a listed upstream that counts as removed until the given time.
type heldUpstream struct {
	upstream Upstream
	until    time.Time
}

// leftBefore reports whether an upstream was leaving in an earlier epoch than that of a later record of the same process. A
// copy may show it as it was before.
func (u *Upstream) leftBefore(later *Upstream) bool {
	return !u.Ready() && u.SameProcess(later) && u.Version.Epoch() < later.Version.Epoch()
}

// hold reports whether a listed upstream counts as removed: a process whose removal is known, as a copy from before the
// removal shows it. Nothing distinguishes that from a registration written since but a later change.
func (t *Table) hold(u Upstream) bool {
	g := t.tombstones[u.Name]
	if t.rows[u.Name] != nil || g.last == nil || !g.last.SameProcess(&u) || g.version.Epoch() >= u.Version.Epoch() || g.version.Revision() <= u.Version.Revision() {
		return false
	}
	now := t.clock.Now()
	h, held := t.held[u.Name]
	if !held {
		h.until = now.Add(restoredHold)
	}
	h.upstream = u
	t.held[u.Name] = h
	return now.Before(h.until)
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
