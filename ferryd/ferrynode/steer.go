package ferrynode

import (
	"time"

	"cactusferry.dev/ferry/ferryadmin"
	"cactusferry.dev/ferry/ferryid"
	"cactusferry.dev/ferry/ferryservice"
	"cactusferry.dev/ferry/ferrysteer"
	"cactusferry.dev/ferryd/ferrycaller"
)

// steer returns the entries that a customer should use.
func (n *Node) steer(d *ferryservice.Document, cu ferryservice.Customer, id ferryid.RequestID) ferrycaller.EntriesAnswer {
	shares := 0.0
	for _, c := range d.Customers {
		shares += c.Share
	}
	a := ferrysteer.Choose(n.peer.Members(), ferrysteer.Customer{Service: d.Service, Name: cu.Name, Share: cu.Share, Shares: shares}, string(id))
	return ferrycaller.EntriesAnswer{Service: d.Service, Entries: a.Targets, LifetimeSeconds: int(a.Lifetime / time.Second)}
}

// otherEntries returns the caller addresses of the other usable entries.
func (n *Node) otherEntries() []string {
	var out []string
	for _, m := range n.peer.Members().List {
		if m.Usable() && m.Name != n.cfg.Name {
			out = append(out, m.CallerAddress)
		}
	}
	return out
}

func (n *Node) entryStatus() []ferryadmin.EntryStatus {
	out := []ferryadmin.EntryStatus{}
	for _, m := range n.peer.Members().List {
		out = append(out, ferryadmin.EntryStatus{Name: m.Name, PeerAddress: m.PeerAddress, State: m.State.String(), Status: m.Status.String()})
	}
	return out
}

func (n *Node) addressOf(id ferryid.Incarnation) (string, bool) {
	m, ok := n.memberOf(id)
	return m.CallerAddress, ok && m.CallerAddress != ""
}
