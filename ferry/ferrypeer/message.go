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

// Kind identifies the type of a message's body.
type Kind uint8

// The kinds of messages; unknown kinds are ignored.
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

// Item is an encoded entry of a topic; the encoding is defined by the topic.
type Item []byte

// Heartbeat is a liveness signal with a hash for comparing the topics of both ends.
type Heartbeat struct {
	// Hash covers the digests of all non-volatile topics known to both ends.
	Hash uint64 `cbor:"1,keyasint"`
	// Wanted is set if ChooseLinks at the sender includes this link.
	Wanted bool `cbor:"2,keyasint,omitempty"`
}

// Push carries items of one topic.
type Push struct {
	Topic TopicName `cbor:"1,keyasint"`
	Items []Item    `cbor:"2,keyasint"`
	// Repair is set if the items are the answer to a digest.
	Repair bool `cbor:"3,keyasint,omitempty"`
}

// Summary carries the digest hashes of the non-volatile topics known to both ends, ordered by topic name.
type Summary struct {
	Hashes []uint64 `cbor:"1,keyasint"`
}

// Digest carries a topic's digest.
type Digest struct {
	Topic  TopicName `cbor:"1,keyasint"`
	Digest []byte    `cbor:"2,keyasint"`
	// Want is set if the digest is the answer to another digest; the receiver must not send its own back.
	Want bool `cbor:"3,keyasint,omitempty"`
}

// Tree requests that the receiver push items on this link eagerly, or only repair it by digests.
type Tree struct {
	Eager bool `cbor:"1,keyasint"`
}

// Purpose distinguishes links from connections for asks.
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
	// Expect is the entry name that the dialling side expects, or empty for a seed.
	Expect ferryid.EntryName `cbor:"6,keyasint,omitempty"`
	// Refused is the reason why the accepting side refuses the connection, or empty.
	Refused CloseReason `cbor:"7,keyasint,omitempty"`
}

// Proof authenticates the sender by a MAC with the shared key over both hellos of this connection.
type Proof struct {
	MAC []byte `cbor:"1,keyasint"`
}

// AskKind identifies the type of an Ask; the values are defined by the packages that use it.
type AskKind uint16

// Ask is a request to one incarnation of an entry.
type Ask struct {
	ID   uint64  `cbor:"1,keyasint"`
	To   Tag     `cbor:"2,keyasint"`
	Kind AskKind `cbor:"3,keyasint"`
	Body []byte  `cbor:"4,keyasint"`
}

// Answer is the response to an Ask.
type Answer struct {
	ID     uint64       `cbor:"1,keyasint"`
	Status AnswerStatus `cbor:"2,keyasint"`
	Body   []byte       `cbor:"3,keyasint,omitempty"`
}

// AnswerStatus is the result of an Ask at the receiver.
type AnswerStatus uint8

// The results of an Ask.
const (
	AnswerOK AnswerStatus = iota + 1
	// AnswerNotThere means that another incarnation now runs at the address.
	AnswerNotThere
	// AnswerUnknownKind means that the receiver has no handler for the kind.
	AnswerUnknownKind
	// AnswerBusy means that the receiver had no free slot; the request was not processed.
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
