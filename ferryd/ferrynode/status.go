package ferrynode

import (
	"context"

	"cactusferry.dev/ferry/ferryadmin"
	"cactusferry.dev/ferry/ferryid"
	"cactusferry.dev/ferry/ferryoutcome"
)

func (n *Node) status() ferryadmin.Status {
	streams, calls := n.callers.Open()
	s := ferryadmin.Status{
		Entry: n.cfg.Name, Incarnation: n.self, FailureDomain: n.cfg.FailureDomain, State: ferryadmin.EntryState(n.state().String()),
		OpenStreams: streams, OpenCalls: calls, PlatformUp: n.platform.Up(), PlatformCalls: n.platformCalls(),
		Peers: n.peer.Links(), Entries: n.entryStatus(),
	}
	for _, f := range n.holder.All() {
		s.Documents = append(s.Documents, ferryadmin.DocumentStatus{Service: f.Accepted.Service, Generation: f.Accepted.Generation, Hash: f.Hash})
	}
	for _, sv := range n.services.all() {
		s.Services = append(s.Services, ferryadmin.ServiceStatus{
			Service: sv.name, Queue: sv.admission.Snapshot(), Upstreams: sv.table.Snapshot().All(),
		})
	}
	return s
}

func (n *Node) platformCalls() map[string]int64 {
	c := n.platform.Calls()
	return map[string]int64{"Get": c.Get, "Put": c.Put, "Delete": c.Delete, "List": c.List, "Watch": c.Watch, "Instances": c.Instances}
}

func (n *Node) claim(_ context.Context, _ ferryid.ServiceName, _ string) (any, error) {
	return nil, ferryoutcome.New(ferryoutcome.KindNotFound, ferryoutcome.NotRun, "Claims can't be looked up yet.")
}
