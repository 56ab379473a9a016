package ferrystream

import (
	"crypto/sha256"
	"encoding/binary"
	"fmt"
	"time"

	"github.com/cespare/xxhash/v2"

	"cactusferry.dev/ferry/ferryid"
)

// Digest identifies the request that a stream answers.
type Digest [sha256.Size]byte

// RequestDigest is the digest of what decides the text: the prompt, the number of tokens and the seed.
func RequestDigest(prompt string, maxTokens int, seed uint64) Digest {
	b := binary.LittleEndian.AppendUint64(nil, seed)
	b = binary.LittleEndian.AppendUint64(b, uint64(maxTokens))
	return sha256.Sum256(append(b, prompt...))
}

// History is a running digest of the texts delivered so far, by which a regenerated answer is compared with the first.
type History uint64

// Add returns the history after one more text.
func (h History) Add(text string) History {
	var b [16]byte
	binary.LittleEndian.PutUint64(b[:], uint64(h))
	binary.LittleEndian.PutUint64(b[8:], xxhash.Sum64String(text))
	return History(xxhash.Sum64(b[:]))
}

// Resume is what a resume token says: whose stream it is, what it answers and how far it came.
type Resume struct {
	Customer ferryid.CustomerName `cbor:"1,keyasint"`
	Service  ferryid.ServiceName  `cbor:"2,keyasint"`
	Stream   ferryid.StreamID     `cbor:"3,keyasint"`
	Pipeline string               `cbor:"4,keyasint,omitempty"`
	Request  Digest               `cbor:"5,keyasint"`
	Seed     uint64               `cbor:"6,keyasint"`
	Issued   int64                `cbor:"7,keyasint"`
	Epoch    ferryid.Epoch        `cbor:"8,keyasint"`
	// Next is the offset of the first token that the caller has not got.
	Next    ferryid.Position `cbor:"9,keyasint"`
	History History          `cbor:"10,keyasint"`
}

// Check returns an error unless the token names a stream and its owner.
func (r *Resume) Check() error {
	if r.Customer == "" || r.Service == "" || r.Stream == "" || r.Epoch == 0 {
		return fmt.Errorf("resume token names no customer, service, stream or epoch")
	}
	return nil
}

// IssuedAt is when the token was made.
func (r *Resume) IssuedAt() time.Time { return time.UnixMilli(r.Issued) }

// ForgedError says that no key of ours made the token, or that it is damaged.
type ForgedError struct {
	Detail string
}

func (e *ForgedError) Error() string { return "not a resume token: " + e.Detail }

// ForeignError says that the token belongs to another customer or another service.
type ForeignError struct {
	Field string
}

func (e *ForeignError) Error() string { return "the resume token is of another " + e.Field }

// ExpiredError says that the token is older than tokens may be.
type ExpiredError struct {
	Age time.Duration
	Max time.Duration
}

func (e *ExpiredError) Error() string {
	return fmt.Sprintf("the resume token is %s old, more than %s", e.Age, e.Max)
}

// RequestError says that the token answers another request than the one it came with.
type RequestError struct{}

func (*RequestError) Error() string { return "the resume token is of another request" }

// SeamError says that the regenerated answer differs from what the caller has.
type SeamError struct {
	Position ferryid.Position
}

func (e *SeamError) Error() string {
	return fmt.Sprintf("the answer could not be regenerated: it differs before token %d", e.Position)
}

// Seam drops the tokens that a resumed caller has, after comparing them with what the token says of them.
type Seam struct {
	resume  Resume
	next    ferryid.Position
	history History
}

// NewSeam returns a seam at the token's offset.
func NewSeam(r Resume) *Seam {
	return &Seam{resume: r}
}

// Add takes the regenerated answer's next token and reports whether the caller still needs it, or returns a *SeamError.
func (s *Seam) Add(t Token) (bool, error) {
	if t.Position != s.next {
		return false, &SeamError{Position: t.Position}
	}
	if s.next == s.resume.Next && s.history != s.resume.History {
		return false, &SeamError{Position: s.resume.Next}
	}
	s.next++
	s.history = s.history.Add(t.Text)
	return t.Position >= s.resume.Next, nil
}

// End compares the regenerated answer's end with the token, for a caller that has every token already.
func (s *Seam) End() error {
	if s.next < s.resume.Next || (s.next == s.resume.Next && s.history != s.resume.History) {
		return &SeamError{Position: s.next}
	}
	return nil
}
