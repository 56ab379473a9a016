package ferrydocument

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"

	"cactusferry.dev/ferry/ferryid"
	"cactusferry.dev/ferry/ferryservice"
)

// DigestRow identifies the version of one document that is in force.
type DigestRow struct {
	Service    ferryid.ServiceName `json:"Service" cbor:"1,keyasint"`
	Generation ferryid.Generation  `json:"Generation" cbor:"2,keyasint"`
	Hash       string              `json:"Hash" cbor:"3,keyasint"`
	// AcceptsDeltas is set if the sender of the digest accepts deltas against this version.
	AcceptsDeltas bool `json:"-" cbor:"4,keyasint,omitempty"`
}

// Digest lists the versions of all documents in force, sorted by service name.
type Digest []DigestRow

// Sum returns a checksum of the digest as 16 hexadecimal digits, by which peers find out whether they differ.
func (d Digest) Sum() string {
	h := sha256.New()
	for _, r := range d {
		fmt.Fprintf(h, "%s %d %s\n", r.Service, r.Generation, r.Hash)
	}
	return hex.EncodeToString(h.Sum(nil)[:8])
}

// Digest returns the digest of the documents in force.
func (h *Holder) Digest() Digest {
	all := h.All()
	out := make(Digest, 0, len(all))
	for _, f := range all {
		out = append(out, DigestRow{Service: f.Accepted.Service, Generation: f.Accepted.Generation, Hash: f.Hash, AcceptsDeltas: true})
	}
	return out
}

// Missing returns the documents of which the sender of a digest has no version, an older one or
// another branch.
func (h *Holder) Missing(d Digest) []ferryservice.Accepted {
	theirs := make(map[ferryid.ServiceName]DigestRow, len(d))
	for _, r := range d {
		theirs[r.Service] = r
	}
	var out []ferryservice.Accepted
	for _, f := range h.All() {
		r, ok := theirs[f.Accepted.Service]
		g := f.Accepted.Generation
		if !ok || r.Generation < g || (r.Generation == g && r.Hash != f.Hash) {
			out = append(out, f.Accepted)
		}
	}
	return out
}

// Wanted returns the services of which the sender of a digest has a newer version than this holder.
func (h *Holder) Wanted(d Digest) []ferryid.ServiceName {
	var out []ferryid.ServiceName
	for _, r := range d {
		f, ok := h.Get(r.Service)
		if !ok || f.Accepted.Generation < r.Generation {
			out = append(out, r.Service)
		}
	}
	return out
}
