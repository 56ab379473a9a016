package ferryedge

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/rs/zerolog"

	"cactusferry.dev/ferry/ferryconfig"
	"cactusferry.dev/ferry/ferrydiscovery"
	"cactusferry.dev/ferry/ferryexchange"
	"cactusferry.dev/ferry/ferryforward"
	"cactusferry.dev/ferry/ferryid"
	"cactusferry.dev/ferry/ferrymemory"
	"cactusferry.dev/ferry/ferryplacement"
	"cactusferry.dev/ferry/ferryplatform"
)

// Config configures an Edge.
type Config struct {
	Name   ferryid.EntryName
	Domain ferryid.DomainName
	// Callers and Peers are the listen addresses for callers and for other entries.
	Callers, Peers string
	// Seeds are the peer addresses of other entries, which may be out of date.
	Seeds []string
	// Servers are additional listeners, for example for readiness checks.
	Servers []Server
	// FirstStart is set if the whole system starts for the first time.
	FirstStart bool
	// MaxConns is the maximum number of callers' connections.
	MaxConns int
	// Capacity is this entry's processor share in thousandths of a core, by which duties are divided; zero means that
	// it is not known.
	Capacity uint32

	// Memory is the memory limit of the process; zero means that it is not known.
	Memory ferrymemory.Bytes

	Clock clockwork.Clock
	// Steady includes the time for which the instance is suspended.
	Steady clockwork.Clock
	Log    zerolog.Logger

	Store   ferryplatform.RemoteStore
	Objects Objects
	Dialect ferryforward.Dialect
	// Engines returns the client of the engines' interface over the given connections, for which the observer
	// records the answers.
	Engines    func(*ferryexchange.Client, *ferryforward.Observer) Engines
	Objectives Objectives

	// Listen opens listeners and Dial connections to upstreams and other entries; nil means TCP.
	Listen func(network, address string) (net.Listener, error)
	Dial   func(ctx context.Context, network, address string) (net.Conn, error)
}

// Engines is the client of the engines' interface.
type Engines interface {
	ferryplacement.Engines
	ferryforward.Rerouter
}

// Objects describes which platform objects hold what, and how they are decoded.
type Objects struct {
	// ConfigurationKind and ConfigurationName identify the object with the operators' configuration.
	ConfigurationKind, ConfigurationName string
	// Configuration decodes that object.
	Configuration func([]byte) (*ferryconfig.Snapshot, error)
	// UpstreamKind is the object kind of the upstreams' registrations.
	UpstreamKind string
	// Upstream decodes an upstream's registration. A removed one has only a name and a version.
	Upstream func(ferryplatform.Object) (ferrydiscovery.Upstream, error)
}

// Objectives contains the service objectives that the entry has to meet.
type Objectives struct {
	// ConfigWithin is the time until an accepted configuration must be in force, LeaveWithin the time until
	// a leaving upstream must get no new work.
	ConfigWithin, LeaveWithin time.Duration
	// KeyAge is the maximum time since API keys were last proved valid; zero means no limit.
	KeyAge time.Duration
	// Grace is the time from the stop signal until the process is killed.
	Grace time.Duration
	// AnswerLifetime is the maximum time for which callers keep a steering answer.
	AnswerLifetime time.Duration
	// RetryWindow, RetryRatio and RetryAllowance configure the retry budget over all entries.
	RetryWindow    time.Duration
	RetryRatio     float64
	RetryAllowance float64
}

// Server is an additional listener with its handler.
type Server struct {
	Address string
	Handler func(*Edge) http.Handler
}
