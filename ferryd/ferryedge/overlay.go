package ferryedge

import (
	"time"

	"cactusferry.dev/ferry/ferryid"
	"cactusferry.dev/ferry/ferrypeer"
	"cactusferry.dev/ferry/ferryrelay"
)

// newOverlay makes this entry's part in the overlay.
func (e *Edge) newOverlay() {
	e.peer = ferrypeer.New(ferrypeer.Config{
		Self: ferrypeer.Member{
			Name: e.cfg.Name, Incarnation: e.self, FailureDomain: e.cfg.Domain, PeerAddress: e.cfg.Peers, CallerAddress: e.cfg.Callers,
		},
		Seeds: e.cfg.Seeds, Clock: e.cfg.Steady, Log: e.cfg.Log, Events: e.events, OnMembers: e.onMembers,
		Topics:   []ferrypeer.Topic{e.states.Topic(), e.conditions.Topic()},
		Handlers: map[ferrypeer.AskKind]ferrypeer.Handler{ferryrelay.AskKind: e.relay.Answer},
	})
	e.states.Notify(e.peer.Publish)
	e.conditions.Notify(e.peer.Publish)
	e.tellState()
}

// tellState tells the other entries whether callers may be sent here.
func (e *Edge) tellState() {
	s := ferrypeer.Draining
	if e.Ready() {
		s = ferrypeer.Ready
	}
	e.peer.SetState(s, ferrypeer.Load{})
}

// shareHops is within how many intervals all entries have heard what one has told: it is told after one, taken after another, and passes
// over a few links between them.
const shareHops = 3

// onMembers takes a new membership.
func (e *Edge) onMembers(ms ferrypeer.Members) {
	byDomain := map[ferryid.DomainName]int{}
	for _, m := range ms.Live() {
		byDomain[m.FailureDomain]++
	}
	e.services.SetEntries(byDomain, shareHops*shareEvery*time.Duration(crowd(len(ms.Live()))))
}
