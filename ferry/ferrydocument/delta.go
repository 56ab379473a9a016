package ferrydocument

import (
	"fmt"
	"sync"

	"github.com/ansel1/merry/v2"
	"github.com/klauspost/compress/zstd"

	"cactusferry.dev/ferry/ferryservice"
)

const (
	deltaDictionary = 1
	// deltaWindow is the zstd window in bytes; it covers the largest base and the largest text together.
	deltaWindow = 2 << 20
	// minDeltaSaving is the fraction of the text's size that a delta must save; otherwise the whole text is
	// sent.
	minDeltaSaving = 0.25
)

// Update is an accepted document as sent to a peer: whole, or as a delta against the version in force at the peer.
type Update struct {
	ferryservice.Accepted
	// Base is the hash of the version that Delta applies to; it is empty for a whole document.
	Base string `cbor:"20,keyasint,omitempty"`
	// Result is the hash of the version that the delta produces.
	Result string `cbor:"21,keyasint,omitempty"`
	// Delta is the text compressed by zstd with the base's text as the dictionary.
	Delta []byte `cbor:"22,keyasint,omitempty"`
}

// DeltaError reports a delta that can't be applied to its base or does not produce the announced result.
type DeltaError struct {
	Service string
	Base    string
	Err     error
}

func (e *DeltaError) Error() string {
	return fmt.Sprintf("difference of %q to %.12s: %v", e.Service, e.Base, e.Err)
}

func (e *DeltaError) Unwrap() error { return e.Err }

// encodeDelta returns the text compressed with the base as the dictionary, or nil if that saves too little.
func encodeDelta(base, text string) []byte {
	if base == "" || len(base) > maxSourceBytes || len(text) > maxSourceBytes {
		return nil
	}
	enc, err := zstd.NewWriter(nil, zstd.WithEncoderDictRaw(deltaDictionary, []byte(base)), zstd.WithEncoderConcurrency(1),
		zstd.WithWindowSize(deltaWindow), zstd.WithEncoderLevel(zstd.SpeedDefault), zstd.WithLowerEncoderMem(true), zstd.WithEncoderCRC(true))
	if err != nil {
		return nil
	}
	defer enc.Close()
	out := enc.EncodeAll([]byte(text), nil)
	if float64(len(out)) > (1-minDeltaSaving)*float64(len(text)) {
		return nil
	}
	return out
}

// applyDelta decompresses a delta with the base as the dictionary. Its memory is bounded by the largest text,
// the base and one window, also for a hostile delta.
func applyDelta(base string, delta []byte) (string, error) {
	dec, err := zstd.NewReader(nil, zstd.WithDecoderDictRaw(deltaDictionary, []byte(base)), zstd.WithDecoderConcurrency(1),
		zstd.WithDecoderMaxMemory(maxSourceBytes), zstd.WithDecoderLowmem(true))
	if err != nil {
		return "", err
	}
	defer dec.Close()
	out, err := dec.DecodeAll(delta, nil)
	if err != nil {
		return "", err
	}
	if len(out) > maxSourceBytes {
		return "", fmt.Errorf("text of %d bytes", len(out))
	}
	return string(out), nil
}

// cachedDelta is the delta of a version in force against its predecessor. It is computed when a peer first needs
// it, unless the version arrived as a delta.
type cachedDelta struct {
	base  string // hash of the predecessor, empty if there is none
	text  string // of the predecessor, cleared once the delta is computed
	once  sync.Once
	delta []byte
}

func (d *cachedDelta) get(text string) []byte {
	d.once.Do(func() {
		if d.delta == nil {
			d.delta = encodeDelta(d.text, text)
		}
		d.text = ""
	})
	return d.delta
}

// Updates returns the documents that the sender of a digest lacks. A document is sent as a delta if the
// sender accepts deltas and has the predecessor in force.
func (h *Holder) Updates(d Digest) []Update {
	var out []Update
	for _, a := range h.Missing(d) {
		out = append(out, h.updateFor(a, d))
	}
	return out
}

func (h *Holder) updateFor(a ferryservice.Accepted, d Digest) Update {
	whole := Update{Accepted: a}
	f, ok := h.Get(a.Service)
	if !ok || f.previous.base == "" || f.Accepted.Generation != a.Generation {
		return whole
	}
	for _, r := range d {
		if r.Service != a.Service || r.Hash != f.previous.base || !r.AcceptsDeltas {
			continue
		}
		delta := f.previous.get(f.Accepted.Source)
		if delta == nil {
			return whole
		}
		u := Update{Accepted: f.Accepted, Base: f.previous.base, Result: f.Hash, Delta: delta}
		u.Source = ""
		return u
	}
	return whole
}

// OfferUpdate offers an update to the holder. It returns NoBase for a delta whose base is not in force.
// An error is a *DeltaError.
func (h *Holder) OfferUpdate(u Update, source string) (Verdict, error) {
	if len(u.Delta) == 0 {
		return h.Offer(u.Accepted, source), nil
	}
	f, ok := h.Get(u.Service)
	if !ok || f.Hash != u.Base {
		return NoBase, nil
	}
	wrap := func(err error) error {
		return &DeltaError{Service: string(u.Service), Base: u.Base, Err: err}
	}
	text, err := applyDelta(f.Accepted.Source, u.Delta)
	if err != nil {
		return Invalid, wrap(err)
	}
	a := u.Accepted
	a.Source = text
	if a.Hash() != u.Result {
		return Invalid, wrap(merry.New("another text comes out than the one named"))
	}
	return h.offer(a, source, &cachedDelta{base: u.Base, delta: u.Delta}), nil
}
