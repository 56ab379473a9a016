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
	// deltaWindow reaches from the end of the largest text back to the start of the largest base.
	deltaWindow = 2 << 20
	// leastGain is the part of a text that a difference has to save to be worth it.
	leastGain = 0.25
)

// Update is an accepted document as it is spread: whole, or as the difference to the version that the receiver has in force.
type Update struct {
	ferryservice.Accepted
	// Base is the hash of the version that Delta applies to; it is empty for a whole document.
	Base string `cbor:"20,keyasint,omitempty"`
	// Result is the hash of the version that comes out.
	Result string `cbor:"21,keyasint,omitempty"`
	// Delta is the text compressed with the base's text as the dictionary.
	Delta []byte `cbor:"22,keyasint,omitempty"`
}

// DeltaError says that a difference does not lead from its base to its result.
type DeltaError struct {
	Service string
	Base    string
	Err     error
}

func (e *DeltaError) Error() string {
	return fmt.Sprintf("difference of %q to %.12s: %v", e.Service, e.Base, e.Err)
}

func (e *DeltaError) Unwrap() error { return e.Err }

// encodeDelta returns the text compressed with the base as the dictionary, or nil if that is not worth it.
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
	if float64(len(out)) > (1-leastGain)*float64(len(text)) {
		return nil
	}
	return out
}

// applyDelta returns the text that a difference to the base stands for; it takes no more memory than the largest text, its base and a window.
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

// deltaOf is the difference of a version in force to the one before, made when a peer first lacks it unless it came as one.
type deltaOf struct {
	base  string // the hash, empty if there is none
	text  string // of the base, until the difference is made
	once  sync.Once
	delta []byte
}

func (d *deltaOf) get(text string) []byte {
	d.once.Do(func() {
		if d.delta == nil {
			d.delta = encodeDelta(d.text, text)
		}
		d.text = ""
	})
	return d.delta
}

// Updates returns what the sender of a digest lacks, as differences where it says that it takes them and has the version before in force.
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
		if r.Service != a.Service || r.Hash != f.previous.base || !r.Differences {
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

// Take offers an update; NoBase means that a difference applies to another version than the one in force. The error is a *DeltaError.
func (h *Holder) Take(u Update, source string) (Verdict, error) {
	if len(u.Delta) == 0 {
		return h.Offer(u.Accepted, source), nil
	}
	f, ok := h.Get(u.Service)
	if !ok || f.Hash != u.Base {
		return NoBase, nil
	}
	wrong := func(err error) error {
		return &DeltaError{Service: string(u.Service), Base: u.Base, Err: err}
	}
	text, err := applyDelta(f.Accepted.Source, u.Delta)
	if err != nil {
		return Invalid, wrong(err)
	}
	a := u.Accepted
	a.Source = text
	if a.Hash() != u.Result {
		return Invalid, wrong(merry.New("another text comes out than the one named"))
	}
	return h.offer(a, source, &deltaOf{base: u.Base, delta: u.Delta}), nil
}
