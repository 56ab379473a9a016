package ferryoutcome

import (
	"errors"
	"fmt"
)

// Outcome is what is known about whether a call took effect at an upstream.
type Outcome string

// The three outcomes a failed call can have.
const (
	// NotRun means that no upstream has run the call and that none will.
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

// Phase is the point at which sending a call failed.
type Phase int

// The phases of one send, in order.
const (
	// PhaseNotConnected is before any connection to the upstream was open.
	PhaseNotConnected Phase = iota
	// PhaseWriting is after the first byte of the call was written to the connection.
	PhaseWriting
	// PhaseAnswered is after the header of the upstream's answer arrived.
	PhaseAnswered
)

// OfFailure returns the outcome of a call that failed in the given phase; NotRun only if no byte was written.
func OfFailure(p Phase) Outcome {
	switch p {
	case PhaseNotConnected:
		return NotRun
	case PhaseAnswered:
		return Ran
	}
	return Unknown
}

// Of returns the outcome of a *Problem in the error's chain, or Unknown if there is none.
func Of(err error) Outcome {
	var p *Problem
	if errors.As(err, &p) {
		return p.Outcome
	}
	return Unknown
}
