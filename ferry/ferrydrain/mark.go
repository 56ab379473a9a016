package ferrydrain

import (
	"cmp"

	"github.com/ansel1/merry/v2"
	"github.com/fxamacker/cbor/v2"

	"cactusferry.dev/ferry/ferryid"
)

const maxMarkBytes = 512

// Source is the origin of a mark.
type Source uint8

// The sources of marks.
const (
	SourceList     Source = 1
	SourceUpstream Source = 2
	SourceOperator Source = 3
)

// Mark is the statement that an upstream is leaving, or that an operator's mark was cleared.
type Mark struct {
	Service  ferryid.ServiceName  `cbor:"1,keyasint" json:"Service"`
	Upstream ferryid.UpstreamName `cbor:"2,keyasint" json:"Upstream"`
	// Incarnation is the process of the upstream that leaves. It is empty if it is unknown,
	// and in an operator's mark.
	Incarnation ferryid.Incarnation `cbor:"3,keyasint,omitempty" json:"Incarnation,omitempty"`
	Source      Source              `cbor:"4,keyasint" json:"Source"`
	Leaving     bool                `cbor:"5,keyasint" json:"Leaving"`
	// At is the time of the mark in Unix microseconds.
	At int64 `cbor:"6,keyasint" json:"At"`
}

// key identifies the subject of a mark. Of two marks with the same key, one replaces the other.
type key struct {
	service     ferryid.ServiceName
	upstream    ferryid.UpstreamName
	incarnation ferryid.Incarnation
	operator    bool
}

func (m Mark) key() key {
	return key{m.Service, m.Upstream, m.Incarnation, m.Source == SourceOperator}
}

// Check returns an error unless the mark is valid.
func (m Mark) Check() error {
	if err := ferryid.CheckName(string(m.Service)); err != nil {
		return merry.Prepend(err, "mark: service")
	}
	if err := ferryid.CheckName(string(m.Upstream)); err != nil {
		return merry.Prepend(err, "mark: upstream")
	}
	switch {
	case m.Source < SourceList || m.Source > SourceOperator:
		return merry.Errorf("mark has unknown source %d", m.Source)
	case m.Source == SourceOperator && m.Incarnation != "":
		return merry.New("an operator's mark names no incarnation")
	case m.Incarnation != "" && !m.Leaving:
		return merry.New("an incarnation that leaves never comes back")
	}
	return nil
}

// replaces reports whether m replaces n of the same key.
// The later mark does; of two at the same time, the one that excludes the upstream from new work.
func (m Mark) replaces(n Mark) bool {
	if m.Incarnation != "" {
		// An incarnation that leaves does so for good, so the earliest mark is kept.
		return cmp.Or(cmp.Compare(n.At, m.At), cmp.Compare(n.Source, m.Source)) > 0
	}
	return cmp.Or(cmp.Compare(m.At, n.At), compareBool(m.Leaving, n.Leaving), cmp.Compare(m.Source, n.Source)) > 0
}

func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return 1
	}
	return -1
}

func (m Mark) encode() []byte {
	b, err := cbor.Marshal(m)
	if err != nil {
		panic(err)
	}
	return b
}

// DecodeMark decodes and checks a mark from a peer.
func DecodeMark(b []byte) (Mark, error) {
	if len(b) > maxMarkBytes {
		return Mark{}, merry.Errorf("mark of %d bytes is too long", len(b))
	}
	var m Mark
	if err := cbor.Unmarshal(b, &m); err != nil {
		return Mark{}, merry.Prepend(err, "decode mark")
	}
	return m, m.Check()
}
