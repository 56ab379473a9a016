package ferrystandengine

import (
	"errors"
	"fmt"
	"net/http"
	"time"

	"cactusferry.dev/ferry/ferryid"
)

// DieWhen is the point of a step at which DieAtPosition kills the engine.
type DieWhen string

// The points of a step at which the engine can be killed: before
// or after the layers are applied, or within the answer's line.
const (
	DieBeforeApply DieWhen = ""
	DieAfterApply  DieWhen = "AfterApply"
	DieInLine      DieWhen = "InLine"
)

// Faults are the fault switches of an engine; the zero value has none on.
type Faults struct {
	// DieAtPosition kills the engine in the step for this position.
	DieAtPosition *ferryid.Position `json:"DieAtPosition,omitempty"`
	DieWhen       DieWhen           `json:"DieWhen,omitempty"`
	// DelayMS delays each answer line, as a slow link does.
	DelayMS int `json:"DelayMS,omitempty"`
	// Silent keeps connections open without sending data.
	Silent bool `json:"Silent,omitempty"`
	// SilentAtPosition makes the run silent from the step for this position.
	SilentAtPosition *ferryid.Position `json:"SilentAtPosition,omitempty"`
	// Empty drops all streams, as a restart does.
	Empty bool `json:"Empty,omitempty"`
	// EmptyAtPosition makes the engine answer that it does not have the stream in the step for this position.
	EmptyAtPosition *ferryid.Position `json:"EmptyAtPosition,omitempty"`
	// Duplicate sends each token twice.
	Duplicate bool `json:"Duplicate,omitempty"`
	// LateFromOldEpoch sends a token of the previous epoch
	// before each token, and continues runs after a cancel.
	LateFromOldEpoch bool `json:"LateFromOldEpoch,omitempty"`
	Leaving          bool `json:"Leaving,omitempty"`
	IgnoreFencing    bool `json:"IgnoreFencing,omitempty"`
	// TokensPerSecond, if not 0, is the actual rate; the reported rate is unchanged.
	TokensPerSecond ferryid.TokensPerSecond `json:"TokensPerSecond,omitempty"`
}

// Check returns an error if a switch has an invalid value.
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

var errDied = errors.New("engine killed by an injected fault")

func matches(p *ferryid.Position, now ferryid.Position) bool {
	return p != nil && *p == now
}

// SetFaults replaces all fault switches.
func (e *Engine) SetFaults(f Faults) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.faults = f
	if f.Empty {
		e.streams = newStreams()
		e.streams.evicted = true
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

// crash breaks all connections, as a killed process does.
func (e *Engine) crash() error {
	e.Kill()
	if e.cfg.OnDie != nil {
		e.cfg.OnDie()
	}
	return errDied
}
