package ferryservice

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"strconv"
	"time"

	"cactusferry.dev/ferry/ferryid"
)

// ObjectKind is the kind under which accepted documents are kept in the object API, one object a service.
const ObjectKind = "services"

// Accepted is one accepted version of a service document, as it is kept and spread.
type Accepted struct {
	Service      ferryid.ServiceName `json:"Service" cbor:"1,keyasint"`
	Generation   ferryid.Generation  `json:"Generation" cbor:"2,keyasint"`
	PreviousHash string              `json:"PreviousHash" cbor:"3,keyasint"`
	ApplyID      string              `json:"ApplyID" cbor:"4,keyasint"`
	Operator     string              `json:"Operator" cbor:"5,keyasint"`
	At           time.Time           `json:"At" cbor:"6,keyasint"`
	Source       string              `json:"Source" cbor:"7,keyasint"`
}

// Hash identifies this accepted version, over its generation, its predecessor and its text.
func (a Accepted) Hash() string {
	h := sha256.New()
	for _, s := range []string{string(a.Service), strconv.FormatUint(uint64(a.Generation), 10), a.PreviousHash, a.ApplyID, a.Source} {
		fmt.Fprintf(h, "%d:%s", len(s), s)
	}
	return hex.EncodeToString(h.Sum(nil))
}

// Document decodes the text.
func (a Accepted) Document() (Document, error) {
	return Decode(string(a.Service), []byte(a.Source))
}

// DecodeAccepted reads an accepted version and checks it.
func DecodeAccepted(b []byte) (Accepted, error) {
	var a Accepted
	if err := json.Unmarshal(b, &a); err != nil {
		return Accepted{}, fmt.Errorf("decode accepted document: %w", err)
	}
	return a, a.Check()
}

// Check returns an error unless the envelope and the document in it are sound.
func (a Accepted) Check() error {
	if a.Generation == 0 {
		return fmt.Errorf("accepted document %q: generation must be at least 1", a.Service)
	}
	d, err := a.Document()
	if err != nil {
		return fmt.Errorf("accepted document %q: %w", a.Service, err)
	}
	if d.Service != a.Service {
		return fmt.Errorf("accepted document %q: its text is of service %q", a.Service, d.Service)
	}
	return nil
}
