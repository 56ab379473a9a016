package ferryadmin

import (
	"cactusferry.dev/ferry/ferryid"
	"cactusferry.dev/ferry/ferryqueue"
	"cactusferry.dev/ferry/ferryroute"
	"cactusferry.dev/ferry/ferryservice"
	"cactusferry.dev/ferry/ferrytoml"
)

// EntryState is the state of one entry.
type EntryState string

// The states of an entry.
const (
	StateStarting EntryState = "Starting"
	StateReady    EntryState = "Ready"
	StateDraining EntryState = "Draining"
)

// DocumentStatus names the version of a document that is in force at an entry.
type DocumentStatus struct {
	Service    ferryid.ServiceName `json:"Service"`
	Generation ferryid.Generation  `json:"Generation"`
	Hash       string              `json:"Hash"`
}

// EntryStatus is an entry as another one knows it.
type EntryStatus struct {
	Name        ferryid.EntryName `json:"Name"`
	PeerAddress string            `json:"PeerAddress"`
	State       string            `json:"State"`
	// Status is whether the other one holds it alive.
	Status string `json:"Status"`
}

// ServiceStatus is one service's load at an entry.
type ServiceStatus struct {
	Service   ferryid.ServiceName   `json:"Service"`
	Queue     ferryqueue.Snapshot   `json:"Queue"`
	Upstreams ferryroute.Candidates `json:"Upstreams"`
}

// Status is the answer of GET /admin/status.
type Status struct {
	Entry         ferryid.EntryName   `json:"Entry"`
	Incarnation   ferryid.Incarnation `json:"Incarnation"`
	FailureDomain ferryid.DomainName  `json:"FailureDomain"`
	State         EntryState          `json:"State"`
	Peers         []ferryid.EntryName `json:"Peers"`
	Documents     []DocumentStatus    `json:"Documents"`
	Services      []ServiceStatus     `json:"Services,omitempty"`
	OpenStreams   int                 `json:"OpenStreams"`
	OpenCalls     int                 `json:"OpenCalls"`
	// PlatformCalls counts the entry's calls to the platform since its start, by kind.
	PlatformCalls map[string]int64 `json:"PlatformCalls"`
	PlatformUp    bool             `json:"PlatformUp"`
	Entries       []EntryStatus    `json:"Entries"`
}

// DrainRequest is the body of POST /admin/drain.
type DrainRequest struct {
	Upstream ferryid.UpstreamName `json:"Upstream"`
	Service  ferryid.ServiceName  `json:"Service"`
	Operator string               `json:"Operator"`
	// Leaving is false to take the upstream back.
	Leaving bool `json:"Leaving"`
}

// LostRace is the answer of status 409 to an apply.
type LostRace struct {
	Winner ferryservice.Accepted `json:"Winner"`
	Diff   string                `json:"Diff"`
}

// Faults is the answer of status 422 to an apply.
type Faults struct {
	Faults []ferrytoml.Fault `json:"Faults"`
}

// Unresolved is the answer of status 202 to an apply.
type Unresolved struct {
	ApplyID string `json:"ApplyID"`
	Command string `json:"Command"`
}
