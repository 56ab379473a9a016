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

// RequestDigest returns the digest of what determines the text: the prompt, the number of tokens
// and the seed.
func RequestDigest(prompt string, maxTokens int, seed uint64) Digest {
	b := binary.LittleEndian.AppendUint64(nil, seed)
	b = binary.LittleEndian.AppendUint64(b, uint64(maxTokens))
	return sha256.Sum256(append(b, prompt...))
}

// History is a running digest of the texts delivered, to compare a regenerated answer with the first one.
type History uint64

// Add returns the history after one more text.
func (h History) Add(text string) History {
	var b [16]byte
	binary.LittleEndian.PutUint64(b[:], uint64(h))
	binary.LittleEndian.PutUint64(b[8:], xxhash.Sum64String(text))
	return History(xxhash.Sum64(b[:]))
}

// Resume is the content of a resume token: the stream, its owner and request, and the progress made.
type Resume struct {
	Customer ferryid.CustomerName `cbor:"1,keyasint"`
	Service  ferryid.ServiceName  `cbor:"2,keyasint"`
	Stream   ferryid.StreamID     `cbor:"3,keyasint"`
	Pipeline string               `cbor:"4,keyasint,omitempty"`
	Request  Digest               `cbor:"5,keyasint"`
	Seed     uint64               `cbor:"6,keyasint"`
	Issued   int64                `cbor:"7,keyasint"`
	Epoch    ferryid.Epoch        `cbor:"8,keyasint"`
	// Next is the position of the first token that the caller has not received.
	Next    ferryid.Position `cbor:"9,keyasint"`
	History History          `cbor:"10,keyasint"`
}

// Check returns an error if the customer, service, stream or epoch is missing.
func (r *Resume) Check() error {
	if r.Customer == "" || r.Service == "" || r.Stream == "" || r.Epoch == 0 {
		return fmt.Errorf("resume token names no customer, service, stream or epoch")
	}
	return nil
}

// IssuedAt returns the time at which the token was created.
func (r *Resume) IssuedAt() time.Time { return time.UnixMilli(r.Issued) }

// ForgedError is returned for a token that is damaged or was not sealed with one of the configured keys.
type ForgedError struct {
	Detail string
}

func (e *ForgedError) Error() string { return "not a resume token: " + e.Detail }

// ForeignError is returned for a token of another customer or service.
type ForeignError struct {
	Field string
}

func (e *ForeignError) Error() string { return "the resume token is of another " + e.Field }

// ExpiredError is returned for a token older than the maximum age.
type ExpiredError struct {
	Age time.Duration
	Max time.Duration
}

func (e *ExpiredError) Error() string {
	return fmt.Sprintf("the resume token is %s old, more than %s", e.Age, e.Max)
}

// RequestError is returned for a token of another request.
type RequestError struct{}

func (*RequestError) Error() string { return "the resume token is of another request" }

// ResumeMismatchError is returned if the regenerated answer differs from the text delivered before.
type ResumeMismatchError struct {
	Position ferryid.Position
}

func (e *ResumeMismatchError) Error() string {
	return fmt.Sprintf("regenerated answer differs from the delivered one before token %d", e.Position)
}

// ResumeFilter filters a regenerated answer: it compares the tokens that the caller already has with the
// history in the resume token and drops them.
type ResumeFilter struct {
	resume  Resume
	next    ferryid.Position
	history History
}

// NewResumeFilter returns a filter for the answer that continues the resume token's stream.
func NewResumeFilter(r Resume) *ResumeFilter {
	return &ResumeFilter{resume: r}
}

// Add accepts the next token of the regenerated answer and reports whether the caller still needs it.
// It returns a *ResumeMismatchError if the answer differs.
func (s *ResumeFilter) Add(t Token) (bool, error) {
	if t.Position != s.next {
		return false, &ResumeMismatchError{Position: t.Position}
	}
	if s.next == s.resume.Next && s.history != s.resume.History {
		return false, &ResumeMismatchError{Position: s.resume.Next}
	}
	s.next++
	s.history = s.history.Add(t.Text)
	return t.Position >= s.resume.Next, nil
}

// End compares the end of the regenerated answer with the token, for a caller that already has every token.
func (s *ResumeFilter) End() error {
	if s.next < s.resume.Next || (s.next == s.resume.Next && s.history != s.resume.History) {
		return &ResumeMismatchError{Position: s.next}
	}
	return nil
}
