package ferryoutcome

import (
	"errors"
	"fmt"
)

// Outcome is what is known about whether a call took effect at an upstream.
type Outcome string

// The three outcomes a failed call can have.
const (
	// NotRun means that no upstream has run the call and none will.
	NotRun Outcome = "NotRun"
	// Ran means that an upstream ran the call.
	Ran Outcome = "Ran"
	// Unknown means that the call may or may not have run.
	Unknown Outcome = "Unknown"
)

// Check returns an error unless the outcome is one of the three.
func (o Outcome) Check() error {
	switch o {
	case NotRun, Ran, Unknown:
		return nil
	}
	return fmt.Errorf("outcome %q is not NotRun, Ran or Unknown", string(o))
}

// Phase is how far the sending of a call had come when it failed.
type Phase int

// The phases of one send, in order.
const (
	// PhaseNotConnected is before any connection to the upstream was open.
	PhaseNotConnected Phase = iota
	// PhaseWriting is after the first byte of the call was handed to the connection.
	PhaseWriting
	// PhaseAnswered is after the upstream's answer header arrived.
	PhaseAnswered
)

// OfFailure judges a send that failed in the given phase; only a call of which no byte was written is NotRun.
func OfFailure(p Phase) Outcome {
	switch p {
	case PhaseNotConnected:
		return NotRun
	case PhaseAnswered:
		return Ran
	}
	return Unknown
}

// Of returns the outcome an error carries, and Unknown for an error that carries none.
func Of(err error) Outcome {
	var p *Problem
	if errors.As(err, &p) {
		return p.Outcome
	}
	return Unknown
}
