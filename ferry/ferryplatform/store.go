package ferryplatform

import (
	"context"
	"fmt"
	"time"

	"cactusferry.dev/ferry/ferryid"
)

// Version is the version of an object; it increases with every write to any object, also from one epoch to the next.
type Version uint64

// NoVersion is the version of an object that does not exist.
const NoVersion Version = 0

// Object is a stored value with its key and version.
type Object struct {
	Kind    string  `json:"Kind"`
	Name    string  `json:"Name"`
	Version Version `json:"Version"`
	Deleted bool    `json:"Deleted,omitempty"`
	Value   []byte  `json:"Value"`
}

// Changes is the result of a list or watch: objects, and the version to continue watching from.
type Changes struct {
	Version Version  `json:"Version"`
	Objects []Object `json:"Objects"`
}

// Store is the object API of the platform.
type Store interface {
	// Get returns an object, or a *NotFoundError.
	Get(ctx context.Context, kind, name string) (Object, error)
	// Put writes a value if the object is at the expected version; NoVersion means that it must not exist.
	Put(ctx context.Context, kind, name string, expected Version, value []byte) (Version, error)
	// Delete deletes an object if it is at the expected version.
	Delete(ctx context.Context, kind, name string, expected Version) error
	// List returns all objects of a kind.
	List(ctx context.Context, kind string) (Changes, error)
	// Watch returns when objects of a kind have changed after a version, or when the wait is over.
	Watch(ctx context.Context, kind string, after Version, wait time.Duration) (Changes, error)
}

// RemoteStore is a Store that is called over connections.
type RemoteStore interface {
	Store
	// Renew makes later calls use new connections.
	Renew()
	// Epoch returns the latest epoch that the platform has stated; false means that it has stated none.
	Epoch() (Epoch, bool)
}

// InstanceRole is the role of an instance.
type InstanceRole string

// Roles of instances.
const (
	RoleEntry  InstanceRole = "Entry"
	RoleEngine InstanceRole = "Engine"
	RolePlain  InstanceRole = "Plain"
)

// InstanceState is the state of an instance in the instance list.
type InstanceState string

// States of instances.
const (
	StateLive    InstanceState = "Live"
	StateLeaving InstanceState = "Leaving"
)

// Instance is one row of the instance list.
type Instance struct {
	Name          string              `json:"Name"`
	Role          InstanceRole        `json:"Role"`
	Service       ferryid.ServiceName `json:"Service,omitempty"`
	Address       string              `json:"Address"`
	PeerAddress   string              `json:"PeerAddress,omitempty"`
	FailureDomain ferryid.DomainName  `json:"FailureDomain"`
	Incarnation   ferryid.Incarnation `json:"Incarnation,omitempty"`
	State         InstanceState       `json:"State"`
	Accelerator   string              `json:"Accelerator,omitempty"`
	Layers        ferryid.LayerRange  `json:"Layers"`
	// Slots is the number of requests that the instance processes at once, 0 if not known.
	Slots int `json:"Slots,omitempty"`
	// Started is the start time of the process; an instance restarted under the same name has lost its state.
	Started time.Time `json:"Started,omitzero"`
	// Warming is the remaining time for which the instance is slow after its start.
	Warming time.Duration `json:"Warming,omitempty"`
	// Model and ModelVersion identify the weights of its layers.
	Model        string `json:"Model,omitempty"`
	ModelVersion int    `json:"ModelVersion,omitempty"`
}

// Instances is the instance list, which lags behind.
type Instances []Instance

// Lister returns the instance list.
type Lister interface {
	Instances(ctx context.Context) (Instances, error)
}

// NotFoundError reports that an object does not exist.
type NotFoundError struct {
	Kind string
	Name string
}

func (e *NotFoundError) Error() string {
	return fmt.Sprintf("no object %s/%s", e.Kind, e.Name)
}

// HistoryGoneError reports that the platform no longer has the changes after a version; the kind has to be
// listed again.
type HistoryGoneError struct {
	Kind  string
	After Version
}

func (e *HistoryGoneError) Error() string {
	return fmt.Sprintf("changes of kind %s after version %s are gone", e.Kind, e.After)
}

// ConflictError reports that the object was not at the expected version; the write had no effect.
type ConflictError struct {
	Kind     string
	Name     string
	Expected Version
}

func (e *ConflictError) Error() string {
	return fmt.Sprintf("object %s/%s is not at version %s", e.Kind, e.Name, e.Expected)
}

// UnavailableError reports that the platform could not be reached or did not serve the call, which had no
// effect.
type UnavailableError struct {
	Op  string
	Err error
}

func (e *UnavailableError) Error() string {
	return fmt.Sprintf("platform unavailable: %s: %v", e.Op, e.Err)
}

func (e *UnavailableError) Unwrap() error { return e.Err }

// UnknownOutcomeError reports a write without a valid answer; it may have taken effect or may do so later.
type UnknownOutcomeError struct {
	Op  string
	Err error
}

func (e *UnknownOutcomeError) Error() string {
	return fmt.Sprintf("platform write with unknown outcome: %s: %v", e.Op, e.Err)
}

func (e *UnknownOutcomeError) Unwrap() error { return e.Err }

// BudgetError reports that the budget of this process is exhausted; the call was not sent.
type BudgetError struct {
	Op         string
	RetryAfter time.Duration
}

func (e *BudgetError) Error() string {
	return fmt.Sprintf("platform budget used up: %s: retry after %s", e.Op, e.RetryAfter)
}
