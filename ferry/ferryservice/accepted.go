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

// ObjectKind is the kind under which accepted documents are kept in the object API, one object a service.
const ObjectKind = "services"

// maxAncestors bounds how many earlier versions an accepted version names.
const maxAncestors = 16

// Ancestor identifies an earlier accepted version of a service document.
type Ancestor struct {
	Generation ferryid.Generation `json:"Generation" cbor:"1,keyasint"`
	Hash       string             `json:"Hash" cbor:"2,keyasint"`
	ApplyID    string             `json:"ApplyID" cbor:"3,keyasint"`
	Supersedes []string           `json:"Supersedes,omitempty" cbor:"4,keyasint,omitempty"`
}

// Accepted is one accepted version of a service document, as it is kept and spread.
type Accepted struct {
	Service      ferryid.ServiceName `json:"Service" cbor:"1,keyasint"`
	Generation   ferryid.Generation  `json:"Generation" cbor:"2,keyasint"`
	PreviousHash string              `json:"PreviousHash" cbor:"3,keyasint"`
	ApplyID      string              `json:"ApplyID" cbor:"4,keyasint"`
	Operator     string              `json:"Operator" cbor:"5,keyasint"`
	At           time.Time           `json:"At" cbor:"6,keyasint"`
	Source       string              `json:"Source" cbor:"7,keyasint"`
	// Ancestors are the versions before this one, the latest first; the oldest are left out.
	Ancestors []Ancestor `json:"Ancestors,omitempty" cbor:"8,keyasint,omitempty"`
	// Supersedes are the hashes of versions of another branch that this one deliberately replaces.
	Supersedes []string `json:"Supersedes,omitempty" cbor:"9,keyasint,omitempty"`
}

// Hash identifies this accepted version, over its generation, its predecessors and its text.
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

// Ancestor returns how a successor names this version.
func (a Accepted) Ancestor() Ancestor {
	return Ancestor{Generation: a.Generation, Hash: a.Hash(), ApplyID: a.ApplyID, Supersedes: a.Supersedes}
}

// Successor returns an empty version that follows this one; on the zero value it is the first version.
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

// Descent says how an accepted version relates to an earlier one.
type Descent string

// The results of DescendsFrom.
const (
	// Descends means that the earlier version is an ancestor, or is superseded on purpose.
	Descends Descent = "Descends"
	// Diverges means that the version comes from another branch.
	Diverges Descent = "Diverges"
	// Untraced means that the earlier version is too old to be named.
	Untraced Descent = "Untraced"
)

// DescendsFrom relates this version to one with a lower generation.
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

// ByApplyID returns the ancestor that was accepted under the apply id.
func (a Accepted) ByApplyID(id string) (Ancestor, bool) {
	i := slices.IndexFunc(a.Ancestors, func(b Ancestor) bool { return b.ApplyID == id })
	if i < 0 {
		return Ancestor{}, false
	}
	return a.Ancestors[i], true
}

// Document decodes the text.
func (a Accepted) Document() (Document, error) {
	return Decode(string(a.Service), []byte(a.Source))
}

// DecodeAccepted reads an accepted version and checks it.
func DecodeAccepted(b []byte) (Accepted, error) {
	a, err := DecodeEnvelope(b)
	if err != nil {
		return Accepted{}, err
	}
	return a, a.Check()
}

// DecodeEnvelope reads an accepted version and checks all but its text, which a later release may judge otherwise.
func DecodeEnvelope(b []byte) (Accepted, error) {
	var a Accepted
	if err := json.Unmarshal(b, &a); err != nil {
		return Accepted{}, fmt.Errorf("decode accepted document: %w", err)
	}
	return a, a.checkEnvelope()
}

// Check returns an error unless the envelope and the document in it are sound.
func (a Accepted) Check() error {
	_, err := a.Checked()
	return err
}

// Checked checks the envelope and the text, and returns the decoded document.
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
	later := a.Generation
	for _, b := range a.Ancestors {
		if b.Generation == 0 || b.Generation >= later {
			return fmt.Errorf("accepted document %q: generation %d can't come before %d", a.Service, b.Generation, later)
		}
		later = b.Generation
	}
	if len(a.Ancestors) > 0 && a.Ancestors[0].Hash != a.PreviousHash {
		return fmt.Errorf("accepted document %q: its first ancestor is not its predecessor", a.Service)
	}
	return nil
}
