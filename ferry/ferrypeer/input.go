package ferrypeer

import (
	"cactusferry.dev/ferry/ferryid"
	"cactusferry.dev/ferry/ferryplatform"
)

// LinkID identifies one connection within this process.
type LinkID uint64

// CloseReason is the reason for closing or refusing a connection; it is also the name of a counter.
type CloseReason string

// The reasons for closing or refusing a connection.
const (
	// CloseSilent means that the peer sent nothing for too long, or that a dial or handshake timed out.
	CloseSilent CloseReason = "Silent"
	// CloseDuplicate means that another link to the same peer was kept.
	CloseDuplicate CloseReason = "Duplicate"
	// CloseUnwanted means that neither end wants the link, or that a connection for asks was idle.
	CloseUnwanted CloseReason = "Unwanted"
	// CloseFull means that a limit on links, connections for asks or concurrent handshakes was reached.
	CloseFull CloseReason = "Full"
	// CloseMalformed means that a message could not be decoded or was not allowed.
	CloseMalformed CloseReason = "Malformed"
	// CloseUnauthenticated means that the client certificate was missing or the proof was wrong.
	CloseUnauthenticated CloseReason = "Unauthenticated"
	// CloseVersion means that the ends have no protocol version in common.
	CloseVersion CloseReason = "Version"
	// CloseNotThere means that the entry at the address is not the expected one, or is the dialling entry itself.
	CloseNotThere CloseReason = "NotThere"
	// CloseReplaced means that a later incarnation of one of the ends is known.
	CloseReplaced CloseReason = "Replaced"
	// CloseSlow means that the outbox of the connection was full.
	CloseSlow CloseReason = "Slow"
	// CloseLeaving means that one of the ends is stopping.
	CloseLeaving CloseReason = "Leaving"
	// CloseUnreachable means that a dial, read or write failed.
	CloseUnreachable CloseReason = "Unreachable"
)

// Input is an event processed by Overlay.Step.
type Input interface{ input() }

// Tick advances the timers of the core; it is expected ten times a second.
type Tick struct{}

// Listed holds a new instance list from the platform.
type Listed struct{ Instances ferryplatform.Instances }

// LinkUp is the input for a connection that has completed its handshake.
type LinkUp struct {
	Link    LinkID
	Peer    Member
	Dialled bool
	// Key is the Key of the Dial that opened the connection, if Dialled is set.
	Key    string
	Topics []TopicName
}

// LinkDown is the input for a connection that has ended.
type LinkDown struct{ Link LinkID }

// DialFailed is the input for a Dial that did not lead to a connection.
type DialFailed struct {
	Key    string
	Reason CloseReason
}

// Received holds a message received on a link.
type Received struct {
	Link    LinkID
	Message Message
}

// Published is the input for a topic that has changed items or a new digest.
type Published struct{ Topic TopicName }

// SelfChanged holds the new state and load of this process.
type SelfChanged struct {
	State State
	Load  Load
}

// Leaving is the input for a planned stop of this process.
type Leaving struct{}

func (Tick) input()        {}
func (Listed) input()      {}
func (LinkUp) input()      {}
func (LinkDown) input()    {}
func (DialFailed) input()  {}
func (Received) input()    {}
func (Published) input()   {}
func (SelfChanged) input() {}
func (Leaving) input()     {}

// Action is an operation that the caller of Overlay.Step has to perform.
type Action interface{ action() }

// Dial requests a connection; the result is a LinkUp or a DialFailed with the same key.
type Dial struct {
	Key     string
	Expect  ferryid.EntryName
	Address string
}

// Send requests that a message be sent on a link.
type Send struct {
	Link    LinkID
	Message Message
}

// CloseLink requests that a link be closed; the core does not need a LinkDown for it.
type CloseLink struct {
	Link   LinkID
	Reason CloseReason
}

// Note requests an event on the time line.
type Note struct {
	Kind    string
	Subject string
	Detail  string
}

// Replaced requests that this process stop, because a later incarnation of its name is running.
type Replaced struct{}

func (Dial) action()      {}
func (Send) action()      {}
func (CloseLink) action() {}
func (Note) action()      {}
func (Replaced) action()  {}
