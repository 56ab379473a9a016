package ferryclaim

import (
	"fmt"

	"github.com/ansel1/merry/v2"
	"github.com/fxamacker/cbor/v2"

	"cactusferry.dev/ferry/ferryid"
)

// The object kinds of the journal.
const (
	ObjectKindSlot    = "claim-slots"
	ObjectKindSegment = "claim-segments"
)

const (
	maxObjectBytes      = 1 << 20
	maxRecords          = 1 << 16
	maxSegmentNameBytes = 128
)

var (
	encMode = mustEnc()
	decMode = mustDec()
)

func mustEnc() cbor.EncMode {
	m, err := cbor.CoreDetEncOptions().EncMode()
	if err != nil {
		panic(err)
	}
	return m
}

func mustDec() cbor.DecMode {
	m, err := cbor.DecOptions{
		DupMapKey:        cbor.DupMapKeyEnforcedAPF,
		MaxArrayElements: maxRecords,
		MaxMapPairs:      maxRecords,
		MaxNestedLevels:  8,
		IndefLength:      cbor.IndefLengthForbidden,
	}.DecMode()
	if err != nil {
		panic(err)
	}
	return m
}

// segmentRef refers to a segment, an immutable object of older records.
type segmentRef struct {
	Name   string `cbor:"1,keyasint"`
	Level  uint8  `cbor:"2,keyasint"`
	Newest int64  `cbor:"3,keyasint"` // the latest Until in it, in Unix seconds
}

// journal is the decoded value of a slot's object or of a segment.
type journal struct {
	records  []Record
	segments []segmentRef
}

type wireRecord struct {
	Key    Digest  `cbor:"1,keyasint"`
	Body   Digest  `cbor:"2,keyasint"`
	By     int     `cbor:"3,keyasint"` // index into Incarnations
	N      Serial  `cbor:"4,keyasint"`
	State  State   `cbor:"5,keyasint"`
	Until  int64   `cbor:"6,keyasint"`
	Result *Result `cbor:"7,keyasint,omitempty"`
}

type wireJournal struct {
	Incarnations []ferryid.Incarnation `cbor:"1,keyasint"`
	Records      []wireRecord          `cbor:"2,keyasint"`
	Segments     []segmentRef          `cbor:"3,keyasint,omitempty"`
}

func (j journal) encode() ([]byte, error) {
	w := wireJournal{Segments: j.segments, Records: make([]wireRecord, 0, len(j.records))}
	at := map[ferryid.Incarnation]int{}
	for _, r := range j.records {
		i, ok := at[r.Ref.By]
		if !ok {
			i = len(w.Incarnations)
			at[r.Ref.By] = i
			w.Incarnations = append(w.Incarnations, r.Ref.By)
		}
		wr := wireRecord{Key: r.Key, Body: r.Body, By: i, N: r.Ref.N, State: r.State, Until: r.Until}
		if r.State == StateFinished {
			wr.Result = &r.Result
		}
		w.Records = append(w.Records, wr)
	}
	b, err := encMode.Marshal(w)
	return b, merry.Prepend(err, "encode journal")
}

func decodeJournal(b []byte) (journal, error) {
	if len(b) > maxObjectBytes {
		return journal{}, fmt.Errorf("journal object of %d bytes is too long", len(b))
	}
	var w wireJournal
	if err := decMode.Unmarshal(b, &w); err != nil {
		return journal{}, merry.Prepend(err, "decode journal")
	}
	j := journal{segments: w.Segments}
	for i, wr := range w.Records {
		r, err := wr.record(w.Incarnations)
		if err != nil {
			return journal{}, merry.Prepend(err, fmt.Sprintf("decode journal: record %d", i))
		}
		j.records = append(j.records, r)
	}
	for _, s := range w.Segments {
		if s.Name == "" || len(s.Name) > maxSegmentNameBytes {
			return journal{}, fmt.Errorf("decode journal: segment name of %d bytes", len(s.Name))
		}
	}
	return j, nil
}

func (wr wireRecord) record(ids []ferryid.Incarnation) (Record, error) {
	if wr.By < 0 || wr.By >= len(ids) || ids[wr.By] == "" {
		return Record{}, fmt.Errorf("names incarnation %d of %d", wr.By, len(ids))
	}
	r := Record{Key: wr.Key, Body: wr.Body, Ref: Ref{By: ids[wr.By], N: wr.N}, State: wr.State, Until: wr.Until}
	switch wr.State {
	case StateClaimed, StateReleased:
	case StateFinished:
		if wr.Result == nil {
			return Record{}, fmt.Errorf("finished without a result")
		}
		r.Result = *wr.Result
		return r, r.Result.Check()
	default:
		return Record{}, fmt.Errorf("state %d is unknown", wr.State)
	}
	return r, nil
}
