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

// DocumentStatus identifies the version of a document that is in force at an entry.
type DocumentStatus struct {
	Service    ferryid.ServiceName `json:"Service"`
	Generation ferryid.Generation  `json:"Generation"`
	Hash       string              `json:"Hash"`
}

// EntryStatus is the status of an entry as seen by another one.
type EntryStatus struct {
	Name        ferryid.EntryName `json:"Name"`
	PeerAddress string            `json:"PeerAddress"`
	State       string            `json:"State"`
	// Status is the liveness of the entry as seen by the other one.
	Status string `json:"Status"`
}

// ServiceStatus is the load of a service at an entry.
type ServiceStatus struct {
	Service   ferryid.ServiceName   `json:"Service"`
	Queue     ferryqueue.Snapshot   `json:"Queue"`
	Upstreams ferryroute.Candidates `json:"Upstreams"`
}

// Status is the answer to GET /admin/status.
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
	// PlatformCalls is the number of calls to the platform by kind since the entry started.
	PlatformCalls map[string]int64 `json:"PlatformCalls"`
	PlatformUp    bool             `json:"PlatformUp"`
	Entries       []EntryStatus    `json:"Entries"`
}

// DrainRequest is the body of POST /admin/drain.
type DrainRequest struct {
	Upstream ferryid.UpstreamName `json:"Upstream"`
	Service  ferryid.ServiceName  `json:"Service"`
	Operator string               `json:"Operator"`
	// Leaving is false to clear the mark.
	Leaving bool `json:"Leaving"`
}

// LostRace is the body of an answer with status 409 to an apply.
type LostRace struct {
	Winner ferryservice.Accepted `json:"Winner"`
	Diff   string                `json:"Diff"`
}

// Faults is the body of an answer with status 422 to an apply.
type Faults struct {
	Faults []ferrytoml.Fault `json:"Faults"`
}

// Unresolved is the body of an answer with status 202 to an apply.
type Unresolved struct {
	ApplyID string `json:"ApplyID"`
	Command string `json:"Command"`
}
