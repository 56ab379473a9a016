package ferryedge

import (
	"net/http"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/rs/zerolog"

	"cactusferry.dev/ferry/ferryconfig"
	"cactusferry.dev/ferry/ferrydiscovery"
	"cactusferry.dev/ferry/ferryexchange"
	"cactusferry.dev/ferry/ferryforward"
	"cactusferry.dev/ferry/ferryid"
	"cactusferry.dev/ferry/ferryplacement"
	"cactusferry.dev/ferry/ferryplatform"
)

// Config is what an Edge needs.
type Config struct {
	Name   ferryid.EntryName
	Domain ferryid.DomainName
	// Callers is where callers connect, and Peers where other entries do.
	Callers, Peers string
	// Seeds are the Peers of other entries, which may be out of date.
	Seeds []string
	// Servers are further listeners, such as for readiness.
	Servers []Server
	// First says that the whole system starts for the first time.
	First bool
	// MaxConns bounds the callers' connections.
	MaxConns int

	Clock clockwork.Clock
	// Steady also counts the time for which the instance is suspended.
	Steady clockwork.Clock
	Log    zerolog.Logger

	Store   ferryplatform.Store
	Objects Objects
	Dialect ferryforward.Dialect
	// Engines gives the orders that engines understand, over the given connections.
	Engines func(*ferryexchange.Client) Engines
	Promise Promise
}

// Engines are the orders that engines understand.
type Engines interface {
	ferryplacement.Engines
	ferryforward.Rerouter
}

// Objects says where the platform keeps what, and how it is read.
type Objects struct {
	// ConfigurationKind and ConfigurationName are those of the operators' configuration.
	ConfigurationKind, ConfigurationName string
	// Configuration decodes it.
	Configuration func([]byte) (*ferryconfig.Snapshot, error)
	// UpstreamKind is the kind of the upstreams' own entries.
	UpstreamKind string
	// Upstream decodes one; a removed one has only a name and a version.
	Upstream func(ferryplatform.Object) (ferrydiscovery.Upstream, error)
}

// Promise holds the figures that the entry has to keep.
type Promise struct {
	// ConfigWithin is how soon an accepted configuration must be in force, and LeaveWithin how soon a leaving upstream gets nothing new.
	ConfigWithin, LeaveWithin time.Duration
	// KeyAge is how long ago a key must have been proved valid; zero stands for no limit.
	KeyAge time.Duration
	// Grace is the time from the request to stop until the process is killed.
	Grace time.Duration
	// AnswerLifetime is the longest that callers keep an answer on which entries to use.
	AnswerLifetime time.Duration
	// RepeatWindow, RepeatRatio and RepeatAllowance bound what is sent again, over all entries.
	RepeatWindow    time.Duration
	RepeatRatio     float64
	RepeatAllowance float64
}

// Server is a listener of the entry's with its own handler.
type Server struct {
	Address string
	Handler func(*Edge) http.Handler
}
