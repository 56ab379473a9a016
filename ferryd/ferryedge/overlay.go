package ferryedge

import (
	"time"

	"cactusferry.dev/ferry/ferryid"
	"cactusferry.dev/ferry/ferrypeer"
	"cactusferry.dev/ferry/ferryrelay"
)

// newOverlay creates this entry's node of the overlay.
func (e *Edge) newOverlay() {
	e.peer = ferrypeer.New(ferrypeer.Config{
		Self: ferrypeer.Member{
			Name: e.cfg.Name, Incarnation: e.self, FailureDomain: e.cfg.Domain, PeerAddress: e.cfg.Peers, CallerAddress: e.cfg.Callers,
			Capacity: e.cfg.Capacity,
		},
		Seeds: e.cfg.Seeds, Dial: e.cfg.Dial, Clock: e.cfg.Steady, Log: e.cfg.Log, Events: e.events, OnMembers: e.onMembers,
		Topics:   []ferrypeer.Topic{e.states.Topic(), e.conditions.Topic(), e.reports.Topic()},
		Handlers: map[ferrypeer.AskKind]ferrypeer.Handler{ferryrelay.AskKind: e.relay.Answer},
	})
	e.states.Notify(e.peer.Publish)
	e.conditions.Notify(e.peer.Publish)
	e.reports.Notify(e.peer.Publish)
	e.publishReadiness()
}

// publishReadiness publishes whether callers may be sent to this entry.
func (e *Edge) publishReadiness() {
	s := ferrypeer.Draining
	if e.Ready() {
		s = ferrypeer.Ready
	}
	e.peer.SetState(s, ferrypeer.Load{})
}

// shareHops is the number of share intervals within which all entries know what one has published: one to
// publish, one to apply, and one for the links in between.
const shareHops = 3

// onMembers applies a new membership.
func (e *Edge) onMembers(ms ferrypeer.Members) {
	byDomain := map[ferryid.DomainName]int{}
	for _, m := range ms.Live() {
		byDomain[m.FailureDomain]++
	}
	e.services.SetEntries(byDomain, shareHops*shareInterval*time.Duration(fleetFactorOf(len(ms.Live()))))
}
