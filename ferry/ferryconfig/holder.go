package ferryconfig

import (
	"sync"
	"sync/atomic"
	"time"
)

// Verdict is the result of offering a configuration to a Holder.
type Verdict int

// The results of offering a configuration.
const (
	// Taken means that the offered configuration was accepted and is now in force.
	Taken Verdict = iota
	// Known means that the offered version was already in force.
	Known
	// Older means that a later version is in force.
	Older
)

func (v Verdict) String() string {
	switch v {
	case Taken:
		return "Taken"
	case Known:
		return "Known"
	case Older:
		return "Older"
	}
	return "Unknown"
}

// Holder holds the configuration in force and the time at which it was last known to be current.
//
// The version never decreases.
type Holder struct {
	current atomic.Pointer[Snapshot]
	proved  atomic.Pointer[time.Time]

	mu      sync.Mutex
	changed []func(*Snapshot)
}

// Current returns the configuration in force, or nil before the first.
func (h *Holder) Current() *Snapshot {
	return h.current.Load()
}

// OnChange registers a function that is called after each change, in order. It must not block.
func (h *Holder) OnChange(f func(*Snapshot)) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.changed = append(h.changed, f)
}

// Offer puts a snapshot in force if its version is higher than the current one.
func (h *Holder) Offer(s *Snapshot) Verdict {
	h.mu.Lock()
	defer h.mu.Unlock()
	if old := h.current.Load(); old != nil {
		switch {
		case s.Version == old.Version:
			return Known
		case s.Version < old.Version:
			return Older
		}
	}
	h.current.Store(s)
	for _, f := range h.changed {
		f(s)
	}
	return Taken
}

// Prove records that a read that began at the given time returned v as the latest version. It has no effect
// unless the configuration in force is at least as new.
func (h *Holder) Prove(v Version, at time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if s := h.current.Load(); s == nil || s.Version < v {
		return
	}
	if old := h.proved.Load(); old == nil || old.Before(at) {
		h.proved.Store(&at)
	}
}

// Distrust records that the configuration in force is known not to be current.
func (h *Holder) Distrust() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.proved.Store(nil)
}

// Age returns the time since the configuration in force was last known to be current; false means never.
func (h *Holder) Age(now time.Time) (time.Duration, bool) {
	at := h.proved.Load()
	if at == nil {
		return 0, false
	}
	return now.Sub(*at), true
}
