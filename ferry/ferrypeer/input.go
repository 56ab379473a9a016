package ferrypeer

import (
	"cactusferry.dev/ferry/ferryid"
	"cactusferry.dev/ferry/ferryplatform"
)

// LinkID identifies one connection within this process.
type LinkID uint64

// CloseReason says why a connection was closed or refused; it doubles as the name of a counter.
type CloseReason string

// The reasons for closing or refusing a connection.
const (
	CloseSilent          CloseReason = "Silent"
	CloseDuplicate       CloseReason = "Duplicate"
	CloseUnwanted        CloseReason = "Unwanted"
	CloseFull            CloseReason = "Full"
	CloseMalformed       CloseReason = "Malformed"
	CloseUnauthenticated CloseReason = "Unauthenticated"
	CloseVersion         CloseReason = "Version"
	CloseNotThere        CloseReason = "NotThere"
	CloseReplaced        CloseReason = "Replaced"
	CloseSlow            CloseReason = "Slow"
	CloseLeaving         CloseReason = "Leaving"
	CloseUnreachable     CloseReason = "Unreachable"
)

// Input is what the overlay's core reacts to.
type Input interface{ input() }

// Tick says that time has passed; it is due ten times a second.
type Tick struct{}

// Listed brings the platform's instance list.
type Listed struct{ Instances ferryplatform.Instances }

// LinkUp says that a connection finished its hello.
type LinkUp struct {
	Link    LinkID
	Peer    Member
	Dialled bool
	// Key is the Key of the Dial that led to it, if Dialled.
	Key    string
	Topics []TopicName
}

// LinkDown says that a connection is gone.
type LinkDown struct{ Link LinkID }

// DialFailed says that a Dial came to nothing.
type DialFailed struct {
	Key    string
	Reason CloseReason
}

// Received brings a message from a link.
type Received struct {
	Link    LinkID
	Message Message
}

// Published says that a topic has fresh items or a new digest.
type Published struct{ Topic TopicName }

// SelfChanged brings this process's own state and load.
type SelfChanged struct {
	State State
	Load  Load
}

// Leaving says that this process is about to go.
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

// Action is what the overlay's core wants done.
type Action interface{ action() }

// Dial asks for a connection; it is answered by LinkUp or DialFailed with the same key.
type Dial struct {
	Key     string
	Expect  ferryid.EntryName
	Address string
}

// Send asks for a message to be sent on a link.
type Send struct {
	Link    LinkID
	Message Message
}

// CloseLink asks for a link to be closed; no LinkDown is needed for it.
type CloseLink struct {
	Link   LinkID
	Reason CloseReason
}

// Note asks for an event on the time line and a count.
type Note struct {
	Kind    string
	Subject string
	Detail  string
}

// Replaced says that a later incarnation of this process's name runs, so this one must stop.
type Replaced struct{}

func (Dial) action()      {}
func (Send) action()      {}
func (CloseLink) action() {}
func (Note) action()      {}
func (Replaced) action()  {}
