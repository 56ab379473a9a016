package ferrylease

import (
	"encoding/json"
	"time"

	"github.com/ansel1/merry/v2"

	"cactusferry.dev/ferry/ferryid"
	"cactusferry.dev/ferry/ferryplatform"
)

// ObjectKind is the object kind of leases.
const ObjectKind = "leases"

const (
	maxRecordBytes = 1 << 10
	maxTTL         = time.Hour
)

// Record is the value of a lease object.
type Record struct {
	// Holder is empty if the lease was released.
	Holder ferryid.Incarnation `json:"Holder"`
	Fence  ferryid.Fence       `json:"Fence"`
	// Renewal is incremented by each write of a holder, so that all writes differ.
	Renewal uint64 `json:"Renewal"`
	// TTLMS is the lease term from the start of the write, in milliseconds.
	TTLMS int64 `json:"TTLMS"`
	// Epoch is the epoch of the platform in which the record was written. A record of an earlier epoch than its object's is
	// from a copy, and later ones may have been lost.
	Epoch ferryplatform.Epoch `json:"Epoch,omitempty"`
}

func (r Record) ttl() time.Duration {
	return time.Duration(r.TTLMS) * time.Millisecond
}

// Check returns an error unless the record is valid.
func (r Record) Check() error {
	if r.Fence == 0 {
		return merry.New("lease has no fencing number")
	}
	if r.TTLMS <= 0 || r.ttl() > maxTTL {
		return merry.Errorf("lease lasts %d ms, must be from 1 to %d", r.TTLMS, maxTTL.Milliseconds())
	}
	return nil
}

// DecodeRecord decodes and checks the value of a lease object.
func DecodeRecord(b []byte) (Record, error) {
	if len(b) > maxRecordBytes {
		return Record{}, merry.Errorf("lease of %d bytes is too long", len(b))
	}
	var r Record
	if err := json.Unmarshal(b, &r); err != nil {
		return Record{}, merry.Prepend(err, "decode lease")
	}
	return r, r.Check()
}

func (r Record) encode() []byte {
	b, err := json.Marshal(r)
	if err != nil {
		panic(err)
	}
	return b
}
