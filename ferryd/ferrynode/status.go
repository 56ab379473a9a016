package ferrynode

import (
	"context"

	"cactusferry.dev/ferry/ferryid"
	"cactusferry.dev/ferry/ferryoutcome"
	"cactusferry.dev/ferry/ferryplatform"
	"cactusferry.dev/ferry/ferryqueue"
	"cactusferry.dev/ferry/ferryroute"
)

// Status is what operators are told of one entry.
type Status struct {
	Entry         ferryid.EntryName
	Incarnation   ferryid.Incarnation
	FailureDomain ferryid.DomainName
	State         string
	Peers         []string
	Documents     []DocumentStatus
	Services      []ServiceStatus
	OpenStreams   int
	OpenCalls     int
	PlatformCalls ferryplatform.Calls
	PlatformUp    bool
	Entries       []EntryStatus
}

// DocumentStatus is one document in force.
type DocumentStatus struct {
	Service    ferryid.ServiceName
	Generation ferryid.Generation
	Hash       string
}

// ServiceStatus is the load of one service at this entry.
type ServiceStatus struct {
	Service   ferryid.ServiceName
	Queue     ferryqueue.Snapshot
	Upstreams ferryroute.Candidates
}

// EntryStatus is another entry as this one sees it.
type EntryStatus struct {
	Name        ferryid.EntryName
	PeerAddress string
	State       string
}

func (n *Node) status() Status {
	streams, calls := n.callers.Open()
	s := Status{
		Entry: n.cfg.Name, Incarnation: n.self, FailureDomain: n.cfg.FailureDomain, State: n.state().String(),
		OpenStreams: streams, OpenCalls: calls, PlatformCalls: n.platform.Calls(), PlatformUp: n.platform.Up(),
		Peers: []string{}, Documents: []DocumentStatus{}, Services: []ServiceStatus{},
	}
	for _, f := range n.holder.All() {
		s.Documents = append(s.Documents, DocumentStatus{Service: f.Accepted.Service, Generation: f.Accepted.Generation, Hash: f.Hash})
	}
	for _, sv := range n.services.all() {
		s.Services = append(s.Services, ServiceStatus{Service: sv.name, Queue: sv.admission.Snapshot(), Upstreams: sv.table.Snapshot().All()})
	}
	s.Entries = n.entryStatus()
	return s
}

func (n *Node) claim(_ context.Context, _ ferryid.ServiceName, _ string) (any, error) {
	return nil, ferryoutcome.New(ferryoutcome.KindNotFound, ferryoutcome.NotRun, "Claims can't be looked up yet.")
}
