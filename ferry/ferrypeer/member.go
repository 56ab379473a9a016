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

// Tag is a 64-bit hash that identifies one incarnation of an entry.
type Tag uint64

// State is the availability to callers that a member publishes about itself.
type State uint8

// The states of a member.
const (
	// Ready means that the member accepts new callers.
	Ready State = iota + 1
	// Draining means that the member finishes its current calls and accepts no new callers.
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

// Status is the liveness of a member as determined by the overlay.
type Status uint8

// The statuses of a member. Of two records with the same heartbeat count, the one with the higher status wins.
const (
	// Alive means that the member responds on its links.
	Alive Status = iota + 1
	// Suspect means that the member did not respond to a neighbour and has not refuted the suspicion yet.
	Suspect
	// Dead means that the member did not refute a suspicion in time.
	Dead
	// Left means that the member announced its planned stop; this is final for an incarnation.
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

// Load is the load that a member publishes about itself.
type Load struct {
	// Permille is the utilisation in thousandths of the capacity; above 1000 the member is overloaded.
	Permille uint16 `cbor:"1,keyasint,omitempty" json:"Permille"`
	// Streams is the number of streams currently relayed.
	Streams uint32 `cbor:"2,keyasint,omitempty" json:"Streams"`
}

// Member holds the identity and the addresses of one incarnation of an entry.
type Member struct {
	Name          ferryid.EntryName    `cbor:"1,keyasint" json:"Name"`
	Incarnation   ferryid.Incarnation  `cbor:"2,keyasint" json:"Incarnation"`
	Started       ferryevent.Timestamp `cbor:"3,keyasint" json:"Started"`
	FailureDomain ferryid.DomainName   `cbor:"4,keyasint" json:"FailureDomain"`
	PeerAddress   string               `cbor:"5,keyasint" json:"PeerAddress"`
	CallerAddress string               `cbor:"6,keyasint" json:"CallerAddress"`
	// Capacity is the entry's processor share in thousandths of a core; zero means that it is not known.
	Capacity uint32 `cbor:"7,keyasint,omitempty" json:"Capacity,omitempty"`
}

// Tag returns the hash that identifies this incarnation in messages.
func (m Member) Tag() Tag {
	return Tag(xxhash.Sum64String(string(m.Name) + "\x00" + string(m.Incarnation)))
}

// Check validates the member.
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

// MemberInfo is a member with its state, status and load as known to this process.
type MemberInfo struct {
	Member
	State  State
	Status Status
	Beat   uint64
	Load   Load
}

// Live reports whether the member is alive or suspect.
func (m MemberInfo) Live() bool { return m.Status == Alive || m.Status == Suspect }

// Usable reports whether new callers and duties can be assigned to the member.
func (m MemberInfo) Usable() bool {
	return m.Status == Alive && m.State == Ready
}

// Members is an immutable snapshot of the membership, ordered by name; its list must not be modified.
type Members struct {
	At   time.Time
	Self ferryid.EntryName
	List []MemberInfo
}

// Get returns the member with the given name.
func (ms Members) Get(name ferryid.EntryName) (MemberInfo, bool) {
	i, ok := slices.BinarySearchFunc(ms.List, name, func(m MemberInfo, n ferryid.EntryName) int {
		return cmp.Compare(m.Name, n)
	})
	if !ok {
		return MemberInfo{}, false
	}
	return ms.List[i], true
}

// Live returns the members that are alive or suspect, including draining ones.
func (ms Members) Live() []MemberInfo {
	out := make([]MemberInfo, 0, len(ms.List))
	for _, m := range ms.List {
		if m.Live() {
			out = append(out, m)
		}
	}
	return out
}
