package ferrystandengine

import (
	"errors"
	"fmt"
	"net/http"
	"time"

	"cactusferry.dev/ferry/ferryid"
)

// DieWhen says at which point of a step DieAtPosition strikes.
type DieWhen string

// The points of a step at which an engine can die.
const (
	DieBeforeApply DieWhen = ""
	DieAfterApply  DieWhen = "AfterApply"
	DieInLine      DieWhen = "InLine"
)

// Faults are the switches of an engine, all off when zero.
type Faults struct {
	// DieAtPosition kills the engine in the step of this position.
	DieAtPosition *ferryid.Position `json:"DieAtPosition,omitempty"`
	DieWhen       DieWhen           `json:"DieWhen,omitempty"`
	// DelayMS delays each answer line, as a slow link does.
	DelayMS int `json:"DelayMS,omitempty"`
	// Silent keeps connections open and sends nothing more.
	Silent bool `json:"Silent,omitempty"`
	// SilentAtPosition makes the engine silent in the step of this position.
	SilentAtPosition *ferryid.Position `json:"SilentAtPosition,omitempty"`
	// Empty forgets all streams, as a restart does.
	Empty bool `json:"Empty,omitempty"`
	// EmptyAtPosition forgets the stream in the step of this position.
	EmptyAtPosition *ferryid.Position `json:"EmptyAtPosition,omitempty"`
	// Duplicate sends each token twice.
	Duplicate bool `json:"Duplicate,omitempty"`
	// LateFromOldEpoch sends tokens of the epoch before ahead of each token, and goes on after a cancel.
	LateFromOldEpoch bool `json:"LateFromOldEpoch,omitempty"`
	Leaving          bool `json:"Leaving,omitempty"`
	IgnoreFencing    bool `json:"IgnoreFencing,omitempty"`
	// TokensPerSecond changes the true rate and not the reported one; 0 keeps it.
	TokensPerSecond ferryid.TokensPerSecond `json:"TokensPerSecond,omitempty"`
}

// Check returns an error for a switch without meaning.
func (f *Faults) Check() error {
	switch f.DieWhen {
	case DieBeforeApply, DieAfterApply, DieInLine:
	default:
		return fmt.Errorf("DieWhen: must be %q, %q or empty, is %q", DieAfterApply, DieInLine, string(f.DieWhen))
	}
	if f.DelayMS < 0 || !(f.TokensPerSecond >= 0) {
		return fmt.Errorf("DelayMS and TokensPerSecond must not be negative")
	}
	return nil
}

func (f *Faults) delay() time.Duration {
	return time.Duration(f.DelayMS) * time.Millisecond
}

var errDied = errors.New("the engine died")

func at(p *ferryid.Position, now ferryid.Position) bool {
	return p != nil && *p == now
}

// SetFaults replaces all switches.
func (e *Engine) SetFaults(f Faults) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.faults = f
	if f.Empty {
		e.streams = newStreams()
		e.streams.forgot = true
	}
}

func (e *Engine) currentFaults() Faults {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.faults
}

func (e *Engine) handleFaults(w http.ResponseWriter, r *http.Request) {
	var f Faults
	if !readJSON(w, r, &f) {
		return
	}
	e.SetFaults(f)
	w.WriteHeader(http.StatusNoContent)
}

// dieNow breaks all connections as a killed process does.
func (e *Engine) dieNow() error {
	e.Kill()
	if e.cfg.OnDie != nil {
		e.cfg.OnDie()
	}
	return errDied
}
