package ferryservice

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"slices"
	"strconv"
	"time"

	"cactusferry.dev/ferry/ferryid"
)

// ObjectKind is the kind of accepted documents in the object API, with one object per service.
const ObjectKind = "services"

// maxAncestors bounds the ancestors listed in an accepted version.
const maxAncestors = 16

// Ancestor identifies an earlier accepted version of a service document.
type Ancestor struct {
	Generation ferryid.Generation `json:"Generation" cbor:"1,keyasint"`
	Hash       string             `json:"Hash" cbor:"2,keyasint"`
	ApplyID    string             `json:"ApplyID" cbor:"3,keyasint"`
	Supersedes []string           `json:"Supersedes,omitempty" cbor:"4,keyasint,omitempty"`
}

// Accepted is an accepted version of a service document, as stored and sent to peers.
type Accepted struct {
	Service      ferryid.ServiceName `json:"Service" cbor:"1,keyasint"`
	Generation   ferryid.Generation  `json:"Generation" cbor:"2,keyasint"`
	PreviousHash string              `json:"PreviousHash" cbor:"3,keyasint"`
	ApplyID      string              `json:"ApplyID" cbor:"4,keyasint"`
	Operator     string              `json:"Operator" cbor:"5,keyasint"`
	At           time.Time           `json:"At" cbor:"6,keyasint"`
	Source       string              `json:"Source" cbor:"7,keyasint"`
	// Ancestors lists the latest versions before this one, newest first, at most maxAncestors.
	Ancestors []Ancestor `json:"Ancestors,omitempty" cbor:"8,keyasint,omitempty"`
	// Supersedes lists the hashes of versions on another branch that this one replaces.
	Supersedes []string `json:"Supersedes,omitempty" cbor:"9,keyasint,omitempty"`
}

// Hash returns the SHA-256 digest that identifies this version. It covers the service, the generation, the
// hash of the predecessor, the apply id, the text and the superseded hashes.
func (a Accepted) Hash() string {
	h := sha256.New()
	add := func(s string) { fmt.Fprintf(h, "%d:%s", len(s), s) }
	for _, s := range []string{string(a.Service), strconv.FormatUint(uint64(a.Generation), 10), a.PreviousHash, a.ApplyID, a.Source} {
		add(s)
	}
	for _, s := range a.Supersedes {
		add(s)
	}
	return hex.EncodeToString(h.Sum(nil))
}

// Ancestor returns the reference to this version for the Ancestors of its successors.
func (a Accepted) Ancestor() Ancestor {
	return Ancestor{Generation: a.Generation, Hash: a.Hash(), ApplyID: a.ApplyID, Supersedes: a.Supersedes}
}

// Successor returns the next version without a text; for the zero value it returns the first version.
func (a Accepted) Successor() Accepted {
	if a.Generation == 0 {
		return Accepted{Service: a.Service, Generation: 1}
	}
	last := a.Ancestor()
	ancestors := append([]Ancestor{last}, a.Ancestors...)
	return Accepted{
		Service:      a.Service,
		Generation:   a.Generation + 1,
		PreviousHash: last.Hash,
		Ancestors:    ancestors[:min(len(ancestors), maxAncestors)],
	}
}

// Descent is the relation of an accepted version to an earlier one.
type Descent string

// Results of DescendsFrom.
const (
	// Descends means that the earlier version is an ancestor or was superseded.
	Descends Descent = "Descends"
	// Diverges means that the versions are on different branches.
	Diverges Descent = "Diverges"
	// Untraced means that the earlier version is older than the listed ancestors.
	Untraced Descent = "Untraced"
)

// DescendsFrom returns the relation of this version to one with a lower generation.
func (a Accepted) DescendsFrom(g ferryid.Generation, hash string) Descent {
	if a.PreviousHash == hash || slices.Contains(a.Supersedes, hash) {
		return Descends
	}
	oldest := a.Generation - 1
	for _, b := range a.Ancestors {
		if b.Hash == hash || slices.Contains(b.Supersedes, hash) {
			return Descends
		}
		oldest = b.Generation
	}
	if g < oldest {
		return Untraced
	}
	return Diverges
}

// ByApplyID returns the ancestor with the apply id.
func (a Accepted) ByApplyID(id string) (Ancestor, bool) {
	i := slices.IndexFunc(a.Ancestors, func(b Ancestor) bool { return b.ApplyID == id })
	if i < 0 {
		return Ancestor{}, false
	}
	return a.Ancestors[i], true
}

// Document returns the decoded text.
func (a Accepted) Document() (Document, error) {
	return Decode(string(a.Service), []byte(a.Source))
}

// DecodeAccepted decodes and validates an accepted version.
func DecodeAccepted(b []byte) (Accepted, error) {
	a, err := DecodeEnvelope(b)
	if err != nil {
		return Accepted{}, err
	}
	return a, a.Check()
}

// DecodeEnvelope decodes an accepted version and validates everything but its text, which may have been
// accepted by another release with other checks.
func DecodeEnvelope(b []byte) (Accepted, error) {
	var a Accepted
	if err := json.Unmarshal(b, &a); err != nil {
		return Accepted{}, fmt.Errorf("decode accepted document: %w", err)
	}
	return a, a.checkEnvelope()
}

// Check returns an error unless the envelope and its document are valid.
func (a Accepted) Check() error {
	_, err := a.Checked()
	return err
}

// Checked validates the envelope and the text and returns the decoded document.
func (a Accepted) Checked() (Document, error) {
	if err := a.checkEnvelope(); err != nil {
		return Document{}, err
	}
	d, err := a.Document()
	if err != nil {
		return Document{}, fmt.Errorf("accepted document %q: %w", a.Service, err)
	}
	if d.Service != a.Service {
		return Document{}, fmt.Errorf("accepted document %q: its text is of service %q", a.Service, d.Service)
	}
	return d, nil
}

func (a Accepted) checkEnvelope() error {
	if a.Generation == 0 {
		return fmt.Errorf("accepted document %q: generation must be at least 1", a.Service)
	}
	if len(a.Ancestors) > maxAncestors {
		return fmt.Errorf("accepted document %q: names %d ancestors, more than %d", a.Service, len(a.Ancestors), maxAncestors)
	}
	next := a.Generation
	for _, b := range a.Ancestors {
		if b.Generation == 0 || b.Generation >= next {
			return fmt.Errorf("accepted document %q: generation %d can't come before %d", a.Service, b.Generation, next)
		}
		next = b.Generation
	}
	if len(a.Ancestors) > 0 && a.Ancestors[0].Hash != a.PreviousHash {
		return fmt.Errorf("accepted document %q: its first ancestor is not its predecessor", a.Service)
	}
	return nil
}
