package ferryclaim

import (
	"cmp"
	"crypto/sha256"
	"encoding/binary"
	"fmt"
	"net/http"
	"time"

	"cactusferry.dev/ferry/ferryid"
	"cactusferry.dev/ferry/ferryoutcome"
)

const (
	digestBytes     = 16
	maxKeyBytes     = 255
	maxResultBytes  = 2 << 10
	maxHeaderValues = 32
)

// Digest is a truncated SHA-256 sum.
type Digest [digestBytes]byte

// DigestOf returns the digest of the parts, each preceded by its length.
func DigestOf(parts ...[]byte) Digest {
	h := sha256.New()
	var size [8]byte
	for _, p := range parts {
		binary.BigEndian.PutUint64(size[:], uint64(len(p)))
		h.Write(size[:])
		h.Write(p)
	}
	return Digest(h.Sum(nil)[:digestBytes])
}

func keyDigest(cu ferryid.CustomerName, s ferryid.ServiceName, key string) Digest {
	return DigestOf([]byte(cu), []byte(s), []byte(key))
}

// Serial numbers the claims and tickets of one incarnation, from 1.
type Serial uint64

// Ref identifies one claim or ticket.
type Ref struct {
	By ferryid.Incarnation `cbor:"1,keyasint"`
	N  Serial              `cbor:"2,keyasint"`
}

func (r Ref) compare(o Ref) int {
	return cmp.Or(cmp.Compare(r.By, o.By), cmp.Compare(r.N, o.N))
}

func (r Ref) String() string {
	return fmt.Sprintf("%s/%d", r.By, r.N)
}

// State is the state of a claimed key in the journal.
type State uint8

// The states of a key in the journal.
const (
	// StateClaimed means that only the claiming incarnation knows whether the call was dispatched.
	StateClaimed State = 1
	// StateReleased means that the claim was released before anything was sent.
	StateReleased State = 2
	// StateFinished means that the outcome is recorded.
	StateFinished State = 3
)

// Result is the result of a dispatched call.
type Result struct {
	Outcome ferryoutcome.Outcome `cbor:"1,keyasint"`
	Status  int                  `cbor:"2,keyasint,omitempty"`
	Header  http.Header          `cbor:"3,keyasint,omitempty"`
	Body    []byte               `cbor:"4,keyasint,omitempty"`
	// Complete is true if Status, Header and Body are the complete response, false if it was too large to store.
	Complete bool `cbor:"5,keyasint,omitempty"`
}

// Check returns an error if the result has an invalid status or outcome, or is too large to store.
func (r Result) Check() error {
	if r.Status < 0 || r.Status > 999 {
		return fmt.Errorf("status %d is no HTTP status", r.Status)
	}
	if r.size() > maxResultBytes {
		return fmt.Errorf("result of %d bytes is longer than %d", r.size(), maxResultBytes)
	}
	return r.Outcome.Check()
}

func (r Result) size() int {
	n := len(r.Body)
	for k, vs := range r.Header {
		n += len(k)
		for _, v := range vs {
			n += len(v)
		}
	}
	return n
}

// truncated returns the result as it is stored: without header and body if they are too large.
func (r Result) truncated() Result {
	if r.size() <= maxResultBytes && len(r.Header) <= maxHeaderValues {
		return r
	}
	return Result{Outcome: r.Outcome, Status: r.Status}
}

// Record is one key in the journal.
type Record struct {
	Key   Digest `cbor:"1,keyasint"`
	Body  Digest `cbor:"2,keyasint"`
	Ref   Ref    `cbor:"3,keyasint"`
	State State  `cbor:"4,keyasint"`
	// Until is the time at which the key expires, in Unix seconds.
	Until  int64  `cbor:"5,keyasint"`
	Result Result `cbor:"6,keyasint"`
}

func (r Record) expired(now time.Time) bool {
	return r.Until <= now.Unix()
}

// Call is one call that must not run twice; it has either a Key or a Ticket.
type Call struct {
	Customer ferryid.CustomerName
	Service  ferryid.ServiceName
	Key      string
	Ticket   string
	// Digest is the digest of the call's method, path and body.
	Digest Digest
	// Retention is the lifetime of the key, counted from its claim and again from its outcome; 0
	// means the default.
	Retention time.Duration
}
