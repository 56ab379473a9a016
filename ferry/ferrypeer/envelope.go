package ferrypeer

import (
	"fmt"

	"github.com/fxamacker/cbor/v2"

	"cactusferry.dev/ferry/ferryevent"
)

const (
	// Version is the protocol version of the messages that this release sends.
	Version = 1
	// MinVersion is the lowest protocol version that this release accepts.
	MinVersion = 1
	// MaxFrameBytes is the maximum size in bytes of an encoded message.
	MaxFrameBytes = 2 << 20

	maxArrayElements = 1 << 14
	maxMapPairs      = 1 << 8
	maxNestedLevels  = 8
)

// Envelope is the outer structure of each message between entries.
type Envelope struct {
	Version uint16               `cbor:"1,keyasint"`
	Kind    Kind                 `cbor:"2,keyasint"`
	From    Tag                  `cbor:"3,keyasint"`
	Sent    ferryevent.Timestamp `cbor:"4,keyasint"`
	Body    cbor.RawMessage      `cbor:"5,keyasint"`
}

// MalformedError is returned for a frame that can't be decoded or has a value out of bounds.
type MalformedError struct {
	Kind Kind
	Err  error
}

func (e *MalformedError) Error() string {
	return fmt.Sprintf("malformed message of kind %d: %v", e.Kind, e.Err)
}

func (e *MalformedError) Unwrap() error { return e.Err }

// VersionError is returned for a message whose protocol version is below MinVersion.
type VersionError struct {
	Version uint16
}

func (e *VersionError) Error() string {
	return fmt.Sprintf("message version %d is below the minimum %d", e.Version, MinVersion)
}

// UnknownKindError is returned for a message kind added by a later release; the message must be ignored.
type UnknownKindError struct {
	Kind Kind
}

func (e *UnknownKindError) Error() string {
	return fmt.Sprintf("message of unknown kind %d", e.Kind)
}

var (
	decMode = mustDecMode()
	encMode = mustEncMode()
)

func mustDecMode() cbor.DecMode {
	m, err := cbor.DecOptions{
		DupMapKey:        cbor.DupMapKeyEnforcedAPF,
		IndefLength:      cbor.IndefLengthForbidden,
		MaxArrayElements: maxArrayElements,
		MaxMapPairs:      maxMapPairs,
		MaxNestedLevels:  maxNestedLevels,
	}.DecMode()
	if err != nil {
		panic(err)
	}
	return m
}

func mustEncMode() cbor.EncMode {
	m, err := cbor.CoreDetEncOptions().EncMode()
	if err != nil {
		panic(err)
	}
	return m
}

// Encode encodes a message from the given incarnation as one frame.
func Encode(from Tag, sent ferryevent.Timestamp, m Message) ([]byte, error) {
	body, err := encMode.Marshal(m)
	if err != nil {
		return nil, fmt.Errorf("encode message of kind %d: %w", m.kind(), err)
	}
	return encMode.Marshal(Envelope{Version: Version, Kind: m.kind(), From: from, Sent: sent, Body: body})
}

// Decode decodes and validates a frame.
//
// The error is a *MalformedError, a *VersionError or an *UnknownKindError.
func Decode(frame []byte) (Envelope, Message, error) {
	var e Envelope
	if len(frame) > MaxFrameBytes {
		return e, nil, &MalformedError{Err: fmt.Errorf("frame of %d bytes", len(frame))}
	}
	if err := decMode.Unmarshal(frame, &e); err != nil {
		return e, nil, &MalformedError{Err: err}
	}
	if e.Version < MinVersion {
		return e, nil, &VersionError{Version: e.Version}
	}
	m, err := decodeBody(e.Kind, e.Body)
	return e, m, err
}

func decodeBody(k Kind, body []byte) (Message, error) {
	m := newMessage(k)
	if m == nil {
		return nil, &UnknownKindError{Kind: k}
	}
	if err := decMode.Unmarshal(body, m); err != nil {
		return nil, &MalformedError{Kind: k, Err: err}
	}
	if err := m.check(); err != nil {
		return nil, &MalformedError{Kind: k, Err: err}
	}
	return m, nil
}
