package ferryid

import (
	"fmt"
	"regexp"

	"github.com/google/uuid"
)

const maxNameBytes = 63

var nameRE = regexp.MustCompile(`^[a-z0-9]([a-z0-9._-]*[a-z0-9])?$`)

// ServiceName is the name of a service and of its service document.
type ServiceName string

// CustomerName is the name of a customer in a service document.
type CustomerName string

// DomainName is the name of a failure domain.
type DomainName string

// UpstreamName is the name of an engine or plain back end of a service.
type UpstreamName string

// EntryName is the name of an entry, which persists over restarts of its process.
type EntryName string

// ClassName is the name of a class of work in a service document.
type ClassName string

// Incarnation identifies one run of a process; a restarted process has a new one.
type Incarnation string

// RequestID identifies one call of a caller.
type RequestID string

// StreamID identifies one streamed completion across entries and epochs.
type StreamID string

// Generation numbers the accepted versions of a service document, from 1.
type Generation uint64

// Epoch numbers the pipelines on which a stream has run, from 1.
type Epoch uint32

// Position is the index of a generated token in a stream, from 0.
type Position uint32

// Layer is the index of a layer of a model, from 0.
type Layer uint16

// Fence is a fencing number; an order with a number lower than the last seen is stale.
type Fence uint64

// Tokens is a number of tokens.
type Tokens int64

// TokensPerSecond is a rate in tokens per second.
type TokensPerSecond float64

// LayerRange is the half-open range of layers [From, To).
type LayerRange struct {
	From Layer `json:"From" cbor:"1,keyasint" toml:"From"`
	To   Layer `json:"To" cbor:"2,keyasint" toml:"To"`
}

// Len returns the number of layers in the range.
func (r LayerRange) Len() int {
	if r.To < r.From {
		return 0
	}
	return int(r.To) - int(r.From)
}

// Contains reports whether the layer lies in the range.
func (r LayerRange) Contains(n Layer) bool {
	return n >= r.From && n < r.To
}

func (r LayerRange) String() string {
	return fmt.Sprintf("[%d,%d)", r.From, r.To)
}

// CheckName returns an error that describes what makes the name invalid, or nil.
func CheckName(s string) error {
	if s == "" {
		return fmt.Errorf("must not be empty")
	}
	if len(s) > maxNameBytes {
		return fmt.Errorf("must have at most %d bytes, has %d", maxNameBytes, len(s))
	}
	if !nameRE.MatchString(s) {
		return fmt.Errorf("must be lower-case letters, digits, '.', '_' and '-', starting and ending with a letter or digit")
	}
	return nil
}

// NewIncarnation returns a random incarnation.
func NewIncarnation() Incarnation {
	return Incarnation(uuid.NewString())
}

// NewRequestID returns a random request id.
func NewRequestID() RequestID {
	return RequestID(uuid.NewString())
}

// NewStreamID returns a random stream id.
func NewStreamID() StreamID {
	return StreamID(uuid.NewString())
}
