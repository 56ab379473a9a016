package ferrynode

import (
	"time"

	"cactusferry.dev/ferry/ferryid"
	"cactusferry.dev/ferry/ferryplatform"
	"cactusferry.dev/ferry/ferryservice"
	"cactusferry.dev/ferryd/ferrycaller"
)

const steerLifetime = 30 * time.Second

// steer answers which entries a customer should use.
func (n *Node) steer(d *ferryservice.Document, _ ferryservice.Customer) ferrycaller.EntriesAnswer {
	a := ferrycaller.EntriesAnswer{Service: d.Service, LifetimeSeconds: int(steerLifetime / time.Second)}
	for _, in := range n.entries() {
		a.Entries = append(a.Entries, ferrycaller.EntryAddress{Name: ferryid.EntryName(in.Name), Address: in.Address, FailureDomain: in.FailureDomain})
	}
	return a
}

// entries are the live entries of the instance list.
func (n *Node) entries() ferryplatform.Instances {
	var out ferryplatform.Instances
	if list := n.list.Load(); list != nil {
		for _, in := range *list {
			if in.Role == ferryplatform.RoleEntry && in.State == ferryplatform.StateLive {
				out = append(out, in)
			}
		}
	}
	return out
}

func (n *Node) otherEntries() []string {
	var out []string
	for _, in := range n.entries() {
		if in.Name != string(n.cfg.Name) {
			out = append(out, in.Address)
		}
	}
	return out
}

func (n *Node) entryStatus() []EntryStatus {
	var out []EntryStatus
	for _, in := range n.entries() {
		out = append(out, EntryStatus{Name: ferryid.EntryName(in.Name), PeerAddress: in.PeerAddress, State: string(in.State)})
	}
	return out
}

func (n *Node) addressOf(ferryid.Incarnation) (string, bool) {
	return "", false
}

func (n *Node) allow(*ferryservice.Document, ferryservice.Customer, float64) (time.Duration, bool) {
	return 0, true
}
