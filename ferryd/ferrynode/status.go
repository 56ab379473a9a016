package ferrynode

import (
	"context"

	"cactusferry.dev/ferry/ferryadmin"
	"cactusferry.dev/ferry/ferryid"
	"cactusferry.dev/ferry/ferryoutcome"
)

func (n *Node) status() ferryadmin.Status {
	streams, calls := n.callers.OpenCounts()
	s := ferryadmin.Status{
		Entry: n.cfg.Name, Incarnation: n.self, FailureDomain: n.cfg.FailureDomain, State: ferryadmin.EntryState(n.state().String()),
		OpenStreams: streams, OpenCalls: calls, PlatformUp: n.platform.Up(), PlatformCalls: n.platformCalls(),
		Peers: n.peer.Links(), Entries: n.entryStatus(),
	}
	for _, f := range n.activatedDocuments() {
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

// lookupKey looks up an idempotency key for every customer of the service.
func (n *Node) lookupKey(ctx context.Context, service ferryid.ServiceName, key string) (any, error) {
	f, ok := n.holder.Get(service)
	if !ok {
		return nil, ferryoutcome.New(ferryoutcome.KindNotFound, ferryoutcome.NotRun, "There is no service %.80q here.", service)
	}
	if key == "" {
		return nil, ferryoutcome.New(ferryoutcome.KindBadRequest, ferryoutcome.NotRun, "Name the key to look up.")
	}
	var customers []ferryid.CustomerName
	for _, cu := range f.Document.Customers {
		customers = append(customers, cu.Name)
	}
	found, err := n.claims.Lookup(ctx, service, key, customers)
	if err != nil {
		return nil, ferryoutcome.New(ferryoutcome.KindPlatformDown, ferryoutcome.NotRun, "The platform can't be read now.").WithCause(err)
	}
	return found, nil
}
