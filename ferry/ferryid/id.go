package ferryid

import (
	"fmt"
	"regexp"

	"github.com/google/uuid"
)

const maxNameBytes = 63

var nameRE = regexp.MustCompile(`^[a-z0-9]([a-z0-9._-]*[a-z0-9])?$`)

// ServiceName names one service, and so one service document.
type ServiceName string

// CustomerName names one customer within a service document.
type CustomerName string

// DomainName names a failure domain.
type DomainName string

// UpstreamName names one engine or plain back end within a service.
type UpstreamName string

// EntryName names one entry instance's address slot, which outlives a restart of its process.
type EntryName string

// ClassName names a class of work within a service document.
type ClassName string

// Incarnation identifies one run of a process; a restart has a new one.
type Incarnation string

// RequestID identifies one call by a caller.
type RequestID string

// StreamID identifies one streamed completion across entries and epochs.
type StreamID string

// Generation counts the accepted versions of one service document, from 1.
type Generation uint64

// Epoch counts the pipelines that one stream has run on, from 1.
type Epoch uint32

// Position is the index of a token in a stream, counted from the first generated token at 0.
type Position uint32

// Layer is the index of one layer of a model, from 0.
type Layer uint16

// Fence is a fencing number; an order with a lower one than the last seen is stale.
type Fence uint64

// Tokens counts tokens.
type Tokens int64

// TokensPerSecond is a rate of tokens.
type TokensPerSecond float64

// LayerRange is the half-open range of layers [From, To).
type LayerRange struct {
	From Layer `json:"From" cbor:"1,keyasint" toml:"From"`
	To   Layer `json:"To" cbor:"2,keyasint" toml:"To"`
}

// Len is the number of layers in the range.
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

// CheckName returns an error that says what is wrong with a name, or nil.
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

// NewIncarnation returns a fresh random incarnation.
func NewIncarnation() Incarnation {
	return Incarnation(uuid.NewString())
}

// NewRequestID returns a fresh random request id.
func NewRequestID() RequestID {
	return RequestID(uuid.NewString())
}

// NewStreamID returns a fresh random stream id.
func NewStreamID() StreamID {
	return StreamID(uuid.NewString())
}
