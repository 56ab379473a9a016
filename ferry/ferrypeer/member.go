package ferrypeer

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"cactusferry.dev/ferry/ferryevent"
	"cactusferry.dev/ferry/ferryid"
)

const maxAddressBytes = 128

// Tag identifies one incarnation of one entry in eight bytes.
type Tag uint64

// State is what a member says of itself to callers.
type State uint8

// The states of a member.
const (
	// Ready takes new callers.
	Ready State = iota + 1
	// Draining finishes what it has and takes no new callers.
	Draining
)

func (s State) String() string {
	switch s {
	case Ready:
		return "Ready"
	case Draining:
		return "Draining"
	}
	return fmt.Sprintf("State(%d)", uint8(s))
}

// Status is what the overlay holds of a member.
type Status uint8

// The statuses of a member; among records of one heartbeat count the later one in this list wins.
const (
	// Alive answers its links.
	Alive Status = iota + 1
	// Suspect did not answer a neighbour and has not refuted it yet.
	Suspect
	// Dead did not refute a suspicion in time.
	Dead
	// Left said that it goes; this is final for an incarnation.
	Left
)

func (s Status) String() string {
	switch s {
	case Alive:
		return "Alive"
	case Suspect:
		return "Suspect"
	case Dead:
		return "Dead"
	case Left:
		return "Left"
	}
	return fmt.Sprintf("Status(%d)", uint8(s))
}

// Load is a member's own summary of how busy it is.
type Load struct {
	// Permille is the share of its capacity in use, in thousandths; above 1000 it is overloaded.
	Permille uint16 `cbor:"1,keyasint,omitempty" json:"Permille"`
	// Streams counts the streams it relays now.
	Streams uint32 `cbor:"2,keyasint,omitempty" json:"Streams"`
}

// Member is what identifies one incarnation of an entry and says how to reach it.
type Member struct {
	Name          ferryid.EntryName    `cbor:"1,keyasint" json:"Name"`
	Incarnation   ferryid.Incarnation  `cbor:"2,keyasint" json:"Incarnation"`
	Started       ferryevent.Timestamp `cbor:"3,keyasint" json:"Started"`
	FailureDomain ferryid.DomainName   `cbor:"4,keyasint" json:"FailureDomain"`
	PeerAddress   string               `cbor:"5,keyasint" json:"PeerAddress"`
	CallerAddress string               `cbor:"6,keyasint" json:"CallerAddress"`
}

// Tag returns the eight bytes that stand for this incarnation in messages.
func (m Member) Tag() Tag {
	return Tag(xxhash.Sum64String(string(m.Name) + "\x00" + string(m.Incarnation)))
}

// Check returns an error that says what is wrong with the member, or nil.
func (m Member) Check() error {
	if err := ferryid.CheckName(string(m.Name)); err != nil {
		return fmt.Errorf("member name: %w", err)
	}
	if err := ferryid.CheckName(string(m.FailureDomain)); err != nil {
		return fmt.Errorf("failure domain of %s: %w", m.Name, err)
	}
	if n := len(m.Incarnation); n == 0 || n > maxAddressBytes {
		return fmt.Errorf("incarnation of %s: has %d bytes", m.Name, n)
	}
	if n := len(m.PeerAddress); n == 0 || n > maxAddressBytes {
		return fmt.Errorf("peer address of %s: has %d bytes", m.Name, n)
	}
	if n := len(m.CallerAddress); n > maxAddressBytes {
		return fmt.Errorf("callers' address of %s: has %d bytes", m.Name, n)
	}
	return nil
}

// newer reports whether m is a later incarnation of the same entry than o.
func (m Member) newer(o Member) bool {
	return cmp.Or(m.Started.Compare(o.Started), cmp.Compare(m.Incarnation, o.Incarnation)) > 0
}

// MemberInfo is one member as this process sees it.
type MemberInfo struct {
	Member
	State  State
	Status Status
	Beat   uint64
	Load   Load
}

// Live reports whether it is alive or only suspected.
func (m MemberInfo) Live() bool { return m.Status == Alive || m.Status == Suspect }

// Usable reports whether new callers and duties may be given to the member.
func (m MemberInfo) Usable() bool {
	return m.Status == Alive && m.State == Ready
}

// Members is an immutable snapshot of the membership, ordered by name; do not write to its list.
type Members struct {
	At   time.Time
	Self ferryid.EntryName
	List []MemberInfo
}

// Get returns the member of that name.
func (ms Members) Get(name ferryid.EntryName) (MemberInfo, bool) {
	i, ok := slices.BinarySearchFunc(ms.List, name, func(m MemberInfo, n ferryid.EntryName) int {
		return cmp.Compare(m.Name, n)
	})
	if !ok {
		return MemberInfo{}, false
	}
	return ms.List[i], true
}

// Live returns the members that are alive or only suspected, draining ones included.
func (ms Members) Live() []MemberInfo {
	out := make([]MemberInfo, 0, len(ms.List))
	for _, m := range ms.List {
		if m.Live() {
			out = append(out, m)
		}
	}
	return out
}
