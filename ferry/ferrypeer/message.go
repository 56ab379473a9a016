package ferrypeer

import (
	"fmt"

	"cactusferry.dev/ferry/ferryid"
)

const (
	maxTopics         = 64
	maxTopicNameBytes = 32
	maxItems          = 1 << 13
	nonceBytes        = 32
	proofBytes        = 32
	maxReasonBytes    = 256
	maxDigestBytes    = 1 << 17
)

// Kind says what a message's body is.
type Kind uint8

// The kinds of messages; a release ignores those it does not know.
const (
	KindHeartbeat Kind = 1
	KindPush      Kind = 2
	KindSummary   Kind = 3
	KindDigest    Kind = 4
	KindTree      Kind = 5
	KindHello     Kind = 10
	KindProof     Kind = 11
	KindAsk       Kind = 20
	KindAnswer    Kind = 21
)

// Message is the body of an envelope.
type Message interface {
	kind() Kind
	check() error
}

// TopicName names a topic.
type TopicName string

// Item is one entry of a topic, in the topic's own encoding.
type Item []byte

// Heartbeat shows that the sender's process still works, and whether it holds what the receiver holds.
type Heartbeat struct {
	// Hash covers the digests of all topics that both ends know and that are not volatile.
	Hash uint64 `cbor:"1,keyasint"`
	// Wanted says that the sender's own computation chose this link.
	Wanted bool `cbor:"2,keyasint,omitempty"`
}

// Push carries items of one topic.
type Push struct {
	Topic TopicName `cbor:"1,keyasint"`
	Items []Item    `cbor:"2,keyasint"`
	// Repair says that the items answer a digest.
	Repair bool `cbor:"3,keyasint,omitempty"`
}

// Summary carries the hash of each topic's digest, in the order of the topics' names that both ends know.
type Summary struct {
	Hashes []uint64 `cbor:"1,keyasint"`
}

// Digest carries a topic's digest.
type Digest struct {
	Topic  TopicName `cbor:"1,keyasint"`
	Digest []byte    `cbor:"2,keyasint"`
	// Want says that the digest answers another, so no digest is to come back.
	Want bool `cbor:"3,keyasint,omitempty"`
}

// Tree asks the receiver to push items on this link, or to leave them to digests.
type Tree struct {
	Eager bool `cbor:"1,keyasint"`
}

// Purpose says what a connection is for.
type Purpose uint8

// The purposes of a connection.
const (
	PurposeLink Purpose = 1
	PurposeAsk  Purpose = 2
)

// Hello is the first message of each side of a connection.
type Hello struct {
	MinVersion uint16      `cbor:"1,keyasint"`
	Purpose    Purpose     `cbor:"2,keyasint"`
	Member     Member      `cbor:"3,keyasint"`
	Topics     []TopicName `cbor:"4,keyasint"`
	Nonce      []byte      `cbor:"5,keyasint"`
	// Expect is the name that the dialling side means to reach, or empty for a seed.
	Expect ferryid.EntryName `cbor:"6,keyasint,omitempty"`
	// Refused says why the accepting side will not go on, or is empty.
	Refused CloseReason `cbor:"7,keyasint,omitempty"`
}

// Proof shows that the sender knows the shared key, bound to both hellos of this connection.
type Proof struct {
	MAC []byte `cbor:"1,keyasint"`
}

// AskKind says what a request to a named peer is about; the packages that use it define the values.
type AskKind uint16

// Ask is a request to a named incarnation.
type Ask struct {
	ID   uint64  `cbor:"1,keyasint"`
	To   Tag     `cbor:"2,keyasint"`
	Kind AskKind `cbor:"3,keyasint"`
	Body []byte  `cbor:"4,keyasint"`
}

// Answer is the answer to an Ask.
type Answer struct {
	ID     uint64       `cbor:"1,keyasint"`
	Status AnswerStatus `cbor:"2,keyasint"`
	Body   []byte       `cbor:"3,keyasint,omitempty"`
}

// AnswerStatus says how an Ask ended at the far side.
type AnswerStatus uint8

// The ends of an Ask.
const (
	AnswerOK AnswerStatus = iota + 1
	// AnswerNotThere means that the address now belongs to another incarnation.
	AnswerNotThere
	// AnswerUnknownKind means that the far side has no handler for the kind.
	AnswerUnknownKind
	// AnswerBusy means that the far side has no free slot; the request was not looked at.
	AnswerBusy
	// AnswerFailed means that the handler returned an error; the body holds its text.
	AnswerFailed
)

func (*Heartbeat) kind() Kind { return KindHeartbeat }
func (*Push) kind() Kind      { return KindPush }
func (*Summary) kind() Kind   { return KindSummary }
func (*Digest) kind() Kind    { return KindDigest }
func (*Tree) kind() Kind      { return KindTree }
func (*Hello) kind() Kind     { return KindHello }
func (*Proof) kind() Kind     { return KindProof }
func (*Ask) kind() Kind       { return KindAsk }
func (*Answer) kind() Kind    { return KindAnswer }

func newMessage(k Kind) Message {
	switch k {
	case KindHeartbeat:
		return &Heartbeat{}
	case KindPush:
		return &Push{}
	case KindSummary:
		return &Summary{}
	case KindDigest:
		return &Digest{}
	case KindTree:
		return &Tree{}
	case KindHello:
		return &Hello{}
	case KindProof:
		return &Proof{}
	case KindAsk:
		return &Ask{}
	case KindAnswer:
		return &Answer{}
	}
	return nil
}

func (n TopicName) check() error {
	if len(n) == 0 || len(n) > maxTopicNameBytes {
		return fmt.Errorf("topic name of %d bytes", len(n))
	}
	return nil
}

func (*Heartbeat) check() error { return nil }

func (*Tree) check() error { return nil }

func (m *Push) check() error {
	if len(m.Items) > maxItems {
		return fmt.Errorf("push of %d items", len(m.Items))
	}
	return m.Topic.check()
}

func (m *Summary) check() error {
	if len(m.Hashes) > maxTopics {
		return fmt.Errorf("summary of %d topics", len(m.Hashes))
	}
	return nil
}

func (m *Digest) check() error {
	if len(m.Digest) > maxDigestBytes {
		return fmt.Errorf("digest of %d bytes", len(m.Digest))
	}
	return m.Topic.check()
}

func (m *Hello) check() error {
	if m.Purpose != PurposeLink && m.Purpose != PurposeAsk {
		return fmt.Errorf("hello for unknown purpose %d", m.Purpose)
	}
	if len(m.Topics) > maxTopics {
		return fmt.Errorf("hello with %d topics", len(m.Topics))
	}
	for _, t := range m.Topics {
		if err := t.check(); err != nil {
			return err
		}
	}
	if len(m.Nonce) != nonceBytes {
		return fmt.Errorf("hello with a nonce of %d bytes", len(m.Nonce))
	}
	if len(m.Refused) > maxReasonBytes {
		return fmt.Errorf("hello with a reason of %d bytes", len(m.Refused))
	}
	return m.Member.Check()
}

func (m *Proof) check() error {
	if len(m.MAC) != proofBytes {
		return fmt.Errorf("proof of %d bytes", len(m.MAC))
	}
	return nil
}

func (*Ask) check() error { return nil }

func (m *Answer) check() error {
	if m.Status < AnswerOK || m.Status > AnswerFailed {
		return fmt.Errorf("answer with unknown status %d", m.Status)
	}
	return nil
}
