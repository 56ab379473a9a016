package ferryplatform

import (
	"context"
	"fmt"
	"time"

	"cactusferry.dev/ferry/ferryid"
)

// Version is the version of one object; it rises with every write to any object.
type Version uint64

// NoVersion stands for an object that does not exist.
const NoVersion Version = 0

// Object is one stored value.
type Object struct {
	Kind    string  `json:"Kind"`
	Name    string  `json:"Name"`
	Version Version `json:"Version"`
	Deleted bool    `json:"Deleted,omitempty"`
	Value   []byte  `json:"Value"`
}

// Changes is the answer to a watch: the objects that changed, and the version to watch on from.
type Changes struct {
	Version Version  `json:"Version"`
	Objects []Object `json:"Objects"`
}

// Store is the object API, as the rest of the project sees it.
type Store interface {
	// Get returns one object or a *NotFoundError.
	Get(ctx context.Context, kind, name string) (Object, error)
	// Put writes a value if the object is still at the version expected, NoVersion meaning that it must not exist.
	Put(ctx context.Context, kind, name string, expected Version, value []byte) (Version, error)
	// Delete removes an object if it is still at the version expected.
	Delete(ctx context.Context, kind, name string, expected Version) error
	// List returns all objects of a kind.
	List(ctx context.Context, kind string) (Changes, error)
	// Watch waits until objects of a kind change after a version, or until the wait is over.
	Watch(ctx context.Context, kind string, after Version, wait time.Duration) (Changes, error)
}

// InstanceRole says what an instance is.
type InstanceRole string

// The roles of instances.
const (
	RoleEntry  InstanceRole = "Entry"
	RoleEngine InstanceRole = "Engine"
	RolePlain  InstanceRole = "Plain"
)

// InstanceState is what the instance list says of an instance.
type InstanceState string

// The states of instances.
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
	// Slots is how many requests it processes at once; zero stands for unknown.
	Slots int `json:"Slots,omitempty"`
	// Started is when its process started; the same name may start again and then holds nothing of before.
	Started time.Time `json:"Started,omitzero"`
	// Warming is how much longer it stays slow after its start.
	Warming time.Duration `json:"Warming,omitempty"`
	// Model and ModelVersion say which weights its layers are of.
	Model        string `json:"Model,omitempty"`
	ModelVersion int    `json:"ModelVersion,omitempty"`
}

// Instances is the lagging instance list.
type Instances []Instance

// Lister gives the instance list.
type Lister interface {
	Instances(ctx context.Context) (Instances, error)
}

// NotFoundError says that there is no such object.
type NotFoundError struct {
	Kind string
	Name string
}

func (e *NotFoundError) Error() string {
	return fmt.Sprintf("no object %s/%s", e.Kind, e.Name)
}

// HistoryGoneError says that the platform no longer holds the changes after a version, so the kind has to be listed again.
type HistoryGoneError struct {
	Kind  string
	After Version
}

func (e *HistoryGoneError) Error() string {
	return fmt.Sprintf("changes of kind %s after version %d are gone", e.Kind, e.After)
}

// ConflictError says that the object was not at the expected version, so the write certainly did not take effect.
type ConflictError struct {
	Kind     string
	Name     string
	Expected Version
}

func (e *ConflictError) Error() string {
	return fmt.Sprintf("object %s/%s is not at version %d", e.Kind, e.Name, e.Expected)
}

// UnavailableError says that the platform refused or could not be reached, so nothing took effect.
type UnavailableError struct {
	Op  string
	Err error
}

func (e *UnavailableError) Error() string {
	return fmt.Sprintf("platform unavailable: %s: %v", e.Op, e.Err)
}

func (e *UnavailableError) Unwrap() error { return e.Err }

// UnknownOutcomeError says that a write's answer was lost: it may have taken effect, or may still.
type UnknownOutcomeError struct {
	Op  string
	Err error
}

func (e *UnknownOutcomeError) Error() string {
	return fmt.Sprintf("platform write with unknown outcome: %s: %v", e.Op, e.Err)
}

func (e *UnknownOutcomeError) Unwrap() error { return e.Err }

// BudgetError says that this process's share of the platform's rate is used up; nothing was sent.
type BudgetError struct {
	Op         string
	RetryAfter time.Duration
}

func (e *BudgetError) Error() string {
	return fmt.Sprintf("platform budget used up: %s: retry after %s", e.Op, e.RetryAfter)
}
